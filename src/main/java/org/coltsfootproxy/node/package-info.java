/**
 * The interface between a role's logic and its I/O.
 *
 * <p>A {@link org.coltsfootproxy.node.Node} implements the logic of one role (entry, agent, store
 * or control host) as a deterministic, single-threaded state machine. Its driver does the I/O: it
 * passes each {@link org.coltsfootproxy.node.Input} to the node and carries out the {@link
 * org.coltsfootproxy.node.Effect effects} that the node adds to {@link
 * org.coltsfootproxy.node.Effects}. Tests drive nodes in virtual time instead. {@link
 * org.coltsfootproxy.node.Problem} and {@link org.coltsfootproxy.node.JsonAnswer} build HTTP
 * answers from effects.
 */
package org.coltsfootproxy.node;
