package org.coltsfootproxy.limit;

import java.util.Optional;
import org.coltsfootproxy.base.HostId;

/**
 * Determines which entry owns the token buckets of a shard of organisations.
 *
 * <p>At most one lease of a shard is valid at any time, and fencing numbers increase from each
 * lease to the next. The holder counts its lease from the time at which it sent the confirmed
 * renewal.
 */
public interface OwnerLease {
    /**
     * The last known owner of a shard.
     *
     * @param fencing fencing number of its lease
     */
    record Owner(HostId host, long fencing) {}

    /**
     * This host's own lease of a shard.
     *
     * @param fencing fencing number of the lease
     * @param sinceNanos when this host learned that it holds the lease under this fencing number
     * @param untilNanos when the lease ends on this host's clock unless renewed
     */
    record Held(long fencing, long sinceNanos, long untilNanos) {}

    /** Returns the owner of a shard, if one is known. */
    Optional<Owner> owner(int shard);

    /** Returns this host's lease of a shard if it is valid at {@code nowNanos}. */
    Optional<Held> held(int shard, long nowNanos);
}
