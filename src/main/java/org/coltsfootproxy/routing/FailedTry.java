package org.coltsfootproxy.routing;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import org.coltsfootproxy.base.ErrorKind;
import org.coltsfootproxy.base.Ran;

/**
 * A try at an agent that ended without a whole answer.
 *
 * @param ran what is known about whether it ran
 * @param repeatable whether a second run would do no harm
 * @param answerBegun whether a byte of the answer went to the caller
 * @param tries tries made so far, this one included
 * @param leftNanos time left until the caller's deadline
 */
public record FailedTry(
        ErrorKind kind,
        Ran ran,
        boolean repeatable,
        boolean answerBegun,
        int tries,
        long leftNanos) {
    /** Checks the parts. */
    public FailedTry {
        checkNotNull(kind, "kind");
        checkNotNull(ran, "ran");
        checkArgument(tries >= 1, "tries %s", tries);
    }
}
