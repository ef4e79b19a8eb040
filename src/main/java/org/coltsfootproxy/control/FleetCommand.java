package org.coltsfootproxy.control;

import java.util.List;
import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.base.Member;
import org.coltsfootproxy.base.RecordCodec;
import org.coltsfootproxy.base.WireCode;

/** A command on the hosts of a fleet, in the log of the configuration. */
sealed interface FleetCommand {
    RecordCodec<FleetCommand> CODEC = RecordCodec.of(FleetCommand.class);

    /** The log of the jobs begins with these members; only the first such command counts. */
    @WireCode(1)
    record FoundJobs(List<Member> members) implements FleetCommand {}

    /** A host is to be emptied; it gets no new state. */
    @WireCode(2)
    record Retire(HostId host) implements FleetCommand {}
}
