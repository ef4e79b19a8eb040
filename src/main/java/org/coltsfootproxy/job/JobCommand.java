package org.coltsfootproxy.job;

import java.util.List;
import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.base.Incarnation;
import org.coltsfootproxy.base.JobId;
import org.coltsfootproxy.base.OrganisationId;
import org.coltsfootproxy.base.WireCode;
import org.coltsfootproxy.message.ItemProgress;
import org.coltsfootproxy.message.ItemReport;
import org.coltsfootproxy.message.JobItem;
import org.coltsfootproxy.message.JobSpec;
import org.coltsfootproxy.message.LeaseRef;
import org.coltsfootproxy.message.SettleDecision;

/** Commands of the job ledger. */
sealed interface JobCommand {
    /** Returns the leader's time in milliseconds since 1970. */
    long epochMillis();

    /**
     * Opens a new leader's term; the fencing numbers of its leases contain the term number that
     * this returns.
     */
    @WireCode(1)
    record OpenTerm(long epochMillis, HostId leader) implements JobCommand {}

    /** Submits a job with all its items. */
    @WireCode(2)
    record Submit(
            long epochMillis,
            OrganisationId organisation,
            JobSpec spec,
            List<JobItem> items,
            JobLimits limits)
            implements JobCommand {}

    /** Begins a job whose items follow in several {@link Append} commands. */
    @WireCode(3)
    record Begin(long epochMillis, OrganisationId organisation, JobSpec spec, JobLimits limits)
            implements JobCommand {}

    /** Adds items to a job that is being received. */
    @WireCode(4)
    record Append(
            long epochMillis,
            OrganisationId organisation,
            JobId job,
            int offset,
            List<JobItem> items,
            JobLimits limits)
            implements JobCommand {}

    /** Accepts a job once all its items were received. */
    @WireCode(5)
    record Commit(long epochMillis, OrganisationId organisation, JobId job) implements JobCommand {}

    /**
     * Records durable starts, which allow the agent to call the target for items that may not be
     * repeated.
     */
    @WireCode(6)
    record Start(long epochMillis, HostId agent, Incarnation incarnation, List<LeaseRef> leases)
            implements JobCommand {}

    /** Records agents' reports. */
    @WireCode(7)
    record Report(long epochMillis, List<ItemReport> reports, RetryPolicy retry)
            implements JobCommand {}

    /** Marks started items as in doubt because their agents were lost. */
    @WireCode(8)
    record Lose(long epochMillis, List<LeaseRef> leases) implements JobCommand {}

    /** Cancels a job. */
    @WireCode(9)
    record Cancel(long epochMillis, OrganisationId organisation, JobId job) implements JobCommand {}

    /** Applies an operator's decision on an item that may have run. */
    @WireCode(10)
    record Settle(
            long epochMillis,
            OrganisationId organisation,
            JobId job,
            int item,
            long fence,
            SettleDecision decision,
            byte[] result)
            implements JobCommand {}

    /** Keeps the partial output of runs, so that later runs can resume after it. */
    @WireCode(12)
    record Progress(long epochMillis, List<ItemProgress> items) implements JobCommand {}

    /**
     * Removes jobs whose retention is over.
     *
     * @param retentionMillis how long ended jobs are kept
     * @param receivingTimeoutMillis how long a job may stay incomplete after its last items were
     *     received
     */
    @WireCode(11)
    record Expire(long epochMillis, long retentionMillis, long receivingTimeoutMillis)
            implements JobCommand {}
}
