package org.coltsfootproxy.config;

import java.util.Comparator;
import java.util.List;
import org.coltsfootproxy.base.DataCentre;
import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.base.ServiceId;
import org.coltsfootproxy.base.TargetId;
import org.coltsfootproxy.base.WireCode;

/**
 * A service and the targets that serve it.
 *
 * @param streaming whether the targets are model engines that batch continuously
 * @param concurrency most requests that a target takes at a time, at least 1
 * @param targets the targets, kept in the order of their ids
 * @param targetsFence whether the targets themselves refuse orders with an old fencing number; if
 *     not, the agent beside each refuses them
 * @param affinityBytes length of the body's prefix, in bytes, whose hash binds requests to the same
 *     targets; 0 for no affinity
 */
@WireCode(3)
public record Service(
        ServiceId id,
        boolean streaming,
        int concurrency,
        List<ServiceTarget> targets,
        boolean targetsFence,
        int affinityBytes)
        implements ConfigObject {
    /** Copies and orders the targets. */
    public Service {
        targets = targets.stream().sorted(Comparator.comparing(ServiceTarget::id)).toList();
    }

    /** Returns a service whose targets don't fence, without affinity. */
    public static Service of(
            ServiceId id, boolean streaming, int concurrency, List<ServiceTarget> targets) {
        return new Service(id, streaming, concurrency, targets, false, 0);
    }

    @Override
    public ObjectName objectName() {
        return ObjectName.of(ObjectKind.SERVICE, id.value());
    }

    /**
     * A target of a service.
     *
     * @param agent host id of the agent beside the target
     * @param address the agent's IP number and port
     */
    public record ServiceTarget(TargetId id, DataCentre dataCentre, HostId agent, String address) {}
}
