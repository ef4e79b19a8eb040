package org.coltsfootproxy.config;

import java.util.List;
import org.coltsfootproxy.base.DataCentre;
import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.base.ServiceId;
import org.coltsfootproxy.base.TargetId;

/**
 * A service and the targets that serve it.
 *
 * @param streaming whether the targets are model engines that batch continuously
 * @param concurrency most requests that a target takes at a time, at least 1
 */
public record Service(
        ServiceId id, boolean streaming, int concurrency, List<ServiceTarget> targets) {
    /** Copies the targets. */
    public Service {
        targets = List.copyOf(targets);
    }

    /**
     * A target of a service.
     *
     * @param agent host id of the agent beside the target
     * @param address the agent's IP number and port
     */
    public record ServiceTarget(TargetId id, DataCentre dataCentre, HostId agent, String address) {}
}
