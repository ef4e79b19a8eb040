package org.coltsfootproxy.admission;

import org.coltsfootproxy.base.ErrorKind;

/**
 * Work that left the queue without having run.
 *
 * @param kind {@link ErrorKind#OVERLOADED}, {@link ErrorKind#DEADLINE_EXCEEDED} or {@link
 *     ErrorKind#STOPPING}
 * @param retryAfterMillis estimate of when there may be room, in milliseconds; 0 if it would not
 *     help
 */
public record Shed(Work work, ErrorKind kind, long retryAfterMillis) {}
