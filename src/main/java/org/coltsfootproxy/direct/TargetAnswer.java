package org.coltsfootproxy.direct;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.List;
import java.util.Optional;
import org.coltsfootproxy.message.Header;

/**
 * The head of a target's answer.
 *
 * @param headers those that callers get
 * @param load how busy the target says it is, if it does
 */
public record TargetAnswer(
        Verdict verdict, int status, List<Header> headers, Optional<TargetLoad> load) {
    private static final String EVENT_STREAM = "text/event-stream";
    private static final int FIRST_SUCCESS = 200;
    private static final int FIRST_REDIRECT = 300;
    private static final int FIRST_SERVER_ERROR = 500;

    /** What the answer says about the run. */
    public enum Verdict {
        /** The target has run the request, or runs it. */
        RAN,
        /** The target refused the request and has not run it. */
        NOT_RUN,
        /** Another target has the address now and has not run the request. */
        OTHER_TARGET,
        /** A success that lacks the target's signature, so it isn't known whose answer it is. */
        UNSIGNED
    }

    /** Checks the parts. */
    public TargetAnswer {
        checkNotNull(verdict, "verdict is missing");
        headers = List.copyOf(headers);
        checkNotNull(load, "load is missing");
    }

    boolean isSuccess() {
        return verdict == Verdict.RAN && status >= FIRST_SUCCESS && status < FIRST_REDIRECT;
    }

    boolean isServerError() {
        return status >= FIRST_SERVER_ERROR;
    }

    /** Tells whether the body is a series of events. */
    boolean isEvents() {
        return headers.stream()
                .filter(header -> header.name().equalsIgnoreCase("content-type"))
                .anyMatch(header -> header.value().regionMatches(true, 0, EVENT_STREAM, 0, 17));
    }
}
