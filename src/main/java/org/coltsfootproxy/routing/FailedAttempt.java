package org.coltsfootproxy.routing;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import org.coltsfootproxy.base.ErrorKind;
import org.coltsfootproxy.base.Ran;

/**
 * An attempt to send a request to an agent that ended without a complete answer.
 *
 * @param ran whether the request ran, as far as is known
 * @param repeatable whether the request may safely run twice
 * @param answerStarted whether any byte of the answer was sent to the caller
 * @param attempts number of attempts so far, including this one
 * @param remainingNanos time until the caller's deadline
 */
public record FailedAttempt(
        ErrorKind kind,
        Ran ran,
        boolean repeatable,
        boolean answerStarted,
        int attempts,
        long remainingNanos) {
    /** Validates the components. */
    public FailedAttempt {
        checkNotNull(kind, "kind");
        checkNotNull(ran, "ran");
        checkArgument(attempts >= 1, "attempts %s must be at least 1", attempts);
    }
}
