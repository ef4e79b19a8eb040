package org.coltsfootproxy.direct;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.concurrent.TimeUnit;
import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.base.TrafficClass;
import org.coltsfootproxy.message.FleetMessage;
import org.coltsfootproxy.work.TargetSpeed;
import org.coltsfootproxy.work.WorkEstimate;

/**
 * The work at one target: what is left of this host's calls by their estimates, what other hosts
 * report of theirs, the memory that all of them have claimed, and the target's speed.
 */
final class TargetWork {
    /** How long a figure is reported to others; they use it for another 500 ms. */
    private static final long REPORT_SPEED_NANOS = TimeUnit.MILLISECONDS.toNanos(150);

    /** Change of the figure, as a fraction, that is reported even if no call starts or ends. */
    private static final double REPORTED_CHANGE = 0.2;

    private static final double NANOS_PER_MILLI = TimeUnit.MILLISECONDS.toNanos(1);

    private final Map<Long, Call> mCalls = new HashMap<>();
    private final Map<HostId, Reported> mReported = new HashMap<>();
    private final TargetSpeed mSpeed = new TargetSpeed();
    private int mTokens;
    private int mTokensElsewhere;
    private double mTold;
    private long mToldAt = Long.MIN_VALUE / 2;

    /** A call of this host. */
    private static final class Call {
        private final WorkEstimate mEstimate;
        private final OptionalDouble mTold;
        private final boolean mIsWhole;
        private final boolean mHadToWait;
        private long mStartsAt;
        private boolean mIsPreemptible;

        Call(
                WorkEstimate estimate,
                OptionalDouble told,
                boolean isWhole,
                boolean hadToWait,
                long startsAt) {
            mEstimate = estimate;
            mTold = told;
            mIsWhole = isWhole;
            mHadToWait = hadToWait;
            mStartsAt = startsAt;
        }

        double remainingMillis(long nowNanos) {
            double elapsed = Math.max(0, (nowNanos - mStartsAt) / NANOS_PER_MILLI);
            return remaining(mEstimate.meanMillis(), elapsed);
        }
    }

    /** What another host reported of its calls that can't be preempted. */
    private record Reported(int calls, double millis, int tokens, long receivedAt) {}

    /**
     * What is known of a call that has ended completely.
     *
     * @param heldMillis how long it held its slot
     * @param estimate what was expected
     * @param told the mean of the figures told at its begin and end; empty if one is missing
     */
    record Ended(double heldMillis, WorkEstimate estimate, OptionalDouble told) {}

    /**
     * Returns the expected rest of a call. A call that has taken its expected time is not about to
     * end: the longer it takes, the more likely it is one of the long ones.
     */
    private static double remaining(double meanMillis, double elapsedMillis) {
        return meanMillis * Math.exp(-elapsedMillis / meanMillis);
    }

    TargetSpeed speed() {
        return mSpeed;
    }

    /**
     * Notes that a call of this host was sent.
     *
     * @param isWhole whether the target is to produce the whole answer
     * @param waitMillis expected time until it begins
     */
    void began(
            long call,
            WorkEstimate estimate,
            TrafficClass type,
            boolean isWhole,
            double waitMillis,
            long nowNanos) {
        Call begun =
                new Call(
                        estimate,
                        mSpeed.told(nowNanos),
                        isWhole,
                        waitMillis > 0,
                        nowNanos + (long) (waitMillis * NANOS_PER_MILLI));
        begun.mIsPreemptible = type == TrafficClass.BATCH;
        mCalls.put(call, begun);
        mTokens += estimate.memoryTokens();
    }

    /** Notes that the target has begun its answer to a call, which has left the queue by then. */
    void answerBegun(long call, long nowNanos) {
        Call begun = mCalls.get(call);
        if (begun != null && begun.mHadToWait) {
            begun.mStartsAt = nowNanos;
        }
    }

    /** Notes that a batch item keeps its slot, or no longer does. */
    void setPreemptible(long call, boolean isPreemptible) {
        Call begun = mCalls.get(call);
        if (begun != null) {
            begun.mIsPreemptible = isPreemptible;
        }
    }

    /** Notes that a call of this host has ended, or was ended, in whatever way. */
    void ended(long call) {
        Call ended = mCalls.remove(call);
        if (ended != null) {
            mTokens -= ended.mEstimate.memoryTokens();
        }
    }

    /** Returns what a call shows that ends now with its whole answer; null if it shows nothing. */
    Ended shown(long call, long nowNanos) {
        Call ended = mCalls.get(call);
        if (ended == null || !ended.mIsWhole) {
            return null;
        }
        double held = Math.max(1, (nowNanos - ended.mStartsAt) / NANOS_PER_MILLI);
        OptionalDouble last = mSpeed.told(nowNanos);
        OptionalDouble told =
                last.isPresent() && ended.mTold.isPresent()
                        ? OptionalDouble.of((last.getAsDouble() + ended.mTold.getAsDouble()) / 2)
                        : OptionalDouble.empty();
        return new Ended(held, ended.mEstimate, told);
    }

    /**
     * Notes the speed that the target told this host; returns whether it has changed so much that
     * other hosts should know.
     */
    boolean told(double speed, long nowNanos) {
        double known = mSpeed.told(nowNanos).orElse(1);
        mTold = speed;
        mToldAt = nowNanos;
        mSpeed.told(speed, nowNanos);
        return Math.abs(speed / known - 1) >= REPORTED_CHANGE;
    }

    /** Applies what another host has reported. */
    void reported(HostId host, FleetMessage.TargetUse use, long nowNanos) {
        if (use.speedPercent() > 0) {
            double speed = use.speedPercent() / 100.0;
            if (TargetLoad.isCredible(speed)) {
                mSpeed.told(speed, nowNanos);
            }
        }
        int calls = use.online() + use.kept();
        forget(host);
        if (calls + use.batch() > 0) {
            int tokens = Math.max(0, use.memoryTokens());
            double millis = Math.max(0, use.workMillis());
            mReported.put(host, new Reported(calls, millis, tokens, nowNanos));
            mTokensElsewhere += tokens;
        }
    }

    /** Forgets what another host has reported. */
    void forget(HostId host) {
        Reported before = mReported.remove(host);
        if (before != null) {
            mTokensElsewhere -= before.tokens();
        }
    }

    /** Returns the expected rest of this host's calls that can't be preempted. */
    int ownMillis(long nowNanos) {
        double millis = 0;
        for (Call call : mCalls.values()) {
            millis += call.mIsPreemptible ? 0 : call.remainingMillis(nowNanos);
        }
        return (int) Math.min(Integer.MAX_VALUE, millis);
    }

    /** Returns the memory that this host's calls have claimed, in tokens. */
    int ownTokens() {
        return mTokens;
    }

    /**
     * Returns the figure that the target told this host just now, in percent; 0 if it told none.
     */
    int speedPercent(long nowNanos) {
        if (nowNanos - mToldAt >= REPORT_SPEED_NANOS) {
            return 0;
        }
        return (int) Math.round(mTold * 100);
    }

    /** Returns the memory that the calls of all hosts have claimed, in tokens. */
    int tokens() {
        return mTokens + mTokensElsewhere;
    }

    /** Returns the mean rest of all hosts' calls that can't be preempted, at usual speed. */
    double meanRemainingMillis(long nowNanos) {
        double millis = 0;
        int calls = 0;
        for (Call call : mCalls.values()) {
            if (!call.mIsPreemptible) {
                millis += call.remainingMillis(nowNanos);
                calls++;
            }
        }
        for (Reported report : mReported.values()) {
            // A host of an earlier version reports calls and no work.
            if (report.calls() > 0 && report.millis() > 0) {
                double elapsed = (nowNanos - report.receivedAt()) / NANOS_PER_MILLI;
                double mean = report.millis() / report.calls();
                millis += report.calls() * remaining(mean, elapsed);
                calls += report.calls();
            }
        }
        return calls > 0 ? millis / calls : WorkEstimate.UNKNOWN.meanMillis();
    }
}
