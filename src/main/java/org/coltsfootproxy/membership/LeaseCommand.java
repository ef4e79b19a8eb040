package org.coltsfootproxy.membership;

import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.base.Incarnation;
import org.coltsfootproxy.base.RecordCodec;
import org.coltsfootproxy.base.WireCode;

/** A command of the lease table. */
sealed interface LeaseCommand {
    RecordCodec<LeaseCommand> CODEC = RecordCodec.of(LeaseCommand.class);

    default byte[] encode() {
        return CODEC.encode(this);
    }

    /**
     * Grant a lease.
     *
     * @param replaces fencing number of the grant that the proposer found expired, or 0 for none;
     *     if another one is in the table, nothing is granted
     */
    @WireCode(1)
    record Grant(
            String name, HostId host, Incarnation incarnation, long replaces, long durationMillis)
            implements LeaseCommand {}

    /** End the grant of this number, if it is in the table. */
    @WireCode(2)
    record End(String name, long fencing) implements LeaseCommand {}
}
