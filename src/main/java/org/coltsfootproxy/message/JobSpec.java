package org.coltsfootproxy.message;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import org.coltsfootproxy.base.JobId;
import org.coltsfootproxy.base.ServiceId;

/**
 * What a batch job asks for, apart from its items.
 *
 * @param service service that the path led to when the job was submitted
 * @param method HTTP method of each item's call
 * @param path path of each item's call
 * @param repeatable whether a second run of an item would do no harm
 * @param timeoutMillis longest time for one call
 * @param deadlineEpochMillis when the job is due, in milliseconds since 1970; if the deadline as
 *     given is {@link #RELATIVE}, milliseconds since submission until the job is accepted
 * @param deadlineAsGiven the deadline as the caller wrote it; a resend is compared by it
 * @param items number of items, at least 1
 * @param maxAttempts failed attempts after which an item is given up; 0 for the fleet's own number
 */
public record JobSpec(
        JobId id,
        ServiceId service,
        String method,
        String path,
        boolean repeatable,
        long timeoutMillis,
        long deadlineEpochMillis,
        String deadlineAsGiven,
        int items,
        int maxAttempts) {
    /** Stands for a deadline that is a time after submission and isn't compared. */
    public static final String RELATIVE = "+";

    /** Checks the parts. */
    public JobSpec {
        checkNotNull(id, "job id is missing");
        checkNotNull(service, "service is missing");
        checkNotNull(method, "method is missing");
        checkNotNull(path, "path is missing");
        checkNotNull(deadlineAsGiven, "deadline is missing");
        checkArgument(items > 0, "number of items %s is below 1", items);
        checkArgument(timeoutMillis > 0, "timeout %s ms is not above 0", timeoutMillis);
        checkArgument(maxAttempts >= 0, "maxAttempts %s is below 0", maxAttempts);
    }

    /** Returns a specification whose items have the fleet's own number of attempts. */
    public static JobSpec of(
            JobId id,
            ServiceId service,
            String method,
            String path,
            boolean repeatable,
            long timeoutMillis,
            long deadlineEpochMillis,
            String deadlineAsGiven,
            int items) {
        return new JobSpec(
                id,
                service,
                method,
                path,
                repeatable,
                timeoutMillis,
                deadlineEpochMillis,
                deadlineAsGiven,
                items,
                0);
    }

    /** Returns this specification as submitted at the given time. */
    public JobSpec submittedAt(long epochMillis) {
        if (!deadlineAsGiven.equals(RELATIVE)) {
            return this;
        }
        return new JobSpec(
                id,
                service,
                method,
                path,
                repeatable,
                timeoutMillis,
                epochMillis + deadlineEpochMillis,
                deadlineAsGiven,
                items,
                maxAttempts);
    }

    /**
     * Tells whether a caller who sent {@code other} sent the same request.
     *
     * <p>What the entry looked up in the configuration is left out: it may change between a request
     * and its resend.
     */
    public boolean isSameRequestAs(JobSpec other) {
        return id.equals(other.id)
                && method.equals(other.method)
                && path.equals(other.path)
                && deadlineAsGiven.equals(other.deadlineAsGiven)
                && items == other.items;
    }
}
