package org.coltsfootproxy.job;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Bounds on what a group's ledger takes in; they travel inside commands, so that every member
 * applies the same ones.
 *
 * @param itemsPerJob most items of one job
 * @param jobsPerOrganisation most jobs of one organisation, finished ones that are kept included
 * @param itemsPerOrganisation most items of one organisation that have not ended
 * @param bytesPerOrganisation most payload bytes of one organisation, results included
 * @param totalBytes most payload bytes of all organisations together
 */
public record JobLimits(
        int itemsPerJob,
        int jobsPerOrganisation,
        int itemsPerOrganisation,
        long bytesPerOrganisation,
        long totalBytes) {
    /** Checks the bounds. */
    public JobLimits {
        checkArgument(itemsPerJob > 0, "items per job %s", itemsPerJob);
        checkArgument(jobsPerOrganisation > 0, "jobs per organisation %s", jobsPerOrganisation);
        checkArgument(itemsPerOrganisation > 0, "items per organisation %s", itemsPerOrganisation);
        checkArgument(bytesPerOrganisation > 0, "bytes per organisation %s", bytesPerOrganisation);
        checkArgument(totalBytes > 0, "total bytes %s", totalBytes);
    }

    /** Returns the bounds for hosts with a heap of about a gigabyte. */
    public static JobLimits defaults() {
        return new JobLimits(71_000, 4_000, 400_000, 96L << 20, 192L << 20);
    }
}
