/**
 * Control hosts and stores: the hosts that keep the fleet's replicated state.
 *
 * <p>{@link org.coltsfootproxy.control.ControlNode} makes the decisions of a control host. Control
 * hosts replicate the configuration, the leases and the state of the fleet in one log, serve them
 * to subscribers, and answer operators over HTTP. {@link org.coltsfootproxy.control.StoreNode}
 * makes the decisions of a store, which replicates batch jobs and runs their items in a fleet that
 * discovers its hosts through seeds; without stores, the control hosts replicate the jobs too.
 * {@link org.coltsfootproxy.control.OperatorProtocol} adapts a platform's own operator protocol.
 */
package org.coltsfootproxy.control;
