package org.coltsfootproxy.direct;

import org.coltsfootproxy.base.ProxyException;
import org.coltsfootproxy.message.JobMessage;
import org.coltsfootproxy.node.Input;
import org.coltsfootproxy.node.RetryAfter;

/** The protocol between callers and an entry. */
public interface CallerProtocol {
    /**
     * Returns the operation that a call asks for.
     *
     * @throws ProxyException if the call is not valid
     */
    CallerCall read(Input.HttpCall call) throws ProxyException;

    /**
     * Returns the batch job that a call submits.
     *
     * @throws ProxyException if the call is not valid
     */
    JobSubmission readJob(Input.HttpCall call) throws ProxyException;

    /** Returns the JSON body that lists results for a caller. */
    byte[] results(JobMessage.Ended ended);

    /** Returns the builder of the header with the time after which a caller may retry. */
    RetryAfter retryAfter();
}
