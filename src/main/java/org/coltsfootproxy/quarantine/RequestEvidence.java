package org.coltsfootproxy.quarantine;

import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.coltsfootproxy.base.SuspectId;
import org.coltsfootproxy.base.TargetId;
import org.coltsfootproxy.message.FleetMessage;

/**
 * The crashes of targets that ran a request, by the request's content.
 *
 * <p>A request is the culprit if several targets crashed on it and none has answered it since. All
 * calls at a target are cut when it crashes, so a request that is sent often may be in flight at
 * many targets that an outage ends at the same time. A culprit therefore also has to be sent again
 * after a crash and crash a further target.
 */
final class RequestEvidence {
    /** Number of crashes that shows that a request is the culprit, and not a coincidence. */
    private static final int MIN_CRASHES = 3;

    /** Time within which a target crashes only once, because it has to start again first. */
    private static final long SAME_CRASH_NANOS = TimeUnit.SECONDS.toNanos(1);

    /** How long a crash is remembered. */
    private static final long RETENTION_NANOS = TimeUnit.HOURS.toNanos(1);

    /** How long a cut call is remembered, whose report comes several times. */
    private static final long DUPLICATE_NANOS = TimeUnit.SECONDS.toNanos(10);

    /** Number of cut calls of a suspect that the log names. */
    private static final int MAX_DESCRIBED_CALLS = 10;

    private static final int MAX_SUSPECTS = 10_000;
    private static final int MAX_CUT_CALLS = 50_000;

    /** The suspects, the one with the oldest last crash first. */
    private final LinkedHashMap<SuspectId, Case> mCases = new LinkedHashMap<>();

    /** When calls were cut, the oldest first; also those whose request has been cleared since. */
    private final LinkedHashMap<CutAt, Long> mCutCalls = new LinkedHashMap<>();

    private record CutAt(TargetId target, String call) {}

    /** The crashes on one request. */
    private static final class Case {
        private final Set<CutAt> mCalls = new LinkedHashSet<>();
        private final Map<TargetId, Long> mLastCrashes = new HashMap<>();
        private int mCrashes;
        private boolean mHasRecurred;
        private long mLastAt;

        boolean isProven() {
            return mHasRecurred && mCrashes >= MIN_CRASHES;
        }

        void add(FleetMessage.TargetCrash crash, long nowNanos) {
            mLastAt = nowNanos;
            if (mCalls.size() < MAX_DESCRIBED_CALLS) {
                mCalls.add(new CutAt(crash.target(), crash.call()));
            }
            mHasRecurred |= crash.recurred();
            Long last = mLastCrashes.put(crash.target(), nowNanos);
            if (last == null || nowNanos - last >= SAME_CRASH_NANOS) {
                mCrashes++;
            }
        }
    }

    /** Adds a crash unless it is known; returns whether its request is now proven the culprit. */
    boolean add(FleetMessage.TargetCrash crash, long nowNanos) {
        if (!isNew(new CutAt(crash.target(), crash.call()), nowNanos)) {
            return false;
        }
        Case suspect = mCases.remove(crash.request());
        if (suspect == null || nowNanos - suspect.mLastAt >= RETENTION_NANOS) {
            suspect = new Case();
        }
        mCases.put(crash.request(), suspect);
        suspect.add(crash, nowNanos);
        if (mCases.size() > MAX_SUSPECTS) {
            mCases.remove(mCases.keySet().iterator().next());
        }
        return suspect.isProven();
    }

    private boolean isNew(CutAt cut, long nowNanos) {
        boolean isNew = mCutCalls.putIfAbsent(cut, nowNanos) == null;
        Iterator<Long> oldest = mCutCalls.values().iterator();
        while (oldest.hasNext()) {
            boolean isOld = nowNanos - oldest.next() >= DUPLICATE_NANOS;
            if (!isOld && mCutCalls.size() <= MAX_CUT_CALLS) {
                break;
            }
            oldest.remove();
        }
        return isNew;
    }

    /** Returns whether targets have crashed on a request. */
    boolean isSuspect(SuspectId request) {
        return mCases.containsKey(request);
    }

    /** Forgets the crashes on a request. */
    void clear(SuspectId request) {
        mCases.remove(request);
    }

    /** Returns the crashes on a request, for the log. */
    String describe(SuspectId request) {
        return mCases.get(request).mCalls.stream()
                .map(cut -> cut.target() + " crashed on " + cut.call())
                .collect(Collectors.joining(", "));
    }
}
