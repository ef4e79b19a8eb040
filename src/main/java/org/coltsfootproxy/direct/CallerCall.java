package org.coltsfootproxy.direct;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import java.util.Optional;
import org.coltsfootproxy.base.JobId;

/** The operation that a caller's HTTP call asks for. */
public sealed interface CallerCall {
    /**
     * Forwards a request to the service of its route.
     *
     * @param hostName host name by which the caller addressed the system
     * @param path path and query
     * @param requestName request id that the caller gave; empty if it gave none
     * @param resumption the stream that the caller takes up again; empty for a new request
     * @param callerTimeoutMillis how long the caller waits for the answer, above 0
     */
    record Forward(
            String hostName,
            String path,
            String requestName,
            Optional<Resumption> resumption,
            long callerTimeoutMillis)
            implements CallerCall {
        /** Validates the components. */
        public Forward {
            checkNotNull(hostName, "host name is missing");
            checkNotNull(path, "path is missing");
            checkNotNull(requestName, "request name is missing");
            checkNotNull(resumption, "resumption is missing");
            checkArgument(
                    callerTimeoutMillis > 0,
                    "caller timeout of %s ms is not above 0",
                    callerTimeoutMillis);
        }
    }

    /**
     * A stream that its caller takes up again after the connection broke.
     *
     * @param firstRequest id of the request that brought the stream's first event; empty if the
     *     caller names none
     * @param lastEvent id of the last event that the caller has
     */
    record Resumption(String firstRequest, String lastEvent) {
        /** Validates the components. */
        public Resumption {
            checkNotNull(firstRequest, "first request is missing");
            checkNotNull(lastEvent, "last event is missing");
        }
    }

    /**
     * Reads a batch job's results in the order in which its items ended.
     *
     * @param from position of the first result, from 0
     * @param waitMillis how long the answer may be delayed until there is a result
     */
    record ReadResults(JobId job, int from, long waitMillis) implements CallerCall {}

    /** Reads the body of an item that has no result yet. */
    record ReadBody(JobId job, String item) implements CallerCall {}

    /** Cancels a batch job. */
    record CancelJob(JobId job) implements CallerCall {}
}
