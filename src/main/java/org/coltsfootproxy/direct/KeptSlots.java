package org.coltsfootproxy.direct;

import java.util.Collection;

/** Decides which items keep their slots because they can't wait; all others are preemptible. */
final class KeptSlots {
    private final Targets mTargets;

    KeptSlots(Targets targets) {
        mTargets = targets;
    }

    /**
     * Updates which items keep their slots; the other hosts learn it with the next load report.
     *
     * @param runNanos mean time of a run
     */
    void update(Collection<ItemRun> all, double runNanos, long now) {
        all.stream()
                .filter(run -> run.target().isPresent())
                .forEach(run -> update(run, runNanos, now));
    }

    /** Updates whether an item at a target keeps its slot. */
    void update(ItemRun run, double runNanos, long now) {
        boolean needsSlotNow = run.needsSlotNow(runNanos, now);
        if (run.isKept() && !needsSlotNow) {
            set(run, false);
        } else if (!run.isKept()
                && needsSlotNow
                && Targets.mayAddKept(run.target().orElseThrow())) {
            set(run, true);
        }
    }

    /** Notes that an item leaves its target. */
    void release(ItemRun run) {
        if (run.isKept()) {
            set(run, false);
        }
    }

    private void set(ItemRun run, boolean isKept) {
        run.setKept(isKept);
        mTargets.setKept(run.target().orElseThrow(), isKept);
        run.target().orElseThrow().work().setPreemptible(run.targetCall(), !isKept);
    }
}
