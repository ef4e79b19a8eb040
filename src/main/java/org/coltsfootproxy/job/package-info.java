/**
 * Batch jobs: storing them, leasing their items to agents, and the HTTP interface to them.
 *
 * <p>Jobs are spread over groups, each with its own replicated log. {@link
 * org.coltsfootproxy.job.JobLedger} is the state machine of that log and holds jobs, items and
 * results. {@link org.coltsfootproxy.job.JobService} runs on the control hosts; the one on the
 * group's leader grants leases and answers entries and agents. {@link
 * org.coltsfootproxy.job.ItemPuller} runs on each agent; it pulls leased items in lots, which are
 * batches of items, and reports how they ended. {@link org.coltsfootproxy.job.JobGateway} is the
 * HTTP interface on the entries; it reaches the leaders through {@link
 * org.coltsfootproxy.job.JobRequestClient}.
 *
 * <p>An item that may be repeated can run several times; only its first recorded result counts. For
 * an item that may not be repeated, the ledger records a durable start before the agent calls the
 * target. If that agent is lost, the item is in doubt until its report arrives or an operator
 * settles it.
 */
package org.coltsfootproxy.job;
