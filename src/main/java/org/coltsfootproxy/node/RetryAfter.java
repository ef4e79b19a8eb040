package org.coltsfootproxy.node;

import org.coltsfootproxy.message.Header;

/** How answers tell callers when to come back. */
@FunctionalInterface
public interface RetryAfter {
    /** Whole seconds as RFC 9110 has it, rounded up. */
    RetryAfter WHOLE_SECONDS =
            millis -> Header.of("Retry-After", Long.toString((millis + 999) / 1_000));

    /** Returns the header for a time in milliseconds, above 0. */
    Header header(long millis);
}
