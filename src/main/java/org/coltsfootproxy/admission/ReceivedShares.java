package org.coltsfootproxy.admission;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.coltsfootproxy.base.OrganisationId;
import org.coltsfootproxy.limit.AdmissionListener;

/**
 * The requests that each organisation has lately brought past its rate limit, over all entries.
 *
 * <p>Fed by the admission counts that entries report to each other. An entry that has just started
 * knows no counts, so that all organisations are equal to it.
 */
public final class ReceivedShares implements AdmissionListener {
    /**
     * Time after which a request counts half. A few single requests in a row are no flood, and an
     * organisation that has stopped flooding is treated like the others after some seconds.
     */
    static final long HALF_LIFE_NANOS = TimeUnit.SECONDS.toNanos(3);

    /** Maximum number of organisations; further ones count as below their share. */
    static final int MAX_ORGANISATIONS = 4_096;

    /** Decayed number of requests below which an organisation is forgotten. */
    private static final double MIN_RECEIVED = 0.1;

    private static final long PRUNE_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final Map<OrganisationId, DecayedCount> mReceived = new HashMap<>();
    private final DecayedCount mTotal = new DecayedCount(HALF_LIFE_NANOS, 0);
    private long mPrunedAt;

    private ReceivedShares() {}

    /** Returns an instance that knows no organisation. */
    public static ReceivedShares create() {
        return new ReceivedShares();
    }

    @Override
    public void admitted(OrganisationId organisation, long requests, long nowNanos) {
        prune(nowNanos);
        DecayedCount count = mReceived.get(organisation);
        if (count == null) {
            if (mReceived.size() >= MAX_ORGANISATIONS) {
                return;
            }
            count = new DecayedCount(HALF_LIFE_NANOS, nowNanos);
            mReceived.put(organisation, count);
        }
        count.add(requests, nowNanos);
        mTotal.add(requests, nowNanos);
    }

    private void prune(long nowNanos) {
        if (nowNanos - mPrunedAt < PRUNE_INTERVAL_NANOS) {
            return;
        }
        mPrunedAt = nowNanos;
        Iterator<DecayedCount> counts = mReceived.values().iterator();
        while (counts.hasNext()) {
            double value = counts.next().value(nowNanos);
            if (value < MIN_RECEIVED) {
                mTotal.add(-value, nowNanos);
                counts.remove();
            }
        }
    }

    /** Returns the decayed number of requests of an organisation; 0 if it is not known. */
    public double received(OrganisationId organisation, long nowNanos) {
        DecayedCount count = mReceived.get(organisation);
        return count == null ? 0 : count.value(nowNanos);
    }

    /**
     * Returns what an organisation has received as a multiple of its fair share, which is an equal
     * part for each organisation that has sent requests lately; 0 if it has received nothing.
     *
     * @param weight share of the organisation relative to others, above 0
     */
    public double ratio(OrganisationId organisation, double weight, long nowNanos) {
        double total = mTotal.value(nowNanos);
        return total > 0 ? received(organisation, nowNanos) / weight * mReceived.size() / total : 0;
    }

    /** Returns the organisations that have received most, the first one first. */
    public List<OrganisationId> largest(int count, long nowNanos) {
        Comparator<Map.Entry<OrganisationId, DecayedCount>> byReceived =
                Comparator.comparingDouble(entry -> -entry.getValue().value(nowNanos));
        return mReceived.entrySet().stream()
                .sorted(byReceived)
                .limit(count)
                .map(Map.Entry::getKey)
                .toList();
    }

    /** Returns the number of organisations that are known. */
    int size() {
        return mReceived.size();
    }
}
