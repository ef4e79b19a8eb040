package org.coltsfootproxy.runtime;

import java.util.Arrays;
import java.util.stream.Collectors;
import org.coltsfootproxy.base.EventCode;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Writes numbered events of one host to the log. */
public final class EventLog {
    private static final int STACK_FRAMES = 8;

    private final Logger mLogger;
    private final String mHost;

    private EventLog(String host) {
        mHost = host;
        mLogger = LoggerFactory.getLogger("coltsfootproxy");
    }

    /** Returns the log of the given host. */
    public static EventLog of(String host) {
        return new EventLog(host);
    }

    /** Writes one event. */
    public void write(EventCode code, String detail) {
        String line =
                String.format("event=%d host=%s %s: %s", code.number(), mHost, code.text(), detail);
        switch (code.level()) {
            case INFO -> mLogger.info(line);
            case WARN -> mLogger.warn(line);
            case ERROR -> mLogger.error(line);
            default -> throw new AssertionError(code.level());
        }
    }

    /** Returns an exception with the top of its stack on one line. */
    static String describe(Throwable error) {
        return Arrays.stream(error.getStackTrace())
                .limit(STACK_FRAMES)
                .map(StackTraceElement::toString)
                .collect(Collectors.joining(" < ", error + " at ", ""));
    }
}
