package org.coltsfootproxy.node;

import org.coltsfootproxy.message.Header;

/** Builds the header that tells callers how long to wait before a retry. */
@FunctionalInterface
public interface RetryAfter {
    /** The {@code Retry-After} header of RFC 9110: whole seconds, rounded up. */
    RetryAfter WHOLE_SECONDS =
            millis -> Header.of("Retry-After", Long.toString((millis + 999) / 1_000));

    /** Returns the header for a wait of {@code millis} milliseconds, which is above 0. */
    Header header(long millis);
}
