package org.coltsfootproxy.net;

import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Parses the idle timeout of a {@code Keep-Alive} header. */
final class KeepAlive {
    private static final Pattern TIMEOUT = Pattern.compile("(?:.*[,;\\s])?timeout=(\\d{1,6}).*");

    /** Time reserved for a request to reach the target before it closes the idle connection. */
    private static final long MARGIN_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    private KeepAlive() {}

    /**
     * Returns the timeout that a {@code Keep-Alive} header states, less a safety margin, in
     * nanoseconds.
     *
     * @param header value of the header; may be null
     */
    static OptionalLong idleNanos(String header) {
        Matcher matcher = TIMEOUT.matcher(header == null ? "" : header);
        if (!matcher.matches()) {
            return OptionalLong.empty();
        }
        long timeoutNanos = TimeUnit.SECONDS.toNanos(Long.parseLong(matcher.group(1)));
        return OptionalLong.of(Math.max(MARGIN_NANOS / 2, timeoutNanos - MARGIN_NANOS));
    }
}
