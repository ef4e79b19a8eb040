package org.coltsfootproxy.quarantine;

import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.coltsfootproxy.base.EventCode;
import org.coltsfootproxy.base.Metric;
import org.coltsfootproxy.base.SuspectId;
import org.coltsfootproxy.message.FleetMessage;
import org.coltsfootproxy.node.Effects;
import org.coltsfootproxy.node.LogField;
import org.coltsfootproxy.node.Node;

/**
 * One host's view of the prompt parts and requests that crash targets, shared with the other hosts
 * that call targets.
 *
 * <p>Every host draws its own conclusions from what all of them report, so none depends on another.
 * A conclusion is reported as well, regularly, for hosts that have started since.
 */
public final class CrashQuarantine {
    /** How long a part or a request stays quarantined. */
    static final long QUARANTINE_NANOS = TimeUnit.HOURS.toNanos(1);

    /** Interval between two reports of all that is quarantined. */
    private static final long REPEAT_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);

    private static final int MAX_QUARANTINED = 64;

    private final CrashEvidence mEvidence = new CrashEvidence();
    private final RequestEvidence mRequests = new RequestEvidence();

    /** Parts that were answered at any host. */
    private final SoundParts mSound = new SoundParts();

    /** Parts that were answered at this host, which clears them at the others. */
    private final SoundParts mSoundHere = new SoundParts();

    private final Map<SuspectId, QuarantineTerm> mQuarantined = new LinkedHashMap<>();

    private final RepeatedUpdates<FleetMessage.TargetCrash> mCrashUpdates = new RepeatedUpdates<>();
    private final RepeatedUpdates<SuspectId> mSoundUpdates = new RepeatedUpdates<>();
    private long mNextRepeat = Node.NEVER;
    private long mVersion;

    private CrashQuarantine() {}

    /** Returns an instance that quarantines nothing. */
    public static CrashQuarantine create() {
        return new CrashQuarantine();
    }

    /** Returns a number that grows with each quarantine. */
    public long version() {
        return mVersion;
    }

    /** Returns what of a call's content is quarantined, if anything is. */
    public Optional<SuspectId> firstQuarantined(CallContent content) {
        return mQuarantined.isEmpty()
                ? Optional.empty()
                : content.suspects().filter(mQuarantined::containsKey).findFirst();
    }

    /** Notes a call that was cut by its target. */
    public void callCut(CutCall cut, long nowNanos, Effects out) {
        List<SuspectId> parts = cut.hasOnlyBegun() ? cut.content().parts() : List.of();
        SuspectId request = cut.content().request().orElse(null);
        if (parts.isEmpty() && request == null) {
            return;
        }
        var crash =
                new FleetMessage.TargetCrash(
                        cut.target(), cut.call(), parts, request, cut.recurred());
        mCrashUpdates.add(crash, nowNanos);
        addEvidence(crash, nowNanos, out);
    }

    /** Returns whether targets have crashed on a call with this content, as far as is known. */
    public boolean isSuspect(CallContent content) {
        return content.request().filter(mRequests::isSuspect).isPresent();
    }

    private void addEvidence(FleetMessage.TargetCrash crash, long nowNanos, Effects out) {
        if (!crash.parts().isEmpty() && !mEvidence.contains(crash)) {
            addPartEvidence(crash, nowNanos);
        }
        SuspectId request = crash.request();
        if (request != null
                && !mQuarantined.containsKey(request)
                && mRequests.add(crash, nowNanos)) {
            String why = mRequests.describe(request);
            quarantine(request, nowNanos + QUARANTINE_NANOS, why, nowNanos, out);
        }
    }

    /**
     * Returns whether a batch item may be sent. If a part of its prompt is quarantined, it may be
     * tried now and then, because it is owed to its organisation; an answer ends the quarantine.
     *
     * @param jitter fraction by which this host waits longer for a trial, at least 0; hosts differ
     *     in it, so that one tries first
     */
    public boolean mayTry(CallContent item, double jitter, long nowNanos) {
        return item.suspects()
                .map(mQuarantined::get)
                .filter(Objects::nonNull)
                .allMatch(term -> term.isTrialDue(jitter, nowNanos));
    }

    /** Notes that a target has cut a batch item of which a part may be quarantined. */
    public void trialFailed(CallContent item, long nowNanos) {
        trialFailed(item.parts(), nowNanos);
    }

    private void trialFailed(List<SuspectId> parts, long nowNanos) {
        parts.stream()
                .map(mQuarantined::get)
                .filter(Objects::nonNull)
                .forEach(term -> term.trialFailed(nowNanos));
    }

    private void addPartEvidence(FleetMessage.TargetCrash crash, long nowNanos) {
        List<SuspectId> suspects =
                crash.parts().stream().filter(part -> !mSound.contains(part, nowNanos)).toList();
        if (suspects.stream().noneMatch(mQuarantined::containsKey)) {
            mEvidence.add(crash, suspects, nowNanos);
        } else {
            trialFailed(suspects, nowNanos);
        }
    }

    /** Notes that a target has sent output for a call, so the parts of its prompt are sound. */
    public void answerProgressed(CallContent content, long nowNanos, Effects out) {
        for (SuspectId part : content.parts()) {
            mSoundHere.answered(part, nowNanos);
            if (mEvidence.isSuspect(part) || mQuarantined.containsKey(part)) {
                mSoundUpdates.add(part, nowNanos);
            }
            clear(part, nowNanos, out);
        }
    }

    /** Notes that a target has answered a call completely, so the request is sound. */
    public void answerCompleted(CallContent content, long nowNanos, Effects out) {
        content.request()
                .filter(id -> mRequests.isSuspect(id) || mQuarantined.containsKey(id))
                .ifPresent(
                        id -> {
                            mSoundUpdates.add(id, nowNanos);
                            clear(id, nowNanos, out);
                        });
    }

    private void clear(SuspectId suspect, long nowNanos, Effects out) {
        mSound.answered(suspect, nowNanos);
        mEvidence.clear(suspect);
        mRequests.clear(suspect);
        if (mQuarantined.remove(suspect) != null) {
            logReleased(suspect, "a call with it was answered", out);
        }
    }

    /** Applies another host's report. */
    public void handle(FleetMessage.CrashReport report, long nowNanos, Effects out) {
        for (FleetMessage.TargetCrash crash : report.crashes()) {
            if (!mEvidence.contains(crash)) {
                crash.parts().stream()
                        .filter(part -> mSoundHere.contains(part, nowNanos))
                        .forEach(part -> mSoundUpdates.add(part, nowNanos));
            }
            addEvidence(crash, nowNanos, out);
        }
        report.sound().forEach(suspect -> clear(suspect, nowNanos, out));
        adopt(report.quarantined(), "another host's report", nowNanos, out);
    }

    /** Applies what the control hosts have stored. */
    public void handle(FleetMessage.Quarantine stored, long nowNanos, Effects out) {
        adopt(stored.suspects(), "stored by the control hosts", nowNanos, out);
    }

    private void adopt(
            List<FleetMessage.Quarantined> suspects, String why, long nowNanos, Effects out) {
        for (FleetMessage.Quarantined quarantined : suspects) {
            SuspectId suspect = quarantined.suspect();
            if (!mQuarantined.containsKey(suspect) && !mSound.contains(suspect, nowNanos)) {
                long end = nowNanos + TimeUnit.MILLISECONDS.toNanos(quarantined.remainingMillis());
                quarantine(suspect, end, why, nowNanos, out);
            }
        }
    }

    private void quarantine(SuspectId suspect, long end, String why, long nowNanos, Effects out) {
        if (mQuarantined.size() >= MAX_QUARANTINED) {
            mQuarantined.entrySet().stream()
                    .min(Comparator.comparingLong(entry -> entry.getValue().end()))
                    .map(Map.Entry::getKey)
                    .ifPresent(mQuarantined::remove);
        }
        mQuarantined.put(suspect, new QuarantineTerm(end, nowNanos));
        mEvidence.removeCausedBy(suspect);
        mRequests.clear(suspect);
        mVersion++;
        mNextRepeat = nowNanos;
        out.log(
                EventCode.SUSPECT_QUARANTINED,
                LogField.of("suspect", suspect),
                LogField.of("why", why),
                LogField.of("seconds", TimeUnit.NANOSECONDS.toSeconds(end - nowNanos)),
                LogField.of("quarantined", mQuarantined.size()));
        measure(out);
    }

    private void logReleased(SuspectId suspect, String why, Effects out) {
        out.log(
                EventCode.SUSPECT_RELEASED,
                LogField.of("suspect", suspect),
                LogField.of("why", why),
                LogField.of("quarantined", mQuarantined.size()));
        measure(out);
    }

    private void measure(Effects out) {
        out.measure(Metric.QUARANTINED_PARTS, "", "", mQuarantined.size());
    }

    /**
     * Quarantines the parts that cause crashes, and releases what has been quarantined for long.
     */
    public void tick(long nowNanos, Effects out) {
        if (nowNanos - nextTickNanos() < 0) {
            return;
        }
        List<SuspectId> expired =
                mQuarantined.entrySet().stream()
                        .filter(suspect -> nowNanos - suspect.getValue().end() >= 0)
                        .map(Map.Entry::getKey)
                        .toList();
        for (SuspectId suspect : expired) {
            mQuarantined.remove(suspect);
            logReleased(suspect, "its time is over", out);
        }
        Optional<SuspectId> culprit = mEvidence.culprit(nowNanos);
        while (culprit.isPresent()) {
            String why = mEvidence.describe(culprit.get(), nowNanos);
            quarantine(culprit.get(), nowNanos + QUARANTINE_NANOS, why, nowNanos, out);
            culprit = mEvidence.culprit(nowNanos);
        }
    }

    /** Returns the time of the next due {@link #tick}, or {@link Node#NEVER}. */
    public long nextTickNanos() {
        long nextEnd = Node.NEVER;
        for (QuarantineTerm term : mQuarantined.values()) {
            nextEnd = Math.min(nextEnd, term.end());
        }
        return Math.min(nextEnd, mEvidence.nextReviewNanos());
    }

    /** Returns what has to be reported to the other hosts now; empty if nothing has. */
    public Optional<FleetMessage.CrashReport> takeReport(long nowNanos) {
        if (nowNanos - nextReportNanos() < 0) {
            return Optional.empty();
        }
        List<FleetMessage.Quarantined> quarantined = List.of();
        if (nowNanos - mNextRepeat >= 0) {
            quarantined = quarantined(nowNanos);
            mNextRepeat = quarantined.isEmpty() ? Node.NEVER : nowNanos + REPEAT_INTERVAL_NANOS;
        }
        return Optional.of(
                new FleetMessage.CrashReport(
                        mCrashUpdates.take(nowNanos), mSoundUpdates.take(nowNanos), quarantined));
    }

    /** Returns all that is quarantined, with the remaining times. */
    public List<FleetMessage.Quarantined> quarantined(long nowNanos) {
        return mQuarantined.entrySet().stream()
                .map(
                        suspect ->
                                new FleetMessage.Quarantined(
                                        suspect.getKey(),
                                        TimeUnit.NANOSECONDS.toMillis(
                                                suspect.getValue().end() - nowNanos)))
                .toList();
    }

    /** Returns when the next report is due, or {@link Node#NEVER}. */
    public long nextReportNanos() {
        long next = Math.min(mCrashUpdates.nextNanos(), mSoundUpdates.nextNanos());
        return Math.min(next, mNextRepeat);
    }
}
