package org.coltsfootproxy.control;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import java.util.List;
import org.coltsfootproxy.base.DataCentre;
import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.base.Incarnation;
import org.coltsfootproxy.config.ConfigTiming;
import org.coltsfootproxy.config.ControlHost;
import org.coltsfootproxy.job.JobSettings;

/**
 * Settings of a control host.
 *
 * @param incarnation drawn when the data folder was created
 * @param hosts all control hosts, including this one; in a fleet with seeds, the seeds
 * @param operatorKeyDigest SHA-256 of the operators' key in hexadecimal
 * @param jobGroups number of replicated logs on the control hosts that hold batch jobs; 1 in a
 *     fleet with seeds, for {@link JobLogStandIn}; must never change otherwise
 * @param autoReplace whether a host that returns with an empty disk automatically replaces its
 *     earlier incarnation as a member
 */
public record ControlSettings(
        HostId self,
        DataCentre dataCentre,
        Incarnation incarnation,
        List<ControlHost> hosts,
        ConfigTiming timing,
        String operatorKeyDigest,
        int jobGroups,
        boolean autoReplace,
        JobSettings jobs) {
    /** Validates the components. */
    public ControlSettings {
        checkNotNull(self, "host id is missing");
        checkNotNull(operatorKeyDigest, "operatorKeyDigest is missing");
        checkNotNull(jobs, "job settings are missing");
        checkArgument(jobGroups >= 0, "jobGroups %s is below 0", jobGroups);
        hosts = List.copyOf(hosts);
        checkArgument(!hosts.isEmpty(), "no control hosts are given");
    }

    /** Returns settings with one job group, automatic replacement and default job settings. */
    public static ControlSettings of(
            HostId self,
            DataCentre dataCentre,
            Incarnation incarnation,
            List<ControlHost> hosts,
            ConfigTiming timing,
            String operatorKeyDigest) {
        return new ControlSettings(
                self,
                dataCentre,
                incarnation,
                hosts,
                timing,
                operatorKeyDigest,
                1,
                true,
                JobSettings.defaults());
    }

    /** Returns the number of replicated logs: one for the configuration and one per job group. */
    public int groups() {
        return 1 + jobGroups;
    }
}
