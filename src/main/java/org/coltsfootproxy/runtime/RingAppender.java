package org.coltsfootproxy.runtime;

import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.AppenderBase;

/** Hands formatted lines to the {@link LogWriter} of the process. */
public final class RingAppender extends AppenderBase<ILoggingEvent> {
    @Override
    protected void append(ILoggingEvent event) {
        LogWriter.shared().offer(event.getFormattedMessage());
    }
}
