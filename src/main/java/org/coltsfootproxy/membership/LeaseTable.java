package org.coltsfootproxy.membership;

import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.stream.Stream;
import org.coltsfootproxy.base.ProxyException;
import org.coltsfootproxy.consensus.StateMachine;

/**
 * The leases that were granted, as the replicated log drives them.
 *
 * <p>The table knows no time: who may grant again, and when, is decided by {@link LeaseGranter}. A
 * grant names the one that it replaces, so that of two grants only one takes effect.
 */
public final class LeaseTable implements StateMachine {
    /** Most leases at a time. */
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
        return LeaseImage.CODEC.encode(new LeaseImage.Result(fencing));
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

    /** Returns the lease of a name, expired or not. */
    public Optional<Lease> lease(String name) {
        return Optional.ofNullable(mLeases.get(name));
    }

    /** Returns all leases, by name. */
    public Stream<Lease> leases() {
        return mLeases.values().stream();
    }

    @Override
    public byte[] snapshot() {
        return LeaseImage.CODEC.encode(new LeaseImage.Whole(mLastFencing, leases().toList()));
    }

    @Override
    public void restore(byte[] snapshot) {
        try {
            var whole = (LeaseImage.Whole) LeaseImage.CODEC.decode(snapshot);
            mLeases.clear();
            whole.leases().forEach(lease -> mLeases.put(lease.name(), lease));
            mLastFencing = whole.lastFencing();
        } catch (ProxyException e) {
            throw new IllegalArgumentException("snapshot of the leases is damaged", e);
        }
    }
}
