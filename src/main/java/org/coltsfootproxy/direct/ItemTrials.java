package org.coltsfootproxy.direct;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.Collection;
import java.util.List;
import org.coltsfootproxy.node.Effects;
import org.coltsfootproxy.quarantine.CrashQuarantine;
import org.coltsfootproxy.quarantine.CutCall;

/** Decides when items with a quarantined part may be tried at a target. */
final class ItemTrials {
    private final CrashQuarantine mQuarantine;

    /** Fraction by which this host waits longer than the others for trials. */
    private final double mJitter;

    private long mCheckedVersion;

    ItemTrials(CrashQuarantine quarantine, double jitter) {
        mQuarantine = checkNotNull(quarantine, "quarantine");
        mJitter = jitter;
    }

    /**
     * Returns whether an item is not quarantined, or may be tried in spite of it.
     *
     * @param all all items of this host, of which only one is tried at a time
     */
    boolean maySend(ItemRun run, Collection<ItemRun> all, long now) {
        return !isQuarantined(run)
                || !isAnyTried(all) && mQuarantine.mayTry(run.content(), mJitter, now);
    }

    private boolean isAnyTried(Collection<ItemRun> all) {
        return all.stream().anyMatch(run -> run.target().isPresent() && isQuarantined(run));
    }

    private boolean isQuarantined(ItemRun run) {
        return mQuarantine.firstQuarantined(run.content()).isPresent();
    }

    /** Returns the number of items that wait because they are quarantined. */
    long waiting(Collection<ItemRun> all) {
        return all.stream().filter(run -> run.target().isEmpty() && isQuarantined(run)).count();
    }

    /**
     * Returns the items that wait for an answer at a target although they are quarantined now;
     * empty if nothing was quarantined since the last call.
     */
    List<ItemRun> newlyQuarantined(Collection<ItemRun> all) {
        if (mCheckedVersion == mQuarantine.version()) {
            return List.of();
        }
        mCheckedVersion = mQuarantine.version();
        return all.stream()
                .filter(run -> run.target().isPresent() && !run.hasSuccess())
                .filter(this::isQuarantined)
                .toList();
    }

    /** Notes that a target has sent the first event of its answer. */
    void answerProgressed(ItemRun run, long now, Effects out) {
        mQuarantine.answerProgressed(run.content(), now, out);
    }

    /** Notes that a call has failed. */
    void callFailed(ItemRun run, long now) {
        mQuarantine.trialFailed(run.content(), now);
    }

    /** Reports a target that ended the connection as it began its answer. */
    void answerCut(ItemRun run, long now, Effects out) {
        if (run.hasSuccess() && !run.hasProgressed()) {
            var cut =
                    CutCall.ofItem(
                            run.target().orElseThrow().listed().id(),
                            run.lease().job() + "/" + run.lease().item(),
                            run.content());
            mQuarantine.callCut(cut, now, out);
        }
    }
}
