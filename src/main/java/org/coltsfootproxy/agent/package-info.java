/**
 * The agent role: a process beside one target that all requests and batch items for the target pass
 * through.
 *
 * <p>{@link AgentNode} is its state machine. {@link OnlineCalls} runs the online requests of
 * entries and {@link BatchItems} pulls batch items from the control hosts. Both pass their work as
 * a {@link Run} to the {@link Dispatcher}, which sends it to the target when the admission queue
 * allows it. {@link Watchers} reports the agent's load to the entries.
 */
package org.coltsfootproxy.agent;
