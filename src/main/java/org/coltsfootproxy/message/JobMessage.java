package org.coltsfootproxy.message;

import java.util.List;
import org.coltsfootproxy.base.ErrorKind;
import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.base.Incarnation;
import org.coltsfootproxy.base.JobId;
import org.coltsfootproxy.base.OrganisationId;
import org.coltsfootproxy.base.Ran;
import org.coltsfootproxy.base.ServiceId;
import org.coltsfootproxy.base.WireCode;

/**
 * Messages about batch jobs and their items.
 *
 * <p>Each names the group of the replicated log that keeps the job.
 */
public sealed interface JobMessage extends Message {
    @Override
    default Lane lane() {
        return Lane.BATCH;
    }

    /** Returns the group of the replicated log, from 1. */
    int group();

    /** Entry to control: a question or order that gets exactly one {@link Answer}. */
    sealed interface Ask extends JobMessage {
        /** Returns the asker's number for the question, which the answer repeats. */
        long call();

        /** Returns the organisation on whose behalf the entry asks. */
        OrganisationId organisation();
    }

    /** Control to entry: the answer to an {@link Ask}. */
    sealed interface Answer extends JobMessage {
        /** Returns the asker's number for the question. */
        long call();
    }

    /** Entry to control: accept this whole job. */
    @WireCode(600)
    record Submit(
            int group, long call, OrganisationId organisation, JobSpec spec, List<JobItem> items)
            implements Ask {}

    /** Entry to control: a job comes in pieces. */
    @WireCode(601)
    record Begin(int group, long call, OrganisationId organisation, JobSpec spec) implements Ask {}

    /**
     * Entry to control: items of a job that comes in pieces.
     *
     * @param offset place of the first item in the job
     */
    @WireCode(602)
    record Append(
            int group,
            long call,
            OrganisationId organisation,
            JobId job,
            int offset,
            List<JobItem> items)
            implements Ask {}

    /** Entry to control: all pieces were sent; accept the job. */
    @WireCode(603)
    record Commit(int group, long call, OrganisationId organisation, JobId job) implements Ask {}

    /** Entry to control: how far is the job? */
    @WireCode(604)
    record AskStatus(int group, long call, OrganisationId organisation, JobId job) implements Ask {}

    /**
     * Entry to control: results of the job, in item order.
     *
     * @param from place of the first item
     */
    @WireCode(605)
    record AskResults(int group, long call, OrganisationId organisation, JobId job, int from)
            implements Ask {}

    /** Entry to control: the organisation's jobs. */
    @WireCode(606)
    record AskJobs(int group, long call, OrganisationId organisation) implements Ask {}

    /** Entry to control: stop the job. */
    @WireCode(607)
    record Cancel(int group, long call, OrganisationId organisation, JobId job) implements Ask {}

    /**
     * Operator to control: settle an item that may have run.
     *
     * @param fence fencing number of the run in doubt, as the results tell it
     * @param result body of the result for {@link SettleDecision#MARK_DONE}, else empty
     */
    @WireCode(608)
    record Settle(
            int group,
            long call,
            OrganisationId organisation,
            JobId job,
            int item,
            long fence,
            SettleDecision decision,
            byte[] result)
            implements Ask {}

    /**
     * Asks for the results of items in the order in which the items ended.
     *
     * @param from position from which on results are wanted, from 0
     * @param waitMillis how long the answer may wait for a first result
     */
    @WireCode(609)
    record AskEnded(
            int group, long call, OrganisationId organisation, JobId job, int from, long waitMillis)
            implements Ask {}

    /** Asks for the body of an item that has not ended. */
    @WireCode(610)
    record AskBody(int group, long call, OrganisationId organisation, JobId job, String item)
            implements Ask {}

    /** Control to entry: the order is committed, or the status asked for. */
    @WireCode(620)
    record Status(int group, long call, JobStatus status) implements Answer {}

    /**
     * Control to entry: a page of results.
     *
     * @param results results of the ended items among those looked at
     * @param next place to ask from next; the number of items once the end was reached
     * @param ended whether no further results will come on pages already read
     */
    @WireCode(621)
    record Results(
            int group,
            long call,
            JobStatus status,
            List<ItemResult> results,
            int next,
            boolean ended)
            implements Answer {}

    /** Control to entry: the organisation's jobs in the order of their first arrival. */
    @WireCode(622)
    record Jobs(int group, long call, List<JobStatus> jobs) implements Answer {}

    /**
     * Control to entry: refused.
     *
     * @param leader host to ask instead, or null
     */
    @WireCode(623)
    record Refused(
            int group,
            long call,
            ErrorKind kind,
            Ran ran,
            String detail,
            long retryAfterMillis,
            HostId leader)
            implements Answer {}

    /**
     * Results in the order in which items ended.
     *
     * @param total number of items of the job
     * @param from position of the first result
     */
    @WireCode(624)
    record Ended(int group, long call, int total, int from, List<ItemResult> results)
            implements Answer {}

    /** The body of an item. */
    @WireCode(625)
    record Body(int group, long call, byte[] body) implements Answer {}

    /** Agent to control. */
    sealed interface FromAgent extends JobMessage {
        /** Returns the agent's life; a new life owns no lease of an earlier one. */
        Incarnation incarnation();
    }

    /**
     * Agent to control: slots are idle; replaces the agent's earlier pull.
     *
     * @param sequence number of the pull, growing
     * @param slots items that could run at once now, 0 to withdraw
     * @param capacity items that could run at once if nothing else ran
     */
    @WireCode(630)
    record Pull(
            int group,
            Incarnation incarnation,
            ServiceId service,
            long sequence,
            int slots,
            int capacity)
            implements FromAgent {}

    /** Agent to control: I still hold these leases. */
    @WireCode(631)
    record Renew(int group, Incarnation incarnation, long sequence, List<LeaseRef> leases)
            implements FromAgent {}

    /** Agent to control: may I call the target for these items, which may not be repeated? */
    @WireCode(632)
    record Start(int group, Incarnation incarnation, List<LeaseRef> leases) implements FromAgent {}

    /** Agent to control: what became of items. */
    @WireCode(633)
    record Report(int group, Incarnation incarnation, List<ItemReport> reports)
            implements FromAgent {}

    /** Agent to control: items that run have made more output; there is no answer. */
    @WireCode(634)
    record Progress(int group, Incarnation incarnation, List<ItemProgress> items)
            implements FromAgent {}

    /** What the leader tells a host that runs items. */
    sealed interface ToAgent extends JobMessage {}

    /** Control to agent: a lot of items. */
    @WireCode(640)
    record Lot(int group, long sequence, long leaseMillis, List<LeasedItem> items)
            implements ToAgent {}

    /**
     * Control to agent: leases are extended from when the renewal was sent.
     *
     * @param lost leases that are not
     */
    @WireCode(641)
    record Renewed(int group, long sequence, long leaseMillis, List<LeaseRef> lost)
            implements ToAgent {}

    /**
     * Control to agent: the durable start is committed.
     *
     * @param granted items that may run now
     * @param refused items that may not run under these leases
     */
    @WireCode(642)
    record Started(int group, List<LeaseRef> granted, List<LeaseRef> refused) implements ToAgent {}

    /** Control to agent: reports are committed, or will never be. */
    @WireCode(643)
    record Reported(int group, List<Settled> settled) implements ToAgent {
        /** Verdict on the report of one lease. */
        public record Settled(LeaseRef lease, ReportVerdict verdict) {}
    }

    /** Control to agent: stop these items; their results would be dropped. */
    @WireCode(644)
    record Revoke(int group, List<LeaseRef> leases) implements ToAgent {}

    /**
     * Control to agent: not here, or not now.
     *
     * @param leader host to turn to, or null if it is not known
     * @param retryAfterMillis time to wait before trying this host again
     */
    @WireCode(645)
    record Redirect(int group, HostId leader, long retryAfterMillis) implements ToAgent {}
}
