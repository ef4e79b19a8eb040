package org.coltsfootproxy.config;

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
 * @param memoryTokens tokens that the memory of each target holds; 0 if it is not named
 */
@WireCode(3)
public record Service(
        ServiceId id,
        boolean streaming,
        int concurrency,
        List<ServiceTarget> targets,
        boolean targetsFence,
        int affinityBytes,
        int memoryTokens)
        implements ConfigObject {
    /** Copies the targets and sorts them by id. */
    public Service {
        targets = targets.stream().sorted(Comparator.comparing(ServiceTarget::id)).toList();
    }

    /** Returns a service without affinity whose targets don't check fencing numbers. */
    public static Service of(
            ServiceId id, boolean streaming, int concurrency, List<ServiceTarget> targets) {
        return new Service(id, streaming, concurrency, targets, false, 0, 0);
    }

    /** Returns this service with targets whose memory holds a number of tokens. */
    public Service withMemoryTokens(int tokens) {
        return new Service(
                id, streaming, concurrency, targets, targetsFence, affinityBytes, tokens);
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
