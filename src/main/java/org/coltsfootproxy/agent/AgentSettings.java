package org.coltsfootproxy.agent;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.base.Incarnation;
import org.coltsfootproxy.base.ServiceId;

/**
 * Settings of the agent role.
 *
 * @param incarnation random id of this process run, drawn at its start
 * @param service the service that the target serves
 * @param jobGroups number of replicated log groups that store batch jobs, at least 1
 */
public record AgentSettings(
        HostId host, Incarnation incarnation, ServiceId service, int jobGroups) {
    /** Checks the settings. */
    public AgentSettings {
        checkNotNull(host, "host");
        checkNotNull(incarnation, "incarnation");
        checkNotNull(service, "service");
        checkArgument(jobGroups > 0, "jobGroups %s must be above 0", jobGroups);
    }
}
