package org.coltsfootproxy.config;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import java.util.List;
import org.coltsfootproxy.base.ServiceId;

/**
 * How the requests of a route are run.
 *
 * @param split services that share the requests; empty if the route's service takes them all
 * @param resumable whether a broken series of events may go on at another target
 * @param maxRuns most targets that may run one request, at least 1
 * @param goalMillis time within which callers expect an answer or its first event; 0 if not stated
 * @param eventGapMillis longest pause between events that callers expect; 0 if not stated
 * @param jobGoalMillis time after submission within which a batch job is due; 0 if not stated
 */
public record RoutePolicy(
        RequestKind kind,
        List<Share> split,
        boolean resumable,
        int maxRuns,
        long goalMillis,
        long eventGapMillis,
        long jobGoalMillis) {
    /** What holds for a route that states nothing. */
    public static final RoutePolicy DEFAULT =
            new RoutePolicy(RequestKind.BY_METHOD, List.of(), false, 3, 0, 0, 0);

    /**
     * Part of a route's requests.
     *
     * @param weight part of the requests relative to the other weights, at least 0
     */
    public record Share(ServiceId service, int weight) {
        /** Checks the parts. */
        public Share {
            checkNotNull(service, "service is missing");
            checkArgument(weight >= 0, "weight %s is below 0", weight);
        }
    }

    /** Checks the parts. */
    public RoutePolicy {
        checkNotNull(kind, "kind is missing");
        split = ImmutableList.copyOf(split);
        checkArgument(
                split.isEmpty() || split.stream().anyMatch(share -> share.weight() > 0),
                "all weights of %s are 0",
                split);
        checkArgument(maxRuns > 0, "maxRuns %s is below 1", maxRuns);
        checkArgument(goalMillis >= 0, "goalMillis %s is below 0", goalMillis);
        checkArgument(eventGapMillis >= 0, "eventGapMillis %s is below 0", eventGapMillis);
        checkArgument(jobGoalMillis >= 0, "jobGoalMillis %s is below 0", jobGoalMillis);
    }
}
