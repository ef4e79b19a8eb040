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

/** Commands of the job ledger; each carries the leader's time in milliseconds since 1970. */
sealed interface JobCommand {
    /** Returns the leader's time in milliseconds since 1970. */
    long epochMillis();

    /** A new leader begins; its leases carry the term number that this returns. */
    @WireCode(1)
    record OpenTerm(long epochMillis, HostId leader) implements JobCommand {}

    /** Accept a whole job. */
    @WireCode(2)
    record Submit(
            long epochMillis,
            OrganisationId organisation,
            JobSpec spec,
            List<JobItem> items,
            JobLimits limits)
            implements JobCommand {}

    /** A job comes in pieces. */
    @WireCode(3)
    record Begin(long epochMillis, OrganisationId organisation, JobSpec spec, JobLimits limits)
            implements JobCommand {}

    /** A piece of a job. */
    @WireCode(4)
    record Append(
            long epochMillis,
            OrganisationId organisation,
            JobId job,
            int offset,
            List<JobItem> items,
            JobLimits limits)
            implements JobCommand {}

    /** Accept a job that came in pieces. */
    @WireCode(5)
    record Commit(long epochMillis, OrganisationId organisation, JobId job) implements JobCommand {}

    /** Agents may call their targets for these items, which may not be repeated. */
    @WireCode(6)
    record Start(long epochMillis, HostId agent, Incarnation incarnation, List<LeaseRef> leases)
            implements JobCommand {}

    /** Agents' reports. */
    @WireCode(7)
    record Report(long epochMillis, List<ItemReport> reports, RetryPolicy retry)
            implements JobCommand {}

    /** The workers of these started items are lost. */
    @WireCode(8)
    record Lose(long epochMillis, List<LeaseRef> leases) implements JobCommand {}

    /** Stop a job. */
    @WireCode(9)
    record Cancel(long epochMillis, OrganisationId organisation, JobId job) implements JobCommand {}

    /** Settle an item that may have run. */
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

    /** Keep what runs have made, so that others can go on after it. */
    @WireCode(12)
    record Progress(long epochMillis, List<ItemProgress> items) implements JobCommand {}

    /**
     * Remove what is kept no longer.
     *
     * @param retentionMillis how long ended jobs are kept
     * @param receivingMillis how long a job may stay unfinished in its sending
     */
    @WireCode(11)
    record Expire(long epochMillis, long retentionMillis, long receivingMillis)
            implements JobCommand {}
}
