package org.coltsfootproxy.runtime;

import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.AppenderBase;

/** A Logback appender that passes formatted lines to the process's {@link LogWriter}. */
public final class RingAppender extends AppenderBase<ILoggingEvent> {
    @Override
    protected void append(ILoggingEvent event) {
        LogWriter.shared().offer(event.getFormattedMessage());
    }
}
