package org.coltsfootproxy.limit;

import java.util.Collection;
import java.util.Optional;
import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.base.OrganisationId;
import org.coltsfootproxy.base.RendezvousHash;

/** Maps organisations to a fixed number of shards, each with one lease for its token buckets. */
public final class Shards {
    /** Number of shards; must be the same in every process of a fleet. */
    public static final int COUNT = 16;

    private Shards() {}

    /** Returns the shard of an organisation, from 0 to below {@link #COUNT}. */
    public static int of(OrganisationId organisation) {
        return RendezvousHash.bucket(organisation.value(), COUNT);
    }

    /** Returns the name of a shard's lease. */
    public static String leaseName(int shard) {
        return "limit-" + shard;
    }

    /** Returns the live entry that should hold a shard's lease, by rendezvous hashing. */
    public static Optional<HostId> preferredOwner(int shard, Collection<HostId> entries) {
        return RendezvousHash.rank(leaseName(shard), entries).stream().findFirst();
    }
}
