package org.coltsfootproxy.job;

import java.util.HashMap;
import java.util.Map;
import org.coltsfootproxy.base.ServiceId;

/** Moving averages of how long items run, by job and by service. */
final class RunTimes {
    private static final double FIRST_GUESS_SECONDS = 1;
    private static final double WEIGHT_OF_LAST = 0.1;
    private static final double MIN_SECONDS = 0.001;

    private final Map<Long, Double> mByJob = new HashMap<>();
    private final Map<ServiceId, Double> mByService = new HashMap<>();

    void add(LedgerJob job, double seconds) {
        double run = Math.max(seconds, MIN_SECONDS);
        mByJob.merge(job.number(), run, RunTimes::mix);
        mByService.merge(job.spec().service(), run, RunTimes::mix);
    }

    private static double mix(double old, double last) {
        return old + WEIGHT_OF_LAST * (last - old);
    }

    /** Returns the expected run time of an item of the job, in seconds. */
    double seconds(LedgerJob job) {
        Double own = mByJob.get(job.number());
        return own != null
                ? own
                : mByService.getOrDefault(job.spec().service(), FIRST_GUESS_SECONDS);
    }

    void forget(long job) {
        mByJob.remove(job);
    }

    void clear() {
        mByJob.clear();
    }
}
