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
 * @param incarnation drawn when the data folder was made
 * @param hosts all control hosts, this one among them; in a fleet with seeds, the seeds
 * @param operatorKeyDigest SHA-256 of the operators' key in hexadecimal
 * @param jobGroups number of replicated logs here that hold batch jobs, 0 where stores hold them;
 *     never changed later
 * @param autoReplace whether a host that comes back with an empty disk replaces its former life
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
    /** Checks that this host is among the control hosts. */
    public ControlSettings {
        checkNotNull(self, "host id is missing");
        checkNotNull(operatorKeyDigest, "operatorKeyDigest is missing");
        checkNotNull(jobs, "job settings are missing");
        checkArgument(jobGroups >= 0, "jobGroups %s is below 0", jobGroups);
        hosts = List.copyOf(hosts);
        checkArgument(!hosts.isEmpty(), "no control hosts are given");
    }

    /** Returns settings with one group of jobs, automatic replacement and default job settings. */
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

    /** Returns the number of replicated logs: that of the configuration and those of jobs. */
    public int groups() {
        return 1 + jobGroups;
    }
}
