/**
 * The network layer: HTTP/1.1 for callers and targets, and framed messages between the hosts of a
 * fleet.
 *
 * <ul>
 *   <li>{@link org.coltsfootproxy.net.HttpFront} is the HTTP server for callers. It rejects
 *       malformed requests and passes complete ones on.
 *   <li>{@link org.coltsfootproxy.net.TargetClient} and {@link
 *       org.coltsfootproxy.net.FleetTargetClient} are the HTTP clients for one target and for a
 *       changing set of targets. Both use connection pools.
 *   <li>{@link org.coltsfootproxy.net.PeerTransport} exchanges messages with the other hosts, over
 *       authenticated TCP connections, one per peer and lane.
 * </ul>
 *
 * <p>All I/O runs on Netty event loops. What arrives is passed to an {@link
 * org.coltsfootproxy.net.InputSink} as an {@link org.coltsfootproxy.node.Input}; what is to be sent
 * is given to the {@code execute} methods as an {@link org.coltsfootproxy.node.Effect}. {@link
 * org.coltsfootproxy.net.NetEvents} receives log events and counter increments.
 */
package org.coltsfootproxy.net;
