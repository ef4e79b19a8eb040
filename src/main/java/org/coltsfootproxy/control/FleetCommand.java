package org.coltsfootproxy.control;

import java.util.List;
import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.base.Member;
import org.coltsfootproxy.base.RecordCodec;
import org.coltsfootproxy.base.SuspectId;
import org.coltsfootproxy.base.WireCode;
import org.coltsfootproxy.message.ServiceVersions;

/** A command of the configuration log that changes the {@link FleetState}. */
sealed interface FleetCommand {
    RecordCodec<FleetCommand> CODEC = RecordCodec.of(FleetCommand.class);

    /** Sets the initial members of the job log; only the first such command has effect. */
    @WireCode(1)
    record BootstrapJobLog(List<Member> members) implements FleetCommand {}

    /** Retires a host: its state moves to other hosts, and it gets no new state. */
    @WireCode(2)
    record Retire(HostId host) implements FleetCommand {}

    /** Replaces the quarantined parts of prompts. */
    @WireCode(3)
    record Quarantine(List<SuspectId> parts) implements FleetCommand {}

    /** Replaces the software versions that services have had recently. */
    @WireCode(4)
    record RecordVersions(List<ServiceVersions> versions) implements FleetCommand {}
}
