/**
 * Load balancing of requests over agents, outlier ejection and retries.
 *
 * <p>{@link org.coltsfootproxy.routing.AgentChooser} chooses an agent for each request at an entry.
 * {@link org.coltsfootproxy.routing.RetryPolicy} decides whether a failed attempt is retried,
 * within a {@link org.coltsfootproxy.routing.RetryBudget}.
 */
package org.coltsfootproxy.routing;
