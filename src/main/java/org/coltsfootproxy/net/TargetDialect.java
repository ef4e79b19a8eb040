package org.coltsfootproxy.net;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.Optional;

/**
 * Describes how the targets of a platform deviate from plain HTTP/1.1.
 *
 * @param correlationHeader header that has the same value in a request and in its response; a
 *     response with another value is ignored, and one without the header fails a call that has it
 * @param timeLeftHeader header that tells how many milliseconds are left for a call; lowered by the
 *     time between the decision to send the call and its writing
 * @param preservesHost whether requests carry the caller's {@code Host} instead of the target's
 *     address
 * @param allowsCloseDelimited whether closing the connection may end a response without length
 */
public record TargetDialect(
        Optional<String> correlationHeader,
        Optional<String> timeLeftHeader,
        boolean preservesHost,
        boolean allowsCloseDelimited) {
    /** Plain HTTP/1.1, with responses that are chunked or state their length. */
    public static final TargetDialect PLAIN =
            new TargetDialect(Optional.empty(), Optional.empty(), false, false);

    /** Checks that no component is null. */
    public TargetDialect {
        checkNotNull(correlationHeader, "correlationHeader");
        checkNotNull(timeLeftHeader, "timeLeftHeader");
    }
}
