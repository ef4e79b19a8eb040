package org.coltsfootproxy.direct;

import org.coltsfootproxy.base.ProxyException;
import org.coltsfootproxy.message.JobMessage;
import org.coltsfootproxy.node.Input;
import org.coltsfootproxy.node.RetryAfter;

/** How callers speak to an entry. */
public interface CallerProtocol {
    /**
     * Returns what a call asks for.
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

    /** Returns the body that shows results to a caller, in JSON. */
    byte[] results(JobMessage.Ended ended);

    /** Returns how callers are told when to come back. */
    RetryAfter retryAfter();
}
