package org.coltsfootproxy.membership;

import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.stream.Stream;
import org.coltsfootproxy.base.ProxyException;
import org.coltsfootproxy.consensus.StateMachine;

/**
 * Replicated state machine that records the granted leases.
 *
 * <p>The table does not track time: {@link LeaseGranter} decides when a lease may be granted again.
 * A grant names the grant that it replaces, so that only one of two concurrent grants takes effect.
 */
public final class LeaseTable implements StateMachine {
    /** Maximum number of leases in the table. */
    public static final int MAX_LEASES = 8_192;

    private final Map<String, Lease> mLeases = new TreeMap<>();
    private long mLastFencing;

    private LeaseTable() {}

    /** Returns an empty table. */
    public static LeaseTable create() {
        return new LeaseTable();
    }

    @Override
    public byte[] apply(long index, byte[] command) {
        try {
            LeaseCommand decoded = LeaseCommand.CODEC.decode(command);
            return result(
                    decoded instanceof LeaseCommand.Grant grant
                            ? grant(grant)
                            : end((LeaseCommand.End) decoded));
        } catch (ProxyException e) {
            return result(0);
        }
    }

    private static byte[] result(long fencing) {
        return LeaseTableRecord.CODEC.encode(new LeaseTableRecord.Result(fencing));
    }

    private long grant(LeaseCommand.Grant grant) {
        long current = lease(grant.name()).map(Lease::fencing).orElse(0L);
        boolean isFull = current == 0 && mLeases.size() >= MAX_LEASES;
        if (current != grant.replaces() || isFull) {
            return 0;
        }
        mLastFencing++;
        mLeases.put(
                grant.name(),
                new Lease(
                        grant.name(),
                        grant.host(),
                        grant.incarnation(),
                        mLastFencing,
                        grant.durationMillis()));
        return mLastFencing;
    }

    private long end(LeaseCommand.End end) {
        lease(end.name())
                .filter(lease -> lease.fencing() == end.fencing())
                .ifPresent(lease -> mLeases.remove(lease.name()));
        return 0;
    }

    /** Returns the lease with the given name, expired or not. */
    public Optional<Lease> lease(String name) {
        return Optional.ofNullable(mLeases.get(name));
    }

    /** Returns all leases, ordered by name. */
    public Stream<Lease> leases() {
        return mLeases.values().stream();
    }

    @Override
    public byte[] snapshot() {
        return LeaseTableRecord.CODEC.encode(
                new LeaseTableRecord.Snapshot(mLastFencing, leases().toList()));
    }

    @Override
    public void restore(byte[] snapshot) {
        try {
            var decoded = (LeaseTableRecord.Snapshot) LeaseTableRecord.CODEC.decode(snapshot);
            mLeases.clear();
            decoded.leases().forEach(lease -> mLeases.put(lease.name(), lease));
            mLastFencing = decoded.lastFencing();
        } catch (ProxyException e) {
            throw new IllegalArgumentException("snapshot of the leases is damaged", e);
        }
    }
}
