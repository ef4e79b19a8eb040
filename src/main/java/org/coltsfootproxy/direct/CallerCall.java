package org.coltsfootproxy.direct;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import org.coltsfootproxy.base.JobId;

/** What a caller's HTTP call asks for. */
public sealed interface CallerCall {
    /**
     * A request for a route.
     *
     * @param hostName the name that the caller used for the system
     * @param path path and query
     * @param requestName the caller's own name of the request; empty if it gave none
     * @param patienceMillis how long the caller waits, above 0
     */
    record Forward(String hostName, String path, String requestName, long patienceMillis)
            implements CallerCall {
        /** Checks the parts. */
        public Forward {
            checkNotNull(hostName, "host name is missing");
            checkNotNull(path, "path is missing");
            checkNotNull(requestName, "request name is missing");
            checkArgument(patienceMillis > 0, "patience %s ms is not above 0", patienceMillis);
        }
    }

    /**
     * Reads a batch job's results in the order in which its items ended.
     *
     * @param from position of the first result, from 0
     * @param waitMillis how long the answer may wait for a first result
     */
    record ReadResults(JobId job, int from, long waitMillis) implements CallerCall {}

    /** Reads the body of an item that has no result yet. */
    record ReadBody(JobId job, String item) implements CallerCall {}

    /** Ends a batch job. */
    record EndJob(JobId job) implements CallerCall {}
}
