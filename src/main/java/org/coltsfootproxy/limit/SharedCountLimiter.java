package org.coltsfootproxy.limit;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.base.OrganisationId;
import org.coltsfootproxy.config.ConfigView;
import org.coltsfootproxy.config.Organisation;
import org.coltsfootproxy.message.FleetMessage;
import org.coltsfootproxy.message.LimitMessage;
import org.coltsfootproxy.node.Effects;
import org.coltsfootproxy.node.Node;

/**
 * A limiter in which each entry reports its admissions to all others.
 *
 * <p>Each entry keeps one bucket per organisation and deducts the admissions of all entries: its
 * own at once, those of others when their message arrives. A bucket may therefore become negative
 * by what others admit while their messages are in flight; this debt is refilled before anything
 * else is admitted. The share of an unreachable entry is reserved for it: on either side of a
 * network partition, buckets refill only by the share of the reachable entries.
 *
 * <p>Requests never wait and no other host is asked, so the failure of an entry or a control host
 * delays no request. The reports travel with those of {@link org.coltsfootproxy.relay}.
 */
public final class SharedCountLimiter implements Limiter {
    /** Longest interval between reports while requests are admitted. */
    private static final long BUSY_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    /** Interval between reports otherwise. */
    private static final long IDLE_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    /** Interval at which recent counts are reported again, in case that a report was lost. */
    private static final long REPEAT_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);

    /** Age up to which counts are reported again: longer than it takes to replace a relay. */
    private static final long MAX_REPEATED_AGE_NANOS = TimeUnit.SECONDS.toNanos(3);

    /**
     * Time without a message after which an entry counts as unreachable and its share is reserved
     * for it: two idle intervals plus 200 ms of transit time.
     */
    private static final long REACHABLE_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(1_200);

    /**
     * Age up to which a bucket adopts the level of other entries: the time for a connection and a
     * message.
     */
    private static final long MAX_ADOPTION_AGE_NANOS = TimeUnit.SECONDS.toNanos(2);

    private static final double SECOND_NANOS = 1e9;

    private final HostId mSelf;
    private final Map<OrganisationId, LocalBucket> mBuckets = new LinkedHashMap<>();
    private final Map<HostId, Peer> mPeers = new LinkedHashMap<>();
    private final Set<OrganisationId> mChanged = new LinkedHashSet<>();
    private ConfigView mView = ConfigView.empty();
    private AdmissionListener mListener = AdmissionListener.NONE;
    private long mReportedAt;
    private long mRepeatedAt;
    private boolean mIsReportRequired;

    /** The bucket of one organisation, and the number of its admissions at this entry. */
    private static final class LocalBucket {
        private final long mCreatedAt;
        private double mLevel;
        private long mFilledAt;
        private long mAdmitted;
        private long mAdmittedAt;

        LocalBucket(double level, long nowNanos) {
            mCreatedAt = nowNanos;
            mLevel = level;
            mFilledAt = nowNanos;
            mAdmittedAt = nowNanos;
        }
    }

    /** The state that is known of another entry. */
    private static final class Peer {
        private final Map<OrganisationId, Long> mAdmitted = new HashMap<>();
        private long mEpoch;
        private boolean mHasReported;
        private boolean mHasEnded;
        private long mReportedAt;
    }

    private SharedCountLimiter(HostId self) {
        mSelf = checkNotNull(self, "self");
    }

    /** Returns a limiter for an entry that does not know any other entry yet. */
    public static SharedCountLimiter create(HostId self) {
        return new SharedCountLimiter(self);
    }

    /** Sets who receives the admissions of this entry and those that others report. */
    public void setListener(AdmissionListener listener) {
        mListener = checkNotNull(listener, "listener");
    }

    /** Replaces the set of the fleet's entries, which may include this one. */
    public void entries(Collection<HostId> entries, long nowNanos) {
        fillAll(nowNanos);
        mPeers.keySet().retainAll(entries);
        entries.stream()
                .filter(entry -> !entry.equals(mSelf))
                .forEach(entry -> mPeers.computeIfAbsent(entry, e -> new Peer()));
    }

    /**
     * Records that an entry's process has ended.
     *
     * <p>If its reports arrived until now, it admits nothing any more. If it had been silent
     * before, it may be partitioned and still admit its share.
     */
    public void entryEnded(HostId entry, long nowNanos) {
        fillAll(nowNanos);
        Peer peer = mPeers.get(entry);
        if (peer != null
                && peer.mHasReported
                && nowNanos - peer.mReportedAt < REACHABLE_TIMEOUT_NANOS) {
            peer.mHasEnded = true;
        }
    }

    /** Makes the next report include all admission counts, because others may lack them. */
    public void requireCompleteReport() {
        mIsReportRequired = true;
        mChanged.addAll(mBuckets.keySet());
    }

    /** Returns whether all other entries have reported their admissions or have ended. */
    public boolean hasReportsFromAll(long nowNanos) {
        return mPeers.values().stream()
                .allMatch(peer -> peer.mHasEnded || isReachable(peer, nowNanos));
    }

    /**
     * Handles another entry's report of its admissions.
     *
     * @param epoch number that differs between the processes of an entry
     */
    public void handle(HostId from, long epoch, FleetMessage.Usage usage, long nowNanos) {
        Peer peer = mPeers.get(from);
        if (peer == null) {
            return;
        }
        if (!peer.mHasReported || peer.mEpoch != epoch) {
            // The entry has just started, so it lacks the counts of this entry.
            peer = new Peer();
            peer.mEpoch = epoch;
            mPeers.put(from, peer);
            requireCompleteReport();
        }
        // What an unreachable entry admitted is covered by the share reserved for it.
        boolean wasReachable = isReachable(peer, nowNanos);
        if (!wasReachable) {
            fillAll(nowNanos);
        }
        peer.mHasReported = true;
        peer.mHasEnded = false;
        peer.mReportedAt = nowNanos;
        double share = knownShare(nowNanos);
        for (FleetMessage.AdmissionCount use : usage.uses()) {
            Long last = peer.mAdmitted.put(use.organisation(), use.admitted());
            long before = last != null ? last : wasReachable ? 0 : -1;
            if (wasReachable && use.admitted() > before) {
                LocalBucket bucket = bucket(use.organisation(), nowNanos);
                fill(use.organisation(), bucket, share, nowNanos);
                bucket.mLevel -= use.admitted() - before;
                mListener.admitted(use.organisation(), use.admitted() - before, nowNanos);
            } else if (before < 0) {
                adoptLevel(use, nowNanos);
            }
        }
    }

    /** Adopts the level that another entry reports if the bucket here is still new. */
    private void adoptLevel(FleetMessage.AdmissionCount use, long nowNanos) {
        LocalBucket bucket = bucket(use.organisation(), nowNanos);
        if (nowNanos - bucket.mCreatedAt < MAX_ADOPTION_AGE_NANOS) {
            bucket.mLevel = use.level() - bucket.mAdmitted;
        }
    }

    private static boolean isReachable(Peer peer, long nowNanos) {
        return peer.mHasReported
                && !peer.mHasEnded
                && nowNanos - peer.mReportedAt < REACHABLE_TIMEOUT_NANOS;
    }

    /** Returns the share of the fleet's entries whose admissions are known here. */
    private double knownShare(long nowNanos) {
        // A plain loop, since this is called for each report that arrives.
        int reachable = 0;
        int ended = 0;
        for (Peer peer : mPeers.values()) {
            if (peer.mHasEnded) {
                ended++;
            } else if (isReachable(peer, nowNanos)) {
                reachable++;
            }
        }
        return (1.0 + reachable) / (1 + mPeers.size() - ended);
    }

    private void fillAll(long nowNanos) {
        double share = knownShare(nowNanos);
        mBuckets.forEach((organisation, bucket) -> fill(organisation, bucket, share, nowNanos));
    }

    private void fill(
            OrganisationId organisation, LocalBucket bucket, double share, long nowNanos) {
        Organisation rates = mView.organisation(organisation).orElse(null);
        double perSecond = rates == null ? 0 : rates.ratePerSecond();
        double burst = rates == null ? 0 : rates.burst();
        double added = perSecond * share * (nowNanos - bucket.mFilledAt) / SECOND_NANOS;
        bucket.mLevel = Math.min(burst, bucket.mLevel + added);
        bucket.mFilledAt = nowNanos;
    }

    /**
     * Returns the bucket of an organisation. A new one starts with only the known share of the
     * burst, because other entries may have emptied theirs.
     */
    private LocalBucket bucket(OrganisationId organisation, long nowNanos) {
        LocalBucket known = mBuckets.get(organisation);
        if (known != null) {
            return known;
        }
        double burst = mView.organisation(organisation).map(Organisation::burst).orElse(0.0);
        LocalBucket bucket = new LocalBucket(burst * knownShare(nowNanos), nowNanos);
        mBuckets.put(organisation, bucket);
        return bucket;
    }

    @Override
    public Decision tryAcquire(OrganisationId organisation, long call, long nowNanos, Effects out) {
        Optional<Organisation> rates = mView.organisation(organisation);
        if (rates.isEmpty()) {
            return Decision.unavailable(1);
        }
        double rate = rates.get().ratePerSecond();
        if (rate <= 0) {
            mListener.admitted(organisation, 1, nowNanos);
            return Decision.ADMITTED;
        }
        LocalBucket bucket = bucket(organisation, nowNanos);
        double share = knownShare(nowNanos);
        fill(organisation, bucket, share, nowNanos);
        if (bucket.mLevel >= 1) {
            bucket.mLevel--;
            bucket.mAdmitted++;
            bucket.mAdmittedAt = nowNanos;
            mChanged.add(organisation);
            mListener.admitted(organisation, 1, nowNanos);
            return Decision.ADMITTED;
        }
        return Decision.refused((long) ((1 - bucket.mLevel) / (rate * share) * SECOND_NANOS));
    }

    @Override
    public void cancel(OrganisationId organisation, long call) {
        // No request waits.
    }

    @Override
    public void handle(HostId from, LimitMessage message, long nowNanos, Effects out) {
        // Only GrantLimiter uses these messages.
    }

    @Override
    public void tick(long nowNanos, Effects out) {
        // Buckets are filled when they are used.
    }

    /** Returns what has to be reported to the other entries now; empty if nothing has. */
    public Optional<FleetMessage.Usage> takeReport(long nowNanos) {
        boolean isDue = nowNanos - nextReportNanos() >= 0;
        if (!isDue && mChanged.isEmpty()) {
            return Optional.empty();
        }
        if (nowNanos - mRepeatedAt >= REPEAT_INTERVAL_NANOS) {
            mRepeatedAt = nowNanos;
            mBuckets.forEach((id, bucket) -> addIfRecent(id, bucket, nowNanos));
        }
        mReportedAt = nowNanos;
        mIsReportRequired = false;
        double share = knownShare(nowNanos);
        List<FleetMessage.AdmissionCount> uses =
                mChanged.stream()
                        .map(id -> usageOf(id, mBuckets.get(id), share, nowNanos))
                        .toList();
        mChanged.clear();
        return Optional.of(new FleetMessage.Usage(uses));
    }

    private void addIfRecent(OrganisationId id, LocalBucket bucket, long nowNanos) {
        if (nowNanos - bucket.mAdmittedAt < MAX_REPEATED_AGE_NANOS) {
            mChanged.add(id);
        }
    }

    private FleetMessage.AdmissionCount usageOf(
            OrganisationId id, LocalBucket bucket, double share, long nowNanos) {
        fill(id, bucket, share, nowNanos);
        return new FleetMessage.AdmissionCount(id, bucket.mAdmitted, bucket.mLevel);
    }

    @Override
    public long nextTickNanos() {
        return Node.NEVER;
    }

    /** Returns when the next report is due, or {@link Node#NEVER} without other entries. */
    public long nextReportNanos() {
        if (mPeers.isEmpty()) {
            return Node.NEVER;
        }
        boolean isIdle = mChanged.isEmpty() && !mIsReportRequired;
        return mReportedAt + (isIdle ? IDLE_INTERVAL_NANOS : BUSY_INTERVAL_NANOS);
    }

    @Override
    public void configure(ConfigView view, long nowNanos) {
        fillAll(nowNanos);
        mView = checkNotNull(view, "view");
        mBuckets.keySet().removeIf(id -> view.organisation(id).isEmpty());
        mChanged.removeIf(id -> !mBuckets.containsKey(id));
    }

    @Override
    public void stop(long nowNanos, Effects out) {
        // No tokens are held for return.
    }
}
