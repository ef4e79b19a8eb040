package org.coltsfootproxy.net;

import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Reads how long a peer keeps an unused connection. */
final class KeepAlive {
    private static final Pattern TIMEOUT = Pattern.compile("(?:.*[,;\\s])?timeout=(\\d{1,6}).*");

    /** What is left for a request to arrive before the peer closes the connection. */
    private static final long MARGIN_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    private KeepAlive() {}

    /** Returns the time that a {@code Keep-Alive} header states, less a margin; it may be null. */
    static OptionalLong nanos(String header) {
        Matcher matcher = TIMEOUT.matcher(header == null ? "" : header);
        if (!matcher.matches()) {
            return OptionalLong.empty();
        }
        long stated = TimeUnit.SECONDS.toNanos(Long.parseLong(matcher.group(1)));
        return OptionalLong.of(Math.max(MARGIN_NANOS / 2, stated - MARGIN_NANOS));
    }
}
