/**
 * Value types and utilities that every other package uses.
 *
 * <p>Contains ids ({@link org.coltsfootproxy.base.HostId}, {@link org.coltsfootproxy.base.JobId}
 * and so on), the closed lists of {@link org.coltsfootproxy.base.ErrorKind error kinds}, {@link
 * org.coltsfootproxy.base.EventCode log events} and {@link org.coltsfootproxy.base.Metric metrics},
 * the binary {@link org.coltsfootproxy.base.RecordCodec} for messages and log commands, {@link
 * org.coltsfootproxy.base.StateChart} for state machines that are defined in resource files, {@link
 * org.coltsfootproxy.base.Timers} and {@link org.coltsfootproxy.base.RendezvousHash}.
 */
package org.coltsfootproxy.base;
