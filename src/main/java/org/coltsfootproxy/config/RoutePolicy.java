package org.coltsfootproxy.config;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import java.util.List;
import org.coltsfootproxy.base.ServiceId;

/**
 * The policy for running the requests of a route.
 *
 * @param split services that share the requests; empty if the service of the route serves them all
 * @param resumable whether an interrupted stream of events may be resumed at another target
 * @param maxTargets maximum number of targets that one request may be sent to, and of failed runs
 *     of a batch item, at least 1
 * @param goalMillis time in which callers expect an answer or its first event, in milliseconds; 0
 *     if not stated
 * @param eventGapMillis longest pause that callers expect between events, in milliseconds; 0 if not
 *     stated
 * @param jobGoalMillis time after submission in which a batch job is due, in milliseconds; 0 if not
 *     stated
 */
public record RoutePolicy(
        RequestKind kind,
        List<Share> split,
        boolean resumable,
        int maxTargets,
        long goalMillis,
        long eventGapMillis,
        long jobGoalMillis) {
    /** The policy of a route that states none. */
    public static final RoutePolicy DEFAULT =
            new RoutePolicy(RequestKind.BY_METHOD, List.of(), false, 3, 0, 0, 0);

    /**
     * A share of the requests of a route.
     *
     * @param weight share relative to the other weights, at least 0
     */
    public record Share(ServiceId service, int weight) {
        public Share {
            checkNotNull(service, "service is missing");
            checkArgument(weight >= 0, "weight %s is below 0", weight);
        }
    }

    public RoutePolicy {
        checkNotNull(kind, "kind is missing");
        split = ImmutableList.copyOf(split);
        checkArgument(
                split.isEmpty() || split.stream().anyMatch(share -> share.weight() > 0),
                "all weights of %s are 0",
                split);
        checkArgument(maxTargets > 0, "maxTargets %s is below 1", maxTargets);
        checkArgument(goalMillis >= 0, "goalMillis %s is below 0", goalMillis);
        checkArgument(eventGapMillis >= 0, "eventGapMillis %s is below 0", eventGapMillis);
        checkArgument(jobGoalMillis >= 0, "jobGoalMillis %s is below 0", jobGoalMillis);
    }
}
