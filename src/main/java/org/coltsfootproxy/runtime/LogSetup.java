package org.coltsfootproxy.runtime;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.encoder.PatternLayoutEncoder;
import ch.qos.logback.classic.spi.Configurator;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.ConsoleAppender;
import ch.qos.logback.core.spi.ContextAwareBase;
import org.coltsfootproxy.base.EventCode;

/**
 * Configures Logback to send hosts' events to the {@link LogWriter} and libraries' warnings to
 * standard error.
 *
 * <p>Logback loads this class as a service. Reading a configuration file instead would take a tenth
 * of a host's start-up time.
 */
public final class LogSetup extends ContextAwareBase implements Configurator {
    /** Name of the logger for {@link EventCode events}. */
    static final String EVENTS = "coltsfootproxy";

    private static final String PATTERN = "%d{yyyy-MM-dd'T'HH:mm:ss.SSSXXX,UTC} %-5level %msg%n";

    @Override
    public ExecutionStatus configure(LoggerContext context) {
        Logger root = context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
        root.setLevel(Level.WARN);
        root.addAppender(errors(context));
        Logger events = context.getLogger(EVENTS);
        events.setLevel(Level.INFO);
        events.setAdditive(false);
        events.addAppender(events(context));
        return ExecutionStatus.DO_NOT_INVOKE_NEXT_IF_ANY;
    }

    private static ConsoleAppender<ILoggingEvent> errors(LoggerContext context) {
        PatternLayoutEncoder encoder = new PatternLayoutEncoder();
        encoder.setContext(context);
        encoder.setPattern(PATTERN);
        encoder.start();
        ConsoleAppender<ILoggingEvent> appender = new ConsoleAppender<>();
        appender.setContext(context);
        appender.setTarget("System.err");
        appender.setEncoder(encoder);
        appender.start();
        return appender;
    }

    private static RingAppender events(LoggerContext context) {
        RingAppender appender = new RingAppender();
        appender.setContext(context);
        appender.start();
        return appender;
    }
}
