package org.coltsfootproxy.config;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.coltsfootproxy.base.JobId;
import org.coltsfootproxy.base.ServiceId;

/**
 * Determines to which service the items of a batch job belong.
 *
 * <p>Items belong to the service of the route that matches the path of their job in the
 * configuration in force, not in the one at submission.
 */
public final class JobRouting {
    private JobRouting() {}

    /** Returns the service of a job that is submitted now, the same for each resend. */
    public static ServiceId atSubmission(Route route, JobId job) {
        int hash =
                Hashing.murmur3_32_fixed().hashString(job.value(), StandardCharsets.UTF_8).asInt();
        return serviceAt(route, hash);
    }

    /**
     * Returns the route of a job that was accepted earlier; empty if it was removed or is no route
     * for batch jobs any more.
     *
     * @param hostName host name in the caller's request
     * @param path path in the caller's request
     */
    public static Optional<Route> route(ConfigView config, String hostName, String path) {
        return config.route(hostName, path)
                .filter(route -> route.policy().kind() == RequestKind.BATCH);
    }

    /**
     * Returns the service to which the items of a job belong now. It is the service at submission
     * while the route gives that a share; otherwise, the weights of the route decide.
     *
     * @param job number of the job, by which the jobs of a split route are distributed
     */
    public static ServiceId now(Route route, ServiceId atSubmission, long job) {
        return route.sharesWith(atSubmission)
                ? atSubmission
                : serviceAt(route, Hashing.murmur3_32_fixed().hashLong(job).asInt());
    }

    private static ServiceId serviceAt(Route route, int hash) {
        return route.serviceAt((hash & Integer.MAX_VALUE) / (1.0 + Integer.MAX_VALUE));
    }
}
