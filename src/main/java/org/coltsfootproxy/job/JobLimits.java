package org.coltsfootproxy.job;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Quotas of a group's ledger. They are part of the commands, so that every member applies the same
 * ones.
 *
 * @param itemsPerJob maximum items of one job
 * @param jobsPerOrganisation maximum jobs of one organisation, including finished ones within their
 *     retention
 * @param itemsPerOrganisation maximum open items of one organisation
 * @param bytesPerOrganisation maximum bytes of one organisation, payloads, results and overhead
 * @param totalBytes maximum bytes of all organisations together
 */
public record JobLimits(
        int itemsPerJob,
        int jobsPerOrganisation,
        int itemsPerOrganisation,
        long bytesPerOrganisation,
        long totalBytes) {

    public JobLimits {
        checkArgument(itemsPerJob > 0, "items per job %s is below 1", itemsPerJob);
        checkArgument(
                jobsPerOrganisation > 0,
                "jobs per organisation %s is below 1",
                jobsPerOrganisation);
        checkArgument(
                itemsPerOrganisation > 0,
                "items per organisation %s is below 1",
                itemsPerOrganisation);
        checkArgument(
                bytesPerOrganisation > 0,
                "bytes per organisation %s is below 1",
                bytesPerOrganisation);
        checkArgument(totalBytes > 0, "total bytes %s is below 1", totalBytes);
    }

    /** Returns quotas for hosts with a heap of about 1 GB. */
    public static JobLimits defaults() {
        return new JobLimits(71_000, 4_000, 400_000, 96L << 20, 192L << 20);
    }
}
