package org.coltsfootproxy.runtime;

import com.fasterxml.jackson.core.io.JsonStringEncoder;
import java.io.PrintStream;
import java.time.Instant;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.coltsfootproxy.base.EventCode;
import org.coltsfootproxy.node.LogField;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Logs numbered events as JSON lines; {@code docs/EVENTS.md} lists the events.
 *
 * <p>Lines go through a bounded ring and are dropped if it is full, so that logging never blocks.
 */
public final class EventLog {
    private static final int STACK_FRAMES = 8;
    private static final long DRAIN_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

    private final Logger mLogger;
    private final String mHost;

    private EventLog(String host) {
        mHost = host;
        mLogger = LoggerFactory.getLogger(LogSetup.EVENTS);
    }

    /** Returns the log of the given host. */
    public static EventLog of(String host) {
        return new EventLog(host);
    }

    /** Sets the stream that the process logs to, which is standard error by default. */
    public static void writeTo(PrintStream out) {
        LogWriter.shared().writeTo(out);
    }

    /** Waits up to 200 ms until the log queue is empty; for use before the process exits. */
    public static void drain() {
        LogWriter.shared().drain(DRAIN_NANOS);
    }

    /** Logs an event with a free-text detail, which may be empty. */
    public void write(EventCode code, String detail) {
        write(code, detail.isEmpty() ? List.of() : List.of(LogField.of("detail", detail)));
    }

    /** Logs an event with named fields. */
    public void write(EventCode code, List<LogField> fields) {
        String line = line(code, fields);
        switch (code.level()) {
            case INFO -> mLogger.info(line);
            case WARN -> mLogger.warn(line);
            case ERROR -> mLogger.error(line);
            default -> throw new AssertionError(code.level());
        }
    }

    private String line(EventCode code, List<LogField> fields) {
        StringBuilder json = new StringBuilder(200).append('{');
        add(json, "time", Instant.now().toString());
        add(json.append(','), "level", code.level().name());
        json.append(",\"event\":").append(code.number());
        add(json.append(','), "host", mHost);
        add(json.append(','), "what", code.text());
        fields.forEach(field -> add(json.append(','), field.name(), field.value()));
        return json.append('}').toString();
    }

    private static void add(StringBuilder json, String name, String value) {
        JsonStringEncoder encoder = JsonStringEncoder.getInstance();
        json.append('"').append(name).append("\":\"");
        encoder.quoteAsString(value, json);
        json.append('"');
    }

    static String describe(Throwable error) {
        return Arrays.stream(error.getStackTrace())
                .limit(STACK_FRAMES)
                .map(StackTraceElement::toString)
                .collect(Collectors.joining(" < ", error + " at ", ""));
    }
}
