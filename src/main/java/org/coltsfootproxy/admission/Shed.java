package org.coltsfootproxy.admission;

import org.coltsfootproxy.base.ErrorKind;

/**
 * Work that was removed from the queue without having run.
 *
 * @param kind {@link ErrorKind#OVERLOADED}, {@link ErrorKind#DEADLINE_EXCEEDED} or {@link
 *     ErrorKind#STOPPING}
 * @param retryAfterMillis estimated time in milliseconds until the queue has drained; 0 if a retry
 *     would not help
 */
public record Shed(Work work, ErrorKind kind, long retryAfterMillis) {}
