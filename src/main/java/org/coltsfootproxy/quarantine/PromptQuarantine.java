package org.coltsfootproxy.quarantine;

import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.stream.LongStream;
import org.coltsfootproxy.base.EventCode;
import org.coltsfootproxy.base.Metric;
import org.coltsfootproxy.base.PromptPartId;
import org.coltsfootproxy.base.TargetId;
import org.coltsfootproxy.message.FleetMessage;
import org.coltsfootproxy.node.Effects;
import org.coltsfootproxy.node.LogField;
import org.coltsfootproxy.node.Node;

/**
 * One host's view of the prompt parts that crash targets, shared with the other hosts that call
 * targets.
 *
 * <p>Every host draws its own conclusions from what all of them report, so none depends on another.
 * A conclusion is reported as well, regularly, for hosts that have started since.
 */
public final class PromptQuarantine {
    /** How long a part stays quarantined. */
    static final long QUARANTINE_NANOS = TimeUnit.HOURS.toNanos(1);

    /** Interval between two reports of all quarantined parts. */
    private static final long REPEAT_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);

    private static final int MAX_QUARANTINED = 64;

    private final CrashEvidence mEvidence = new CrashEvidence();

    /** Parts that were answered at any host. */
    private final SoundParts mSound = new SoundParts();

    /** Parts that were answered at this host, which clears them at the others. */
    private final SoundParts mSoundHere = new SoundParts();

    /** The end of each part's quarantine. */
    private final Map<PromptPartId, Long> mQuarantined = new LinkedHashMap<>();

    private final RepeatedUpdates<FleetMessage.TargetCrash> mCrashUpdates = new RepeatedUpdates<>();
    private final RepeatedUpdates<PromptPartId> mSoundUpdates = new RepeatedUpdates<>();
    private long mNextRepeat = Node.NEVER;
    private long mVersion;

    private PromptQuarantine() {}

    /** Returns an instance without quarantined parts. */
    public static PromptQuarantine create() {
        return new PromptQuarantine();
    }

    /** Returns a number that grows whenever a part is quarantined. */
    public long version() {
        return mVersion;
    }

    /** Returns the first of the parts that is quarantined, if there is one. */
    public Optional<PromptPartId> firstQuarantined(List<PromptPartId> parts) {
        return mQuarantined.isEmpty()
                ? Optional.empty()
                : parts.stream().filter(mQuarantined::containsKey).findFirst();
    }

    /**
     * Notes that a target closed the connection of a call after it began its answer and before any
     * output, as a target does that crashes on the call.
     *
     * @param call id of the call
     * @param parts parts of its prompt that other calls may share, in their order
     */
    public void answerCut(TargetId target, String call, List<PromptPartId> parts, long nowNanos) {
        var crash = new FleetMessage.TargetCrash(target, call, parts);
        if (!parts.isEmpty() && !mEvidence.contains(crash)) {
            mCrashUpdates.add(crash, nowNanos);
            addEvidence(crash, nowNanos);
        }
    }

    private void addEvidence(FleetMessage.TargetCrash crash, long nowNanos) {
        List<PromptPartId> suspects =
                crash.parts().stream().filter(part -> !mSound.contains(part, nowNanos)).toList();
        if (firstQuarantined(suspects).isEmpty()) {
            mEvidence.add(crash, suspects, nowNanos);
        }
    }

    /** Notes that a target has sent output for a call, so the parts of its prompt are sound. */
    public void answerProgressed(List<PromptPartId> parts, long nowNanos, Effects out) {
        for (PromptPartId part : parts) {
            mSoundHere.answered(part, nowNanos);
            if (mEvidence.isSuspect(part) || mQuarantined.containsKey(part)) {
                mSoundUpdates.add(part, nowNanos);
            }
            clear(part, nowNanos, out);
        }
    }

    private void clear(PromptPartId part, long nowNanos, Effects out) {
        mSound.answered(part, nowNanos);
        mEvidence.clear(part);
        if (mQuarantined.remove(part) != null) {
            logReleased(part, "a call with it was answered", out);
        }
    }

    /** Applies another host's report. */
    public void handle(FleetMessage.PromptReport report, long nowNanos, Effects out) {
        report.sound().forEach(part -> clear(part, nowNanos, out));
        for (FleetMessage.TargetCrash crash : report.crashes()) {
            if (!mEvidence.contains(crash)) {
                crash.parts().stream()
                        .filter(part -> mSoundHere.contains(part, nowNanos))
                        .forEach(part -> mSoundUpdates.add(part, nowNanos));
                addEvidence(crash, nowNanos);
            }
        }
        adopt(report.quarantined(), "another host's report", nowNanos, out);
    }

    /** Applies what the control hosts have stored. */
    public void handle(FleetMessage.Quarantine stored, long nowNanos, Effects out) {
        adopt(stored.parts(), "stored by the control hosts", nowNanos, out);
    }

    private void adopt(
            List<FleetMessage.QuarantinedPart> parts, String why, long nowNanos, Effects out) {
        for (FleetMessage.QuarantinedPart quarantined : parts) {
            PromptPartId part = quarantined.part();
            if (!mQuarantined.containsKey(part) && !mSound.contains(part, nowNanos)) {
                long end = nowNanos + TimeUnit.MILLISECONDS.toNanos(quarantined.remainingMillis());
                quarantine(part, end, why, nowNanos, out);
            }
        }
    }

    private void quarantine(PromptPartId part, long end, String why, long nowNanos, Effects out) {
        if (mQuarantined.size() >= MAX_QUARANTINED) {
            mQuarantined.entrySet().stream()
                    .min(Comparator.comparingLong(Map.Entry::getValue))
                    .map(Map.Entry::getKey)
                    .ifPresent(mQuarantined::remove);
        }
        mQuarantined.put(part, end);
        mEvidence.removeCausedBy(part);
        mVersion++;
        mNextRepeat = nowNanos;
        out.log(
                EventCode.PART_QUARANTINED,
                LogField.of("part", part),
                LogField.of("why", why),
                LogField.of("seconds", TimeUnit.NANOSECONDS.toSeconds(end - nowNanos)),
                LogField.of("quarantined", mQuarantined.size()));
        measure(out);
    }

    private void logReleased(PromptPartId part, String why, Effects out) {
        out.log(
                EventCode.PART_RELEASED,
                LogField.of("part", part),
                LogField.of("why", why),
                LogField.of("quarantined", mQuarantined.size()));
        measure(out);
    }

    private void measure(Effects out) {
        out.measure(Metric.QUARANTINED_PARTS, "", "", mQuarantined.size());
    }

    /** Quarantines the culprits of crashes, and releases the parts whose time is over. */
    public void tick(long nowNanos, Effects out) {
        if (nowNanos - nextTickNanos() < 0) {
            return;
        }
        List<PromptPartId> expired =
                mQuarantined.entrySet().stream()
                        .filter(part -> nowNanos - part.getValue() >= 0)
                        .map(Map.Entry::getKey)
                        .toList();
        for (PromptPartId part : expired) {
            mQuarantined.remove(part);
            logReleased(part, "its time is over", out);
        }
        Optional<PromptPartId> culprit = mEvidence.culprit(nowNanos);
        while (culprit.isPresent()) {
            String why = mEvidence.describe(culprit.get(), nowNanos);
            quarantine(culprit.get(), nowNanos + QUARANTINE_NANOS, why, nowNanos, out);
            culprit = mEvidence.culprit(nowNanos);
        }
    }

    /** Returns the time of the next due {@link #tick}, or {@link Node#NEVER}. */
    public long nextTickNanos() {
        long nextEnd =
                mQuarantined.values().stream().mapToLong(end -> end).min().orElse(Node.NEVER);
        return Math.min(nextEnd, mEvidence.nextReviewNanos());
    }

    /** Returns what has to be reported to the other hosts now; empty if nothing has. */
    public Optional<FleetMessage.PromptReport> takeReport(long nowNanos) {
        if (nowNanos - nextReportNanos() < 0) {
            return Optional.empty();
        }
        List<FleetMessage.QuarantinedPart> quarantined = List.of();
        if (nowNanos - mNextRepeat >= 0) {
            quarantined = quarantined(nowNanos);
            mNextRepeat = quarantined.isEmpty() ? Node.NEVER : nowNanos + REPEAT_INTERVAL_NANOS;
        }
        return Optional.of(
                new FleetMessage.PromptReport(
                        mCrashUpdates.take(nowNanos), mSoundUpdates.take(nowNanos), quarantined));
    }

    /** Returns all quarantined parts with their remaining times. */
    public List<FleetMessage.QuarantinedPart> quarantined(long nowNanos) {
        return mQuarantined.entrySet().stream()
                .map(
                        part ->
                                new FleetMessage.QuarantinedPart(
                                        part.getKey(),
                                        TimeUnit.NANOSECONDS.toMillis(part.getValue() - nowNanos)))
                .toList();
    }

    /** Returns when the next report is due, or {@link Node#NEVER}. */
    public long nextReportNanos() {
        return LongStream.of(mCrashUpdates.nextNanos(), mSoundUpdates.nextNanos(), mNextRepeat)
                .min()
                .getAsLong();
    }
}
