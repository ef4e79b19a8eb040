package org.coltsfootproxy.membership;

import static com.google.common.base.Preconditions.checkArgument;

import java.time.Duration;
import java.util.List;
import java.util.Random;
import org.coltsfootproxy.base.EventCode;
import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.base.Incarnation;
import org.coltsfootproxy.base.Names;
import org.coltsfootproxy.config.ConfigTiming;
import org.coltsfootproxy.message.ConfigMessage;
import org.coltsfootproxy.node.Effects;
import org.coltsfootproxy.node.Node;

/**
 * Acquires and renews one lease, and tracks when it expires.
 *
 * <p>The lease is valid from the time at which the confirmed request was sent, for its duration
 * less the bound on clock drift. A holder that gets no answer stops by its own clock.
 */
public final class LeaseHolder {
    /** Renewals per lease duration, so that one may be lost and another host be tried in time. */
    private static final int RENEWALS_PER_DURATION = 4;

    /** Number of latest requests whose answers are accepted; earlier ones are treated as lost. */
    private static final int MAX_OUTSTANDING = 8;

    /** Maximum fraction by which an interval is shortened at random. */
    private static final double JITTER_FRACTION = 0.2;

    private static final long MIN_RETRY_DELAY_NANOS = Duration.ofMillis(50).toNanos();

    private final String mName;
    private final Incarnation mSelf;
    private final List<HostId> mHosts;
    private final long mDurationNanos;
    private final Random mRandom;

    /** Index in {@code mHosts} of the host that requests are sent to. */
    private int mCurrentIndex;

    private boolean mIsWanted;
    private boolean mIsAwaitingAnswer;

    /** Send times of the latest requests, indexed by sequence number modulo the length. */
    private final long[] mSentAtNanos = new long[MAX_OUTSTANDING];

    /** Sequence number of the last request. */
    private long mSequence;

    /** Answers to requests up to this sequence number are ignored, as a release followed them. */
    private long mLastIgnoredSequence;

    private long mNextRequestNanos = Node.NEVER;

    /** Fencing number of the last grant, or 0. */
    private long mFencing;

    /** Fencing number of the last released grant; answers up to it count as refusals. */
    private long mReleasedFencing;

    private boolean mIsHeld;
    private long mHeldUntilNanos;

    private LeaseHolder(
            String name, Incarnation self, List<HostId> hosts, Duration duration, Random random) {
        mName = name;
        mSelf = self;
        mHosts = List.copyOf(hosts);
        mDurationNanos = duration.toNanos();
        mRandom = random;
        mCurrentIndex = random.nextInt(hosts.size());
    }

    /**
     * Returns a holder that does not hold the lease and does not request it yet.
     *
     * @param name name of the lease, valid according to {@link Names}
     * @param self incarnation of this host
     * @param hosts the control hosts
     * @param duration validity of the lease without renewal, from 0.1 s to 10 minutes; the granter
     *     ignores requests outside this range
     */
    public static LeaseHolder create(
            String name, Incarnation self, List<HostId> hosts, Duration duration, Random random) {
        Names.check(name, "lease name");
        checkArgument(!hosts.isEmpty(), "a lease holder needs at least one control host");
        checkArgument(duration.toMillis() > 0, "duration %s is not positive", duration);
        return new LeaseHolder(name, self, hosts, duration, random);
    }

    /** Starts requesting the lease, and renews it once it is held. */
    public void acquire(long nowNanos, Effects out) {
        if (!mIsWanted) {
            mIsWanted = true;
            sendRequest(nowNanos, out);
        }
    }

    /**
     * Releases the lease; the caller must have stopped using it.
     *
     * <p>The fencing number of the grant is never used again, so the release may arrive late.
     */
    public void release(Effects out) {
        if (mFencing > mReleasedFencing) {
            out.send(currentHost(), new ConfigMessage.LeaseRelease(mName, mSelf, mFencing));
        }
        mReleasedFencing = mFencing;
        mLastIgnoredSequence = mSequence;
        mIsWanted = false;
        mIsHeld = false;
        mIsAwaitingAnswer = false;
        mNextRequestNanos = Node.NEVER;
    }

    /** Handles a message; messages about other leases are ignored. */
    public void handle(HostId from, ConfigMessage message, long nowNanos, Effects out) {
        if (message instanceof ConfigMessage.LeaseAnswer answer && isExpected(answer)) {
            onAnswer(answer, nowNanos, out);
        } else if (message instanceof ConfigMessage.NotLeader redirect
                && mIsAwaitingAnswer
                && mName.equals(redirect.name())
                && redirect.sequence() == mSequence) {
            mIsAwaitingAnswer = false;
            selectHost(redirect.leader());
            mNextRequestNanos = nowNanos + jittered(MIN_RETRY_DELAY_NANOS);
        }
    }

    private boolean isExpected(ConfigMessage.LeaseAnswer answer) {
        return mIsWanted
                && mName.equals(answer.name())
                && answer.sequence() <= mSequence
                && answer.sequence() > Math.max(mLastIgnoredSequence, mSequence - MAX_OUTSTANDING);
    }

    private void onAnswer(ConfigMessage.LeaseAnswer answer, long nowNanos, Effects out) {
        if (answer.fencing() > mReleasedFencing) {
            onGranted(answer, nowNanos);
        } else if (answer.sequence() == mSequence) {
            mIsAwaitingAnswer = false;
            loseLease(out);
            long retry = Duration.ofMillis(Math.max(0, answer.retryMillis())).toNanos();
            mNextRequestNanos = nowNanos + jittered(Math.max(MIN_RETRY_DELAY_NANOS, retry));
        }
    }

    private void onGranted(ConfigMessage.LeaseAnswer answer, long nowNanos) {
        if (answer.sequence() == mSequence) {
            mIsAwaitingAnswer = false;
        }
        long sentAtNanos = mSentAtNanos[(int) (answer.sequence() % MAX_OUTSTANDING)];
        long untilNanos = sentAtNanos + ConfigTiming.shortenForDrift(mDurationNanos);
        boolean isLater = !mIsHeld || untilNanos - mHeldUntilNanos > 0;
        if (answer.fencing() >= mFencing && isLater && untilNanos - nowNanos > 0) {
            mIsHeld = true;
            mFencing = answer.fencing();
            mHeldUntilNanos = untilNanos;
        }
    }

    private void loseLease(Effects out) {
        if (mIsHeld) {
            mIsHeld = false;
            out.log(EventCode.LEASE_LOST, mName + " " + mFencing);
        }
    }

    /**
     * Handles the loss of a connection; if a request to that host is pending, tries the next host.
     */
    public void peerLost(HostId host, long nowNanos) {
        if (mIsAwaitingAnswer && currentHost().equals(host)) {
            mIsAwaitingAnswer = false;
            selectHost(null);
            mNextRequestNanos = nowNanos + jittered(MIN_RETRY_DELAY_NANOS);
        }
    }

    /** Expires the lease and sends the next request when they are due. */
    public void tick(long nowNanos, Effects out) {
        if (mIsHeld && nowNanos - mHeldUntilNanos >= 0) {
            loseLease(out);
        }
        if (mIsWanted && nowNanos - mNextRequestNanos >= 0) {
            if (mIsAwaitingAnswer) {
                selectHost(null);
            }
            sendRequest(nowNanos, out);
        }
    }

    /** Returns the time of the next due {@link #tick}, or {@link Node#NEVER}. */
    public long nextTickNanos() {
        return mIsHeld ? Math.min(mNextRequestNanos, mHeldUntilNanos) : mNextRequestNanos;
    }

    /** Returns whether the lease is held now, in which case no other process holds it. */
    public boolean isHeld(long nowNanos) {
        return mIsHeld && nowNanos - mHeldUntilNanos < 0;
    }

    /** Returns when the lease expires on this host's clock; meaningful only while it is held. */
    public long heldUntilNanos() {
        return mHeldUntilNanos;
    }

    /** Returns the fencing number of the last grant, or 0. */
    public long fencing() {
        return mFencing;
    }

    private void sendRequest(long nowNanos, Effects out) {
        mSequence++;
        mSentAtNanos[(int) (mSequence % MAX_OUTSTANDING)] = nowNanos;
        mIsAwaitingAnswer = true;
        mNextRequestNanos = nowNanos + jittered(mDurationNanos / RENEWALS_PER_DURATION);
        long fencing = mIsHeld ? mFencing : 0;
        long millis = Duration.ofNanos(mDurationNanos).toMillis();
        out.send(
                currentHost(),
                new ConfigMessage.LeaseRequest(
                        mName, mSelf, fencing, mReleasedFencing, millis, mSequence));
    }

    private HostId currentHost() {
        return mHosts.get(mCurrentIndex);
    }

    private void selectHost(HostId leader) {
        int index = leader == null ? -1 : mHosts.indexOf(leader);
        mCurrentIndex = index >= 0 ? index : (mCurrentIndex + 1) % mHosts.size();
    }

    private long jittered(long nanos) {
        return (long) (nanos * (1 - JITTER_FRACTION * mRandom.nextDouble()));
    }
}
