package org.coltsfootproxy.platform;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.coltsfootproxy.platform.SimulatedTarget.Run;

/** Simulated targets that crash on some calls and are replaced some seconds later. */
final class CrashingTargets {
    private static final long RESTART_NANOS = 3 * PlatformSimulation.SECOND_NANOS;

    /** When targets have crashed, in order. */
    final List<Long> mCrashes = new ArrayList<>();

    /** All targets, also those that have crashed. */
    final List<SimulatedTarget> mAll = new ArrayList<>();

    private final PlatformSimulation mSimulation;
    private final Consumer<SimulatedTarget> mPrepare;

    /**
     * Creates an instance without targets.
     *
     * @param prepare lets a target crash on some calls
     */
    CrashingTargets(PlatformSimulation simulation, Consumer<SimulatedTarget> prepare) {
        mSimulation = simulation;
        mPrepare = prepare;
    }

    void add(SimulatedTarget target) {
        add(target, 0);
    }

    private void add(SimulatedTarget target, int restarts) {
        mAll.add(target);
        mPrepare.accept(target);
        target.mOnCrash =
                () -> {
                    mCrashes.add(mSimulation.now());
                    mSimulation.fleet().after(RESTART_NANOS, () -> replace(target, restarts + 1));
                };
    }

    private void replace(SimulatedTarget target, int restarts) {
        String id = target.mId.replaceFirst("r\\d+$", "") + "r" + restarts;
        SimulatedTarget next = mSimulation.replaceTarget(target, id);
        next.mIsPlain = target.mIsPlain;
        next.mVersion = target.mVersion;
        add(next, restarts);
    }

    /** Returns the calls that have reached targets since {@code nanos}. */
    List<Run> arrivalsSince(long nanos) {
        return mAll.stream()
                .flatMap(target -> target.mArrivals.stream())
                .filter(run -> run.mArrivalNanos >= nanos)
                .toList();
    }
}
