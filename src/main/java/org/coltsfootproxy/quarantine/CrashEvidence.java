package org.coltsfootproxy.quarantine;

import static java.util.Comparator.comparingInt;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.coltsfootproxy.base.SuspectId;
import org.coltsfootproxy.base.TargetId;
import org.coltsfootproxy.message.FleetMessage;
import org.coltsfootproxy.node.Node;

/**
 * The crashes of targets that began an answer, and the prompt parts that may have caused them.
 *
 * <p>A part is the culprit of crashes if it was in the prompts of several calls at as many targets
 * and no call with it has been answered since. Sound parts that occur with the culprit are cleared
 * by the answers to other calls. If several parts remain, the last in the prompt is the culprit,
 * because fewer calls share it.
 */
final class CrashEvidence {
    /** Number of crashed targets that shows that a part is the culprit, and not a coincidence. */
    static final int MIN_CRASHES = 3;

    /**
     * Number of different calls that show that the part is the culprit. If there is only one, the
     * culprit may as well be that request, of which {@link RequestEvidence} decides.
     */
    private static final int MIN_CONTENTS = 2;

    /** Age at which a crash counts; by then the other hosts have cleared the parts they can. */
    static final long REVIEW_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(150);

    /** How long a crash is remembered. */
    static final long RETENTION_NANOS = TimeUnit.HOURS.toNanos(1);

    /**
     * Fraction of all crashes since its first one in which a culprit is involved. In an outage of
     * many targets the crashes have no part in common.
     */
    private static final double MIN_SHARE = 0.25;

    private static final int MAX_CRASHES = 1_000;

    /** The crashes, oldest first. */
    private final LinkedHashMap<FleetMessage.TargetCrash, Suspects> mCrashes =
            new LinkedHashMap<>();

    /** When the crashes that do not count yet will do so. */
    private final Deque<Long> mReviews = new ArrayDeque<>();

    /** The parts that may have caused a crash, in the order of the prompt, and when it was seen. */
    private record Suspects(List<SuspectId> parts, long at) {}

    /** The crashes in which one part is a suspect. */
    private static final class Case {
        private final SuspectId mPart;
        private final int mFirstCrash;
        private final Set<TargetId> mTargets = new HashSet<>();
        private final Set<String> mContents = new HashSet<>();
        private int mPosition;

        Case(SuspectId part, int firstCrash) {
            mPart = part;
            mFirstCrash = firstCrash;
        }

        boolean isProven(int crashes) {
            return mTargets.size() >= MIN_CRASHES
                    && mContents.size() >= MIN_CONTENTS
                    && mTargets.size() >= MIN_SHARE * (crashes - mFirstCrash);
        }
    }

    /**
     * Adds a crash unless it is known.
     *
     * @param suspects the parts of the call's prompt that are not known to be sound
     */
    void add(FleetMessage.TargetCrash crash, List<SuspectId> suspects, long nowNanos) {
        if (mCrashes.putIfAbsent(crash, new Suspects(new ArrayList<>(suspects), nowNanos))
                == null) {
            mReviews.add(nowNanos + REVIEW_DELAY_NANOS);
        }
        Iterator<Suspects> oldest = mCrashes.values().iterator();
        while (oldest.hasNext()) {
            boolean isOld = nowNanos - oldest.next().at() >= RETENTION_NANOS;
            if (!isOld && mCrashes.size() <= MAX_CRASHES) {
                return;
            }
            oldest.remove();
        }
    }

    /** Returns whether a crash is known. */
    boolean contains(FleetMessage.TargetCrash crash) {
        return mCrashes.containsKey(crash);
    }

    /** Returns whether a part is a suspect. */
    boolean isSuspect(SuspectId part) {
        return mCrashes.values().stream().anyMatch(suspects -> suspects.parts().contains(part));
    }

    /** Clears a part of all crashes so far, because a call with it was answered. */
    void clear(SuspectId part) {
        mCrashes.values().forEach(suspects -> suspects.parts().remove(part));
    }

    /** Removes the crashes that a part has caused. */
    void removeCausedBy(SuspectId part) {
        mCrashes.values().removeIf(suspects -> suspects.parts().contains(part));
    }

    /** Returns the part that caused most of the crashes that count by now; empty if none did. */
    Optional<SuspectId> culprit(long nowNanos) {
        while (!mReviews.isEmpty() && nowNanos - mReviews.peek() >= 0) {
            mReviews.remove();
        }
        Map<SuspectId, Case> cases = new LinkedHashMap<>();
        int crashes = 0;
        for (Map.Entry<FleetMessage.TargetCrash, Suspects> crash : mCrashes.entrySet()) {
            Suspects suspects = crash.getValue();
            if (nowNanos - suspects.at() < REVIEW_DELAY_NANOS) {
                continue;
            }
            for (int i = 0; i < suspects.parts().size(); i++) {
                int first = crashes;
                Case suspect =
                        cases.computeIfAbsent(
                                suspects.parts().get(i), part -> new Case(part, first));
                suspect.mTargets.add(crash.getKey().target());
                suspect.mContents.add(contentOf(crash.getKey()));
                suspect.mPosition = i;
            }
            crashes++;
        }
        int total = crashes;
        return cases.values().stream()
                .filter(suspect -> suspect.isProven(total))
                .max(
                        comparingInt((Case suspect) -> suspect.mTargets.size())
                                .thenComparingInt(suspect -> suspect.mPosition))
                .map(suspect -> suspect.mPart);
    }

    private static String contentOf(FleetMessage.TargetCrash crash) {
        return crash.request() == null ? crash.call() : crash.request().value();
    }

    /** Returns the crashes of which a part is a suspect, for the log. */
    String describe(SuspectId part, long nowNanos) {
        return mCrashes.entrySet().stream()
                .filter(crash -> crash.getValue().parts().contains(part))
                .map(
                        crash ->
                                String.format(
                                        "%s crashed on %s %d ms ago",
                                        crash.getKey().target(),
                                        crash.getKey().call(),
                                        TimeUnit.NANOSECONDS.toMillis(
                                                nowNanos - crash.getValue().at())))
                .collect(Collectors.joining(", "));
    }

    /** Returns when the next crash counts, or {@link Node#NEVER}. */
    long nextReviewNanos() {
        return mReviews.isEmpty() ? Node.NEVER : mReviews.peek();
    }
}
