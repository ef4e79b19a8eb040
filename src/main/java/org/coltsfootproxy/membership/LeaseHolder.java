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
 * The holder's side of one lease: asks for it, renews it, and knows when it ends.
 *
 * <p>The lease holds from when the request was sent that the granter confirmed, for its duration
 * less the drift bound; a holder that hears nothing stops by its own clock.
 */
public final class LeaseHolder {
    /** Renewals within the duration, so that one may be lost and another host be tried. */
    private static final int RENEWALS = 4;

    /** Requests whose answers still count; those before are taken for lost. */
    private static final int OUTSTANDING = 8;

    private static final double JITTER = 0.2;
    private static final long MIN_PAUSE_NANOS = Duration.ofMillis(50).toNanos();

    private final String mName;
    private final Incarnation mSelf;
    private final List<HostId> mHosts;
    private final long mDurationNanos;
    private final Random mRandom;

    private int mCurrent;
    private boolean mIsWanted;
    private boolean mIsAwaiting;
    private final long[] mSentAt = new long[OUTSTANDING];
    private long mSequence;
    private long mForgotten;
    private long mNextAt = Node.NEVER;
    private long mFencing;
    private long mReleased;
    private boolean mIsHeld;
    private long mHeldUntil;

    private LeaseHolder(
            String name, Incarnation self, List<HostId> hosts, Duration duration, Random random) {
        mName = name;
        mSelf = self;
        mHosts = List.copyOf(hosts);
        mDurationNanos = duration.toNanos();
        mRandom = random;
        mCurrent = random.nextInt(hosts.size());
    }

    /**
     * Returns a holder that has nothing and asks for nothing yet.
     *
     * @param name what the lease is for, a valid name
     * @param self this process's life
     * @param hosts the control hosts
     * @param duration how long the lease holds without renewal, from 0.1 s to ten minutes
     */
    public static LeaseHolder create(
            String name, Incarnation self, List<HostId> hosts, Duration duration, Random random) {
        Names.check(name, "lease name");
        checkArgument(!hosts.isEmpty(), "no control hosts");
        checkArgument(duration.toMillis() > 0, "duration %s is not positive", duration);
        return new LeaseHolder(name, self, hosts, duration, random);
    }

    /** Begins to ask for the lease, and to keep it. */
    public void want(long nowNanos, Effects out) {
        if (!mIsWanted) {
            mIsWanted = true;
            ask(nowNanos, out);
        }
    }

    /**
     * Gives the lease up; the caller must have stopped using it.
     *
     * <p>The number of the grant is never used again, so that the release may arrive late.
     */
    public void release(Effects out) {
        if (mFencing > mReleased) {
            out.send(current(), new ConfigMessage.LeaseRelease(mName, mSelf, mFencing));
        }
        mReleased = mFencing;
        mForgotten = mSequence;
        mIsWanted = false;
        mIsHeld = false;
        mIsAwaiting = false;
        mNextAt = Node.NEVER;
    }

    /** Handles a message; one about another lease is ignored. */
    public void handle(HostId from, ConfigMessage message, long nowNanos, Effects out) {
        if (message instanceof ConfigMessage.LeaseAnswer answer && isKnown(answer)) {
            onAnswer(answer, nowNanos, out);
        } else if (message instanceof ConfigMessage.AskLeader elsewhere
                && mIsAwaiting
                && mName.equals(elsewhere.name())
                && elsewhere.sequence() == mSequence) {
            mIsAwaiting = false;
            turnTo(elsewhere.leader());
            mNextAt = nowNanos + jittered(MIN_PAUSE_NANOS);
        }
    }

    private boolean isKnown(ConfigMessage.LeaseAnswer answer) {
        return mIsWanted
                && mName.equals(answer.name())
                && answer.sequence() <= mSequence
                && answer.sequence() > Math.max(mForgotten, mSequence - OUTSTANDING);
    }

    private void onAnswer(ConfigMessage.LeaseAnswer answer, long nowNanos, Effects out) {
        if (answer.fencing() > mReleased) {
            granted(answer, nowNanos);
        } else if (answer.sequence() == mSequence) {
            mIsAwaiting = false;
            lose(out);
            long retry = Duration.ofMillis(Math.max(0, answer.retryMillis())).toNanos();
            mNextAt = nowNanos + jittered(Math.max(MIN_PAUSE_NANOS, retry));
        }
    }

    private void granted(ConfigMessage.LeaseAnswer answer, long nowNanos) {
        if (answer.sequence() == mSequence) {
            mIsAwaiting = false;
        }
        long sentAt = mSentAt[(int) (answer.sequence() % OUTSTANDING)];
        long until = sentAt + ConfigTiming.holderNanos(mDurationNanos);
        boolean isLater = !mIsHeld || until - mHeldUntil > 0;
        if (answer.fencing() >= mFencing && isLater && until - nowNanos > 0) {
            mIsHeld = true;
            mFencing = answer.fencing();
            mHeldUntil = until;
        }
    }

    private void lose(Effects out) {
        if (mIsHeld) {
            mIsHeld = false;
            out.log(EventCode.LEASE_LOST, mName + " " + mFencing);
        }
    }

    /** Handles the loss of a connection: if it was to the current host, tries the next. */
    public void peerLost(HostId host, long nowNanos) {
        if (mIsAwaiting && current().equals(host)) {
            mIsAwaiting = false;
            turnTo(null);
            mNextAt = nowNanos + jittered(MIN_PAUSE_NANOS);
        }
    }

    /** Does whatever is due. */
    public void tick(long nowNanos, Effects out) {
        if (mIsHeld && nowNanos - mHeldUntil >= 0) {
            lose(out);
        }
        if (mIsWanted && nowNanos - mNextAt >= 0) {
            if (mIsAwaiting) {
                turnTo(null);
            }
            ask(nowNanos, out);
        }
    }

    /** Returns the time of the next due tick, or {@link Node#NEVER}. */
    public long nextTickNanos() {
        return mIsHeld ? Math.min(mNextAt, mHeldUntil) : mNextAt;
    }

    /** Tells whether the lease is held now; nobody else holds it then. */
    public boolean isHeld(long nowNanos) {
        return mIsHeld && nowNanos - mHeldUntil < 0;
    }

    /** Returns when the lease ends by this host's clock unless it is renewed; for one held now. */
    public long heldUntilNanos() {
        return mHeldUntil;
    }

    /** Returns the fencing number of the last grant, or 0. */
    public long fencing() {
        return mFencing;
    }

    private void ask(long nowNanos, Effects out) {
        mSequence++;
        mSentAt[(int) (mSequence % OUTSTANDING)] = nowNanos;
        mIsAwaiting = true;
        mNextAt = nowNanos + jittered(mDurationNanos / RENEWALS);
        long fencing = mIsHeld ? mFencing : 0;
        long millis = Duration.ofNanos(mDurationNanos).toMillis();
        out.send(
                current(),
                new ConfigMessage.LeaseRequest(
                        mName, mSelf, fencing, mReleased, millis, mSequence));
    }

    private HostId current() {
        return mHosts.get(mCurrent);
    }

    private void turnTo(HostId leader) {
        int hint = leader == null ? -1 : mHosts.indexOf(leader);
        mCurrent = hint >= 0 ? hint : (mCurrent + 1) % mHosts.size();
    }

    private long jittered(long nanos) {
        return (long) (nanos * (1 - JITTER * mRandom.nextDouble()));
    }
}
