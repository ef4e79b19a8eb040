package org.coltsfootproxy.membership;

import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.base.Incarnation;
import org.coltsfootproxy.base.RecordCodec;
import org.coltsfootproxy.base.WireCode;

/** A replicated command that changes the {@link LeaseTable}. */
sealed interface LeaseCommand {
    RecordCodec<LeaseCommand> CODEC = RecordCodec.of(LeaseCommand.class);

    default byte[] encode() {
        return CODEC.encode(this);
    }

    /**
     * Grants a lease.
     *
     * @param replaces fencing number of the grant that the proposer found expired, or 0 for none;
     *     the command has no effect if the table holds a different grant
     */
    @WireCode(1)
    record Grant(
            String name, HostId host, Incarnation incarnation, long replaces, long durationMillis)
            implements LeaseCommand {}

    /** Ends the grant with the given fencing number, if the table holds it. */
    @WireCode(2)
    record End(String name, long fencing) implements LeaseCommand {}
}
