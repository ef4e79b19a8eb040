package org.coltsfootproxy.job;

import org.coltsfootproxy.base.OrganisationId;
import org.coltsfootproxy.message.ItemState;
import org.coltsfootproxy.message.JobSpec;
import org.coltsfootproxy.message.JobState;
import org.coltsfootproxy.message.JobStatus;

/** A job of the ledger with its items. */
final class LedgerJob {
    private final long mNumber;
    private final OrganisationId mOrganisation;
    private final JobSpec mSpec;
    private final ItemTable mItems = new ItemTable();
    private JobState mState;
    private long mTouchedMillis;
    private long mAcceptedMillis;
    private long mFinishedMillis;

    private LedgerJob(
            long number, OrganisationId organisation, JobSpec spec, JobState state, long millis) {
        mNumber = number;
        mOrganisation = organisation;
        mSpec = spec;
        mState = state;
        mTouchedMillis = millis;
    }

    /** Returns a job that has not received any items. */
    static LedgerJob begin(
            long number, OrganisationId organisation, JobSpec spec, long epochMillis) {
        return new LedgerJob(number, organisation, spec, JobEvent.CHART.initial(), epochMillis);
    }

    /** Returns a job restored from a snapshot, without its items. */
    static LedgerJob restore(SnapshotHead head) {
        var job =
                new LedgerJob(
                        head.number(),
                        head.organisation(),
                        head.spec(),
                        head.state(),
                        head.touchedMillis());
        job.mAcceptedMillis = head.acceptedMillis();
        job.mFinishedMillis = head.finishedMillis();
        return job;
    }

    /** A job without its items, as written to snapshots. */
    record SnapshotHead(
            long number,
            OrganisationId organisation,
            JobSpec spec,
            JobState state,
            long touchedMillis,
            long acceptedMillis,
            long finishedMillis) {}

    SnapshotHead head() {
        return new SnapshotHead(
                mNumber,
                mOrganisation,
                mSpec,
                mState,
                mTouchedMillis,
                mAcceptedMillis,
                mFinishedMillis);
    }

    long number() {
        return mNumber;
    }

    OrganisationId organisation() {
        return mOrganisation;
    }

    JobSpec spec() {
        return mSpec;
    }

    ItemTable items() {
        return mItems;
    }

    JobState state() {
        return mState;
    }

    long acceptedMillis() {
        return mAcceptedMillis;
    }

    /**
     * Returns the time at which items were last received or the job last changed state, in
     * milliseconds since 1970.
     */
    long touchedMillis() {
        return mTouchedMillis;
    }

    void touch(long epochMillis) {
        mTouchedMillis = epochMillis;
    }

    void accept(long epochMillis) {
        mItems.trim();
        mState = JobEvent.CHART.next(mState, JobEvent.ACCEPT);
        mAcceptedMillis = epochMillis;
        touch(epochMillis);
    }

    void cancel(long epochMillis) {
        mState = JobEvent.CHART.next(mState, JobEvent.CANCEL);
        mFinishedMillis = epochMillis;
        touch(epochMillis);
    }

    /** Finishes or reopens the job according to its items' states. */
    void update(long epochMillis) {
        JobEvent event = mItems.openCount() == 0 ? JobEvent.END : JobEvent.REOPEN;
        if (JobEvent.CHART.changes(mState, event)) {
            mState = JobEvent.CHART.next(mState, event);
            mFinishedMillis = event == JobEvent.END ? epochMillis : 0;
            touch(epochMillis);
        }
    }

    /** Returns whether the job has ended and no agent or operator can change it any more. */
    boolean isSettled() {
        boolean hasEnded = mState == JobState.FINISHED || mState == JobState.CANCELLED;
        return hasEnded && mItems.openCount() == 0 && mItems.count(ItemState.MAY_HAVE_RUN) == 0;
    }

    /** Returns the number of items that count against the organisation's quota. */
    int openItems() {
        return mState == JobState.RECEIVING ? mSpec.items() : mItems.openCount();
    }

    JobStatus status() {
        return new JobStatus(
                mOrganisation,
                mSpec,
                mState,
                mItems.size(),
                mItems.count(ItemState.WAITING),
                mItems.count(ItemState.STARTED),
                mItems.count(ItemState.DONE),
                mItems.count(ItemState.FAILED),
                mItems.count(ItemState.MAY_HAVE_RUN),
                mItems.count(ItemState.CANCELLED),
                mAcceptedMillis,
                mFinishedMillis,
                0);
    }
}
