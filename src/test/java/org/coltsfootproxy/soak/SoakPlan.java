package org.coltsfootproxy.soak;

import java.nio.file.Path;
import java.util.Optional;

/**
 * What a run plays.
 *
 * @param seed seed of the load and the faults
 * @param seconds how long callers send
 * @param width number of faults at a time, 0 for none
 * @param load multiple of the usual rates
 * @param targetQueue number of requests that wait at a target
 * @param poison fraction of the items that fail at each run
 * @param itemBytes size of an item's body
 * @param finalFault whether all processes are killed at the end and one of them loses its disk
 * @param build folder of a build that is run; empty for the classes of this one
 */
record SoakPlan(
        long seed,
        int seconds,
        int width,
        double load,
        int targetQueue,
        double poison,
        int itemBytes,
        boolean finalFault,
        Optional<Path> build) {

    static SoakPlan calm(long seed, int seconds) {
        return new SoakPlan(seed, seconds, 0, 1, 24, 0.01, 15_000, false, Optional.empty());
    }

    SoakPlan withFaults(int faultsAtATime) {
        return new SoakPlan(
                seed,
                seconds,
                faultsAtATime,
                load,
                targetQueue,
                poison,
                itemBytes,
                finalFault,
                build);
    }

    SoakPlan withLoad(double factor, int queue) {
        return new SoakPlan(
                seed, seconds, width, factor, queue, poison, itemBytes, finalFault, build);
    }

    SoakPlan withPoison(double fraction, int bytes) {
        return new SoakPlan(
                seed, seconds, width, load, targetQueue, fraction, bytes, finalFault, build);
    }

    SoakPlan withFinalFault() {
        return new SoakPlan(
                seed, seconds, width, load, targetQueue, poison, itemBytes, true, build);
    }

    SoakPlan withBuild(Path folder) {
        return new SoakPlan(
                seed,
                seconds,
                width,
                load,
                targetQueue,
                poison,
                itemBytes,
                finalFault,
                Optional.of(folder));
    }
}
