package org.coltsfootproxy.direct;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import org.coltsfootproxy.message.Header;

/**
 * The head of a target's answer.
 *
 * @param headers the headers that callers get
 * @param load the target's load report; empty if the answer has none
 * @param isLeaving whether the target says that it is leaving and wants no new calls
 * @param requestsPerSecond requests that the target takes from all hosts together; empty if it
 *     names no limit
 * @param coldMillis how long the target is still cold, in milliseconds; empty if it does not say
 */
public record TargetAnswer(
        Verdict verdict,
        int status,
        List<Header> headers,
        Optional<TargetLoad> load,
        boolean isLeaving,
        OptionalDouble requestsPerSecond,
        OptionalLong coldMillis) {
    private static final String EVENT_STREAM = "text/event-stream";
    private static final int FIRST_SUCCESS = 200;
    private static final int FIRST_REDIRECT = 300;
    private static final int FIRST_SERVER_ERROR = 500;

    /** What the answer says about the execution of the request. */
    public enum Verdict {
        /** The target has run the request or is running it. */
        RAN,
        /** The target refused the request and has not run it. */
        NOT_RUN,
        /** The address now belongs to another target, which has not run the request. */
        OTHER_TARGET,
        /** A success without the target's signature, so it is not known who sent it. */
        UNSIGNED
    }

    /** Validates the components. */
    public TargetAnswer {
        checkNotNull(verdict, "verdict is missing");
        headers = List.copyOf(headers);
        checkNotNull(load, "load is missing");
        checkNotNull(requestsPerSecond, "requestsPerSecond is missing");
        checkNotNull(coldMillis, "coldMillis is missing");
    }

    boolean isSuccess() {
        return verdict == Verdict.RAN && status >= FIRST_SUCCESS && status < FIRST_REDIRECT;
    }

    boolean isServerError() {
        return status >= FIRST_SERVER_ERROR;
    }

    /** Returns whether the body is an event stream. */
    boolean isEventStream() {
        return headers.stream()
                .filter(header -> header.name().equalsIgnoreCase("content-type"))
                .anyMatch(header -> header.value().regionMatches(true, 0, EVENT_STREAM, 0, 17));
    }
}
