package org.coltsfootproxy.admission;

import java.util.TreeMap;
import org.coltsfootproxy.base.OrganisationId;

/** What one organisation has waiting in one class, with its account of service received. */
final class OrganisationQueue {
    private final OrganisationId mOrganisation;
    private final TreeMap<Long, QueuedWork> mWaiting = new TreeMap<>();
    private double mWeight = 1;
    private double mServed;
    private long mBytes;

    OrganisationQueue(OrganisationId organisation) {
        mOrganisation = organisation;
    }

    OrganisationId organisation() {
        return mOrganisation;
    }

    /** Returns the service received divided by the weight, in nanoseconds of target time. */
    double served() {
        return mServed;
    }

    /** Sets the account to at least {@code floor}, so that idle time saves up no claim. */
    void raiseTo(double floor) {
        mServed = Math.max(mServed, floor);
    }

    void charge(double nanos) {
        mServed += nanos / mWeight;
    }

    void add(QueuedWork pending) {
        mWeight = pending.work().weight();
        mWaiting.put(pending.sequence(), pending);
        mBytes += pending.work().bytes();
    }

    void remove(QueuedWork pending) {
        mWaiting.remove(pending.sequence());
        mBytes -= pending.work().bytes();
    }

    QueuedWork oldest() {
        return mWaiting.firstEntry().getValue();
    }

    QueuedWork newest() {
        return mWaiting.lastEntry().getValue();
    }

    boolean isEmpty() {
        return mWaiting.isEmpty();
    }

    /** Returns the number of waiting requests for each unit of weight. */
    double countShare() {
        return mWaiting.size() / mWeight;
    }

    /** Returns the waiting bytes for each unit of weight. */
    double byteShare() {
        return mBytes / mWeight;
    }
}
