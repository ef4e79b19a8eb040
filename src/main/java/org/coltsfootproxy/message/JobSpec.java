package org.coltsfootproxy.message;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import java.util.List;
import org.coltsfootproxy.base.JobId;
import org.coltsfootproxy.base.Region;
import org.coltsfootproxy.base.ServiceId;

/**
 * Specification of a batch job, without its items.
 *
 * @param service service to which the path was routed when the job was submitted
 * @param method HTTP method of each item's call
 * @param path path of each item's call
 * @param repeatable whether a second run of an item does no harm
 * @param timeoutMillis time limit for one call in milliseconds
 * @param deadlineEpochMillis deadline in milliseconds since the epoch. If {@code deadlineAsGiven}
 *     is {@link #RELATIVE}, it is in milliseconds after submission until {@link #submittedAt} has
 *     replaced it
 * @param deadlineAsGiven the deadline as the caller wrote it, by which resent requests are
 *     recognised, or {@link #RELATIVE}
 * @param items number of items, at least 1
 * @param maxAttempts number of failed attempts after which an item fails for good; 0 for the
 *     fleet's default
 * @param allowedRegions regions that the items might reach at submission; null if they were not
 *     restricted. Hosts of an earlier version restrict the items to them
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
        int maxAttempts,
        List<Region> allowedRegions) {
    /**
     * Value of {@code deadlineAsGiven} for a deadline that is relative to the submission. It is the
     * same for all such deadlines, so that a resend with another one counts as the same request.
     */
    public static final String RELATIVE = "+";

    /** Checks the components. */
    public JobSpec {
        checkNotNull(id, "job id is missing");
        checkNotNull(service, "service is missing");
        checkNotNull(method, "method is missing");
        checkNotNull(path, "path is missing");
        checkNotNull(deadlineAsGiven, "deadline is missing");
        checkArgument(items > 0, "number of items %s is below 1", items);
        checkArgument(timeoutMillis > 0, "timeout %s ms is not above 0", timeoutMillis);
        checkArgument(maxAttempts >= 0, "maxAttempts %s is below 0", maxAttempts);
        // A log of an earlier version has none.
        allowedRegions = allowedRegions == null ? null : List.copyOf(allowedRegions);
    }

    /** Returns a specification with the fleet's default number of attempts. */
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
                0,
                null);
    }

    /**
     * Returns this specification, submitted at the given time; a relative deadline becomes
     * absolute.
     */
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
                maxAttempts,
                allowedRegions);
    }

    /**
     * Returns whether {@code other} stems from the same request, resent by its caller.
     *
     * <p>The components that the entry takes from the configuration are not compared, since the
     * configuration may change between a request and its resend.
     */
    public boolean isSameRequestAs(JobSpec other) {
        return id.equals(other.id)
                && method.equals(other.method)
                && path.equals(other.path)
                && deadlineAsGiven.equals(other.deadlineAsGiven)
                && items == other.items;
    }
}
