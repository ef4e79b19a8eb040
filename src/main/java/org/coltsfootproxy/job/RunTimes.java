package org.coltsfootproxy.job;

import java.util.HashMap;
import java.util.Map;
import org.coltsfootproxy.base.ServiceId;

/** Exponential moving averages of item run times, by job and by service. */
final class RunTimes {
    private static final double DEFAULT_SECONDS = 1;
    private static final double SMOOTHING_FACTOR = 0.1;
    private static final double MIN_SECONDS = 0.001;

    private final JobServices mServices;
    private final Map<Long, Double> mByJob = new HashMap<>();
    private final Map<ServiceId, Double> mByService = new HashMap<>();

    RunTimes(JobServices services) {
        mServices = services;
    }

    void add(LedgerJob job, double seconds) {
        double boundedSeconds = Math.max(seconds, MIN_SECONDS);
        mByJob.merge(job.number(), boundedSeconds, RunTimes::average);
        mByService.merge(mServices.of(job), boundedSeconds, RunTimes::average);
    }

    private static double average(double old, double last) {
        return old + SMOOTHING_FACTOR * (last - old);
    }

    /**
     * Returns the expected run time of an item of the job, in seconds: the average of the job, else
     * of its service, else a default.
     */
    double seconds(LedgerJob job) {
        Double jobAverage = mByJob.get(job.number());
        return jobAverage != null
                ? jobAverage
                : mByService.getOrDefault(mServices.of(job), DEFAULT_SECONDS);
    }

    void remove(long job) {
        mByJob.remove(job);
    }

    void clear() {
        mByJob.clear();
    }
}
