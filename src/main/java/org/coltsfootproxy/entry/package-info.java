/**
 * The entry role, which accepts callers' HTTP requests and forwards them to the agents of targets.
 *
 * <p>{@link org.coltsfootproxy.entry.EntryNode} is the node of an entry host. It authenticates a
 * caller with {@link org.coltsfootproxy.entry.CallerCheck} and hands an online request to {@code
 * OnlineRequests}, which admits it by its organisation's rate, chooses an agent from the {@code
 * AgentPool}, retries it where that is safe and returns the answer. {@link
 * org.coltsfootproxy.entry.LimitOwnership} tracks which entry owns the token buckets of an
 * organisation. Calls about batch jobs go to {@link org.coltsfootproxy.job.JobGateway}.
 */
package org.coltsfootproxy.entry;
