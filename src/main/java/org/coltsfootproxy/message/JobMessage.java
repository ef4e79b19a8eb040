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
 * <p>Jobs are kept in a job ledger, the state of a replicated log (the job log). {@code ledger}
 * below denotes the host that leads this log, which is a control host or, in a fleet with stores, a
 * store. {@code agent} denotes a host that runs items, which is an agent or a store.
 */
public sealed interface JobMessage extends Message {
    @Override
    default Lane lane() {
        return Lane.BATCH;
    }

    /** Returns the number of the group whose log keeps the job, from 1. */
    int group();

    /**
     * Entry or control to ledger: a request that gets exactly one {@link Answer}, which is {@link
     * Refused} if the request is refused or fails.
     */
    sealed interface Ask extends JobMessage {
        /** Returns the sender's number for the request, which the answer repeats. */
        long call();

        /** Returns the organisation on whose behalf the sender asks. */
        OrganisationId organisation();
    }

    /** Ledger to entry or control: the answer to an {@link Ask}. */
    sealed interface Answer extends JobMessage {
        /** Returns the receiver's number for the request. */
        long call();
    }

    /** Entry to ledger: accept this complete job. Answered by {@link Status}. */
    @WireCode(600)
    record Submit(
            int group, long call, OrganisationId organisation, JobSpec spec, List<JobItem> items)
            implements Ask {}

    /** Entry to ledger: start to receive a job in parts. Answered by {@link Status}. */
    @WireCode(601)
    record Begin(int group, long call, OrganisationId organisation, JobSpec spec) implements Ask {}

    /**
     * Entry to ledger: append items to a job that is received in parts. Answered by {@link Status}.
     *
     * @param offset index of the first of these items in the job, from 0
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

    /** Entry to ledger: all items were sent; accept the job. Answered by {@link Status}. */
    @WireCode(603)
    record Commit(int group, long call, OrganisationId organisation, JobId job) implements Ask {}

    /** Entry to ledger: asks for the status of a job. Answered by {@link Status}. */
    @WireCode(604)
    record AskStatus(int group, long call, OrganisationId organisation, JobId job) implements Ask {}

    /**
     * Entry to ledger: asks for results of a job in item order. Answered by {@link Results}.
     *
     * @param from index of the first item whose result is wanted, from 0
     */
    @WireCode(605)
    record AskResults(int group, long call, OrganisationId organisation, JobId job, int from)
            implements Ask {}

    /** Entry to ledger: asks for the organisation's jobs. Answered by {@link Jobs}. */
    @WireCode(606)
    record AskJobs(int group, long call, OrganisationId organisation) implements Ask {}

    /** Entry to ledger: cancel the job. Answered by {@link Status}. */
    @WireCode(607)
    record Cancel(int group, long call, OrganisationId organisation, JobId job) implements Ask {}

    /**
     * Entry or control to ledger: on an operator's order, settle an item that may have run.
     * Answered by {@link Status}.
     *
     * @param item index of the item in the job, from 0
     * @param fence fencing number of the lease under which the item may have run, as in {@link
     *     ItemResult#fence}
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
     * Entry to ledger: asks for results in the order in which items ended. Answered by {@link
     * Ended}.
     *
     * @param from position of the first wanted result in this order, from 0
     * @param waitMillis milliseconds that the answer may be delayed until there is a result; 0 to
     *     answer at once
     */
    @WireCode(609)
    record AskEnded(
            int group, long call, OrganisationId organisation, JobId job, int from, long waitMillis)
            implements Ask {}

    /**
     * Entry to ledger: asks for the body of an item that has not ended. Answered by {@link Body}.
     *
     * @param item id that the caller gave the item
     */
    @WireCode(610)
    record AskBody(int group, long call, OrganisationId organisation, JobId job, String item)
            implements Ask {}

    /** Ledger to entry: the requested status, or that of the job after a committed change. */
    @WireCode(620)
    record Status(int group, long call, JobStatus status) implements Answer {}

    /**
     * Ledger to entry: a page of results in item order.
     *
     * @param results results of those items of the page that have ended
     * @param next index to ask from next; the number of items if this is the last page
     * @param ended whether no further results can appear on pages that were already read
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

    /** Ledger to entry: the organisation's jobs in the order in which they first arrived. */
    @WireCode(622)
    record Jobs(int group, long call, List<JobStatus> jobs) implements Answer {}

    /**
     * Ledger to entry: the request was refused or failed.
     *
     * @param ran whether the request has taken effect, as far as is known
     * @param detail human-readable explanation
     * @param retryAfterMillis milliseconds to wait before a retry, 0 for no advice
     * @param leader host to ask instead, or null if there is none or it is unknown
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
     * Ledger to entry: results in the order in which items ended.
     *
     * @param total number of items of the job
     * @param from position of the first result in this order, from 0
     * @param results consecutive results; empty if none came in time
     */
    @WireCode(624)
    record Ended(int group, long call, int total, int from, List<ItemResult> results)
            implements Answer {}

    /** Ledger to entry: the request body of an item. */
    @WireCode(625)
    record Body(int group, long call, byte[] body) implements Answer {}

    /** A message from an agent to a ledger. */
    sealed interface FromAgent extends JobMessage {
        /** Returns the agent's incarnation; a new incarnation holds no lease of an earlier one. */
        Incarnation incarnation();
    }

    /**
     * Agent to ledger: asks for items. Replaces the agent's earlier pull. Answered by {@link Lot}
     * once there are items to run.
     *
     * @param service service whose items are wanted, or {@link ServiceId#ANY}
     * @param sequence number of the pull, which grows
     * @param slots number of further items that the agent could run now, 0 to withdraw the pull
     * @param capacity number of items that the agent could run concurrently if it ran nothing else
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

    /**
     * Agent to ledger: renews all leases that the agent holds. Answered by {@link Renewed}.
     *
     * @param sequence number of the renewal, which grows
     */
    @WireCode(631)
    record Renew(int group, Incarnation incarnation, long sequence, List<LeaseRef> leases)
            implements FromAgent {}

    /**
     * Agent to ledger: asks for permission to run non-repeatable items. Answered by {@link
     * Started}.
     */
    @WireCode(632)
    record Start(int group, Incarnation incarnation, List<LeaseRef> leases) implements FromAgent {}

    /** Agent to ledger: outcomes of leased items. Answered by {@link Reported}. */
    @WireCode(633)
    record Report(int group, Incarnation incarnation, List<ItemReport> reports)
            implements FromAgent {}

    /** Agent to ledger: further output of running items. Not answered. */
    @WireCode(634)
    record Progress(int group, Incarnation incarnation, List<ItemProgress> items)
            implements FromAgent {}

    /** A message from a ledger to an agent. */
    sealed interface ToAgent extends JobMessage {}

    /**
     * Ledger to agent: items that are leased to the agent.
     *
     * @param sequence number of the {@link Pull} that this answers
     * @param leaseMillis duration of the shortest lease of the items, in milliseconds
     */
    @WireCode(640)
    record Lot(int group, long sequence, long leaseMillis, List<LeasedItem> items)
            implements ToAgent {}

    /**
     * Ledger to agent: the agent's leases are extended, counted from when the renewal was sent.
     *
     * @param sequence number of the {@link Renew} that this answers
     * @param leaseMillis duration of the extended leases in milliseconds
     * @param lost leases that the agent no longer holds
     */
    @WireCode(641)
    record Renewed(int group, long sequence, long leaseMillis, List<LeaseRef> lost)
            implements ToAgent {}

    /**
     * Ledger to agent: answers {@link Start} once the start of the granted items is committed.
     *
     * @param granted leases whose items may run now
     * @param refused leases whose items must not run
     */
    @WireCode(642)
    record Started(int group, List<LeaseRef> granted, List<LeaseRef> refused) implements ToAgent {}

    /** Ledger to agent: verdicts on reports, each of which is committed or will never be. */
    @WireCode(643)
    record Reported(int group, List<Settled> settled) implements ToAgent {
        /** The verdict on the report on one lease. */
        public record Settled(LeaseRef lease, ReportVerdict verdict) {}
    }

    /** Ledger to agent: stop the items of these leases; their results would be ignored. */
    @WireCode(644)
    record Revoke(int group, List<LeaseRef> leases) implements ToAgent {}

    /**
     * Host to agent: this host does not lead the job ledger.
     *
     * @param leader host to contact instead, or null if unknown
     * @param retryAfterMillis milliseconds to wait before the agent contacts this host again
     */
    @WireCode(645)
    record Redirect(int group, HostId leader, long retryAfterMillis) implements ToAgent {}
}
