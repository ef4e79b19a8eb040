/**
 * The process that runs a host: wiring, threads, settings, metrics and logs.
 *
 * <p>{@link HostProcess} starts one host from its {@link Settings}. A {@link Role} supplies the
 * host's {@link org.coltsfootproxy.node.Node}, which makes all decisions, and the sockets and disk
 * that only this role needs. {@link NodeLoop} runs the node on one thread and takes its inputs from
 * a bounded {@link Ring}; {@link EffectRouter} passes the node's effects to the network, the {@link
 * DiskWriter}, the {@link EventLog} and the {@link Metrics}.
 */
package org.coltsfootproxy.runtime;
