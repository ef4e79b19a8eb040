package org.coltsfootproxy.net;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.Optional;

/**
 * What targets of a platform expect besides plain HTTP/1.1.
 *
 * @param correlationHeader header whose value is alike in a call and in its answer; an answer with
 *     another value belongs to no call and is passed over
 * @param keepsHost whether calls carry the caller's {@code Host} instead of the target's address
 * @param endsByClosing whether an answer without a length may end with its connection
 */
public record TargetDialect(
        Optional<String> correlationHeader, boolean keepsHost, boolean endsByClosing) {
    /** Plain HTTP/1.1 with answers that state where they end. */
    public static final TargetDialect PLAIN = new TargetDialect(Optional.empty(), false, false);

    /** Checks the parts. */
    public TargetDialect {
        checkNotNull(correlationHeader, "correlationHeader");
    }
}
