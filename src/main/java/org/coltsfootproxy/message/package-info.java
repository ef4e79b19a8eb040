/**
 * Messages between the hosts of one fleet, and the data types that they carry.
 *
 * <p>{@link org.coltsfootproxy.message.Message} is the root of all messages. Each subinterface
 * groups the messages of one protocol: online requests ({@link
 * org.coltsfootproxy.message.CallMessage}), consensus ({@link
 * org.coltsfootproxy.message.RaftMessage}), configuration and leases ({@link
 * org.coltsfootproxy.message.ConfigMessage}), rate limits ({@link
 * org.coltsfootproxy.message.LimitMessage}, {@link org.coltsfootproxy.message.OwnerMessage}), batch
 * jobs ({@link org.coltsfootproxy.message.JobMessage}) and fleet membership ({@link
 * org.coltsfootproxy.message.FleetMessage}). {@link org.coltsfootproxy.base.RecordCodec} encodes
 * them by position; the comments of the records are the documentation of the protocol.
 *
 * <p>Unless a comment says otherwise, components are never null.
 */
package org.coltsfootproxy.message;
