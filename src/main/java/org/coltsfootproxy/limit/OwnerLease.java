package org.coltsfootproxy.limit;

import java.util.Optional;
import org.coltsfootproxy.base.HostId;

/**
 * Tells which entry owns the token buckets of a shard of organisations.
 *
 * <p>Of the leases of one shard at most one runs at any moment, and fencing numbers grow from one
 * to the next. The holder counts its lease from when it sent the renewal that was confirmed.
 */
public interface OwnerLease {
    /**
     * The owner of a shard as this host last heard.
     *
     * @param fencing fencing number of its lease
     */
    record Owner(HostId host, long fencing) {}

    /**
     * This host's own lease of a shard.
     *
     * @param fencing fencing number of the lease
     * @param sinceNanos when this host learned that it holds the lease under this number
     * @param untilNanos when the lease ends on this host's clock unless it is renewed
     */
    record Held(long fencing, long sinceNanos, long untilNanos) {}

    /** Returns the owner of a shard, if one is known. */
    Optional<Owner> owner(int shard);

    /** Returns this host's lease of a shard, if it holds it at {@code nowNanos}. */
    Optional<Held> held(int shard, long nowNanos);
}
