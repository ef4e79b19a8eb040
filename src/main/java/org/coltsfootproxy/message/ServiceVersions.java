package org.coltsfootproxy.message;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.List;
import org.coltsfootproxy.base.ServiceId;
import org.coltsfootproxy.base.SoftwareVersion;

/** Software versions of the targets of one service. */
public record ServiceVersions(ServiceId service, List<SoftwareVersion> versions) {
    /** Checks the service and copies the list. */
    public ServiceVersions {
        checkNotNull(service, "service is missing");
        versions = List.copyOf(versions);
    }
}
