package org.coltsfootproxy.soak;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;

/** What targets have seen: each send of each request, in order of arrival. */
final class SendLog {
    /** One request at one target. */
    static final class Send {
        final String mRequest;
        final SoakRoutes.Route mRoute;
        final String mTarget;
        final long mAtMillis;
        final long mDeadlineMillis;
        final String mResumedAfter;

        /** Whether the target has begun to work on the request. */
        volatile boolean mHasRun;

        /** When the target has ended. */
        volatile long mTargetEndMillis = Long.MAX_VALUE;

        /** Status of the answer, 0 without one. */
        volatile int mStatus;

        volatile String mEnd = "open";

        Send(
                String request,
                SoakRoutes.Route route,
                String target,
                long atMillis,
                long deadlineMillis,
                String resumedAfter) {
            mRequest = request;
            mRoute = route;
            mTarget = target;
            mAtMillis = atMillis;
            mDeadlineMillis = deadlineMillis;
            mResumedAfter = resumedAfter;
        }

        long endsAtMillis() {
            return mAtMillis + mDeadlineMillis;
        }

        @Override
        public String toString() {
            return String.format(
                    "%7d ms  %-10s Deadline-Ms %5d  after '%s'  answered %3d%s  %s%s",
                    mAtMillis,
                    mTarget,
                    mDeadlineMillis,
                    mResumedAfter,
                    mStatus,
                    mHasRun ? ", ran" : ", not run",
                    mEnd,
                    mTargetEndMillis == Long.MAX_VALUE
                            ? ""
                            : ", target ended at " + mTargetEndMillis);
        }
    }

    /** Time after a disruption until a machine is in touch again. */
    private static final long CONTACT_MILLIS = 3_000;

    /** The entry that got a request, and until when its caller waits. */
    private record Caller(String entry, long untilMillis) {}

    /** Time in which a machine's process did not run as it should. */
    private record Disruption(String machine, long fromMillis, long toMillis) {}

    private final long mStart = System.nanoTime();
    private final Map<String, List<Send>> mSends = new ConcurrentHashMap<>();
    private final Map<String, Caller> mCallers = new ConcurrentHashMap<>();
    private final List<Disruption> mDisruptions = new CopyOnWriteArrayList<>();

    long millis() {
        return (System.nanoTime() - mStart) / 1_000_000;
    }

    /** Notes which entry gets a request, and until when its caller waits. */
    void callerWaits(String request, String entry, long untilMillis) {
        mCallers.put(request, new Caller(entry, untilMillis));
    }

    /** Returns until when the caller of a request waits; the far future for an item. */
    long callerEnd(String request) {
        return Optional.ofNullable(mCallers.get(request))
                .map(Caller::untilMillis)
                .orElse(Long.MAX_VALUE / 2);
    }

    /** Notes that a machine was disrupted from a time until now. */
    void disrupted(String machine, long fromMillis) {
        mDisruptions.add(new Disruption(machine, fromMillis, millis()));
    }

    /**
     * Returns whether the entry that sent a request was in touch then: it had not been disrupted
     * just before.
     */
    boolean isInTouch(Send send) {
        Caller caller = mCallers.get(send.mRequest);
        return mDisruptions.stream()
                .filter(d -> caller != null && d.machine().equals(caller.entry()))
                .noneMatch(
                        d ->
                                d.fromMillis() <= send.mAtMillis
                                        && d.toMillis() + CONTACT_MILLIS >= send.mAtMillis);
    }

    void add(Send send) {
        mSends.computeIfAbsent(send.mRequest, id -> Collections.synchronizedList(new ArrayList<>()))
                .add(send);
    }

    /** Returns the sends by request. */
    Map<String, List<Send>> sends() {
        return mSends;
    }

    /** Notes that a target has ended. */
    void targetEnded(String target) {
        mSends.values().stream()
                .flatMap(sends -> List.copyOf(sends).stream())
                .filter(send -> send.mTarget.equals(target))
                .forEach(send -> send.mTargetEndMillis = millis());
    }
}
