package org.coltsfootproxy.admission;

import java.util.TreeMap;
import org.coltsfootproxy.base.OrganisationId;

/** The waiting work of one organisation in one traffic class, and the service it received. */
final class OrganisationQueue {
    private final OrganisationId mOrganisation;
    private final TreeMap<Long, QueuedWork> mWaiting = new TreeMap<>();
    private double mWeight = 1;
    private double mNormalisedService;
    private long mBytes;

    OrganisationQueue(OrganisationId organisation) {
        mOrganisation = organisation;
    }

    OrganisationId organisation() {
        return mOrganisation;
    }

    /** Returns the received service time divided by the weight, in nanoseconds. */
    double normalisedService() {
        return mNormalisedService;
    }

    /** Raises the service to at least {@code floor}, so that idle time earns no credit. */
    void raiseServiceTo(double floor) {
        mNormalisedService = Math.max(mNormalisedService, floor);
    }

    void charge(double nanos) {
        mNormalisedService += nanos / mWeight;
    }

    void add(QueuedWork queued) {
        mWeight = queued.work().weight();
        mWaiting.put(queued.sequence(), queued);
        mBytes += queued.work().bytes();
    }

    void remove(QueuedWork queued) {
        mWaiting.remove(queued.sequence());
        mBytes -= queued.work().bytes();
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

    /** Returns the number of waiting requests per unit of weight. */
    double countPerWeight() {
        return mWaiting.size() / mWeight;
    }

    /** Returns the bytes of the waiting requests per unit of weight. */
    double bytesPerWeight() {
        return mBytes / mWeight;
    }
}
