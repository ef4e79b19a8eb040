package org.coltsfootproxy.config;

import static com.google.common.base.Preconditions.checkArgument;

import com.fasterxml.jackson.annotation.JsonInclude;
import java.util.Comparator;
import java.util.List;
import org.coltsfootproxy.base.DataCentre;
import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.base.ServiceId;
import org.coltsfootproxy.base.TargetId;
import org.coltsfootproxy.base.WireCode;

/**
 * A service and its targets.
 *
 * @param streaming whether the targets are model engines with continuous batching
 * @param concurrency maximum number of requests in flight at a target, at least 1
 * @param targets the targets, ordered by id
 * @param targetsFence whether the targets themselves reject orders with an outdated fencing number;
 *     if not, the agent beside each target does
 * @param affinityBytes length of the prefix of the body, in bytes, whose hash assigns requests to
 *     the same targets; 0 for no affinity
 * @param coldStart limit for targets that have just started; null if the service names none
 * @param memoryTokens tokens that the memory of each target holds; 0 if it is not named
 * @param clientLimits limits for the clients that call the service; null if there are none
 */
@WireCode(3)
public record Service(
        ServiceId id,
        boolean streaming,
        int concurrency,
        List<ServiceTarget> targets,
        boolean targetsFence,
        int affinityBytes,
        @JsonInclude(JsonInclude.Include.NON_NULL) ColdStart coldStart,
        @JsonInclude(JsonInclude.Include.NON_DEFAULT) int memoryTokens,
        @JsonInclude(JsonInclude.Include.NON_NULL) ClientLimits clientLimits)
        implements ConfigObject {
    /** Copies the targets and sorts them by id. */
    public Service {
        targets = targets.stream().sorted(Comparator.comparing(ServiceTarget::id)).toList();
    }

    /** Returns a service without affinity whose targets don't check fencing numbers. */
    public static Service of(
            ServiceId id, boolean streaming, int concurrency, List<ServiceTarget> targets) {
        return new Service(id, streaming, concurrency, targets, false, 0, null, 0, null);
    }

    /** Returns this service with a limit for its cold targets. */
    public Service withColdStart(ColdStart limit) {
        return new Service(
                id,
                streaming,
                concurrency,
                targets,
                targetsFence,
                affinityBytes,
                limit,
                memoryTokens,
                clientLimits);
    }

    /** Returns this service with targets whose memory holds a number of tokens. */
    public Service withMemoryTokens(int tokens) {
        return new Service(
                id,
                streaming,
                concurrency,
                targets,
                targetsFence,
                affinityBytes,
                coldStart,
                tokens,
                clientLimits);
    }

    /** Returns this service with limits for its clients. */
    public Service withClientLimits(ClientLimits limits) {
        return new Service(
                id,
                streaming,
                concurrency,
                targets,
                targetsFence,
                affinityBytes,
                coldStart,
                memoryTokens,
                limits);
    }

    /**
     * Limit for targets that are cold: that have just started, or lost what speeds them up.
     *
     * @param durationMillis how long a target is cold after a start, in milliseconds
     * @param callsPerSecond calls a second that a cold target takes from all hosts together
     */
    public record ColdStart(long durationMillis, double callsPerSecond) {
        /** Factor by which a target may exceed its rate in any one second. */
        private static final double BURST_FACTOR = 1.5;

        /** Calls beyond that in any one second. */
        private static final int BURST_CALLS = 5;

        /** Checks the components. */
        public ColdStart {
            checkArgument(durationMillis >= 0, "durationMillis %s is below 0", durationMillis);
            checkArgument(
                    callsPerSecond >= 0 && Double.isFinite(callsPerSecond),
                    "callsPerSecond %s is not a rate",
                    callsPerSecond);
        }

        /** Returns how many calls, from all hosts, a cold target stands in any one second. */
        public int maxCallsInOneSecond() {
            return (int) (BURST_FACTOR * callsPerSecond) + BURST_CALLS;
        }
    }

    @Override
    public ObjectName objectName() {
        return ObjectName.of(ObjectKind.SERVICE, id.value());
    }

    /**
     * A target of a service.
     *
     * @param agent host id of the agent beside the target
     * @param address IP address and port of the agent
     */
    public record ServiceTarget(TargetId id, DataCentre dataCentre, HostId agent, String address) {}
}
