package org.coltsfootproxy.membership;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.LongConsumer;
import org.coltsfootproxy.base.ErrorKind;
import org.coltsfootproxy.base.EventCode;
import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.base.Names;
import org.coltsfootproxy.base.ProxyException;
import org.coltsfootproxy.config.ConfigTiming;
import org.coltsfootproxy.config.QuorumRead;
import org.coltsfootproxy.config.QuorumReadBatcher;
import org.coltsfootproxy.consensus.Proposer;
import org.coltsfootproxy.message.ConfigMessage;
import org.coltsfootproxy.node.Effects;

/**
 * Grants, renews and ends leases on the leading control host.
 *
 * <p>A grant is committed to the log before the holder is notified. A renewal is confirmed once a
 * quorum has confirmed, after the request arrived, that this host still leads; nothing is written
 * to the log for it. The holder measures the duration from when it sent the confirmed request, less
 * the bound on clock drift. The granter measures it from the confirmation, plus that bound. A new
 * leader first applies all committed commands and then restarts the full duration of every lease,
 * since its predecessor may have renewed it just before.
 */
public final class LeaseGranter {
    private static final long MIN_DURATION_MILLIS = 100;
    private static final long MAX_DURATION_MILLIS = 10 * 60 * 1000;

    /** Minimum retry delay that is sent to a holder whose request is refused. */
    private static final long RETRY_DELAY_MILLIS = 200;

    private static final long SWEEP_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);

    /** Time after its expiry at which a lease is removed from the table, in nanoseconds. */
    private static final long EXPIRED_RETENTION_NANOS = TimeUnit.SECONDS.toNanos(60);

    private final LeaseTable mTable;
    private final Proposer mProposer;
    private final Leadership mLeadership;
    private final QuorumRead mQuorum;
    private final QuorumReadBatcher<Renewal> mRenewals;

    /** Expiry time of each lease, by name. */
    private final Map<String, Long> mExpiryNanos = new HashMap<>();

    /** Names of leases with a proposed change that is not known to be committed or rejected. */
    private final Set<String> mPendingChanges = new HashSet<>();

    private final Outbox mOutbox = new Outbox();

    /** Term in which this host is activating or active, or -1. */
    private long mTerm = -1;

    /** Whether this host leads and waits for a quorum read before it grants leases. */
    private boolean mIsActivating;

    /** Whether this host grants leases. */
    private boolean mIsActive;

    /** Whether the quorum read is done and the expiry times are still to be set. */
    private boolean mMustRestartExpiry;

    private long mNextSweepNanos;

    /** A renewal that waits for a quorum confirmation. */
    private record Renewal(HostId host, ConfigMessage.LeaseRequest request, long term) {}

    private LeaseGranter(
            LeaseTable table,
            Proposer proposer,
            Leadership leadership,
            QuorumRead quorum,
            ConfigTiming timing) {
        mTable = table;
        mProposer = proposer;
        mLeadership = leadership;
        mQuorum = quorum;
        mRenewals = QuorumReadBatcher.create(quorum, timing);
    }

    /** Returns a granter for the table; it is active only while {@code leadership} holds. */
    public static LeaseGranter create(
            LeaseTable table,
            Proposer proposer,
            Leadership leadership,
            QuorumRead quorum,
            ConfigTiming timing) {
        return new LeaseGranter(table, proposer, leadership, quorum, timing);
    }

    /** Starts the granter; called once, before any other method. */
    public void start(long nowNanos) {
        mNextSweepNanos = nowNanos;
    }

    /** Handles a holder's request to grant or renew a lease. */
    public void handle(
            HostId from, ConfigMessage.LeaseRequest request, long nowNanos, Effects out) {
        processPending(nowNanos, out);
        if (!mIsActive) {
            HostId leader = mProposer.leader().orElse(null);
            out.send(from, new ConfigMessage.NotLeader(request.name(), request.sequence(), leader));
        } else if (isValid(request)) {
            handleValid(from, request, nowNanos, out);
        }
        mRenewals.tick(nowNanos);
        processPending(nowNanos, out);
    }

    private static boolean isValid(ConfigMessage.LeaseRequest request) {
        return request.name() != null
                && Names.isValid(request.name())
                && request.holder() != null
                && request.durationMillis() >= MIN_DURATION_MILLIS
                && request.durationMillis() <= MAX_DURATION_MILLIS;
    }

    private void handleValid(
            HostId from, ConfigMessage.LeaseRequest request, long nowNanos, Effects out) {
        Optional<Lease> lease = mTable.lease(request.name());
        if (mPendingChanges.contains(request.name())) {
            refuse(from, request, null, RETRY_DELAY_MILLIS, out);
        } else if (isHeldBy(lease, from, request)) {
            mRenewals.add(new Renewal(from, request, mTerm));
        } else if (request.fencing() != 0) {
            refuse(from, request, lease.map(Lease::host).orElse(null), RETRY_DELAY_MILLIS, out);
        } else if (lease.isEmpty() || isReplaceable(lease.get(), from, request, nowNanos)) {
            grant(from, request, lease.map(Lease::fencing).orElse(0L), nowNanos);
        } else {
            long remainingNanos = mExpiryNanos.getOrDefault(request.name(), nowNanos) - nowNanos;
            long retryMillis =
                    Math.max(RETRY_DELAY_MILLIS, TimeUnit.NANOSECONDS.toMillis(remainingNanos));
            refuse(from, request, lease.get().host(), retryMillis, out);
        }
    }

    private static boolean isHeldBy(
            Optional<Lease> lease, HostId from, ConfigMessage.LeaseRequest request) {
        return lease.filter(l -> l.isHeldBy(from, request.holder()))
                .filter(l -> request.fencing() == 0 || request.fencing() == l.fencing())
                .filter(l -> l.fencing() > request.released())
                .filter(l -> request.durationMillis() <= l.durationMillis())
                .isPresent();
    }

    private boolean isReplaceable(
            Lease lease, HostId from, ConfigMessage.LeaseRequest request, long nowNanos) {
        boolean isReleased =
                lease.isHeldBy(from, request.holder()) && lease.fencing() <= request.released();
        return isReleased || isExpired(lease, nowNanos);
    }

    private boolean isExpired(Lease lease, long nowNanos) {
        Long expiry = mExpiryNanos.get(lease.name());
        return expiry != null && nowNanos - expiry >= 0;
    }

    private static void refuse(
            HostId to,
            ConfigMessage.LeaseRequest request,
            HostId holder,
            long retryMillis,
            Effects out) {
        out.send(
                to,
                new ConfigMessage.LeaseAnswer(
                        request.name(), request.sequence(), 0, holder, retryMillis));
    }

    private void grant(
            HostId from, ConfigMessage.LeaseRequest request, long replaces, long nowNanos) {
        mPendingChanges.add(request.name());
        byte[] command =
                new LeaseCommand.Grant(
                                request.name(),
                                from,
                                request.holder(),
                                replaces,
                                request.durationMillis())
                        .encode();
        mProposer.propose(
                command,
                new Completion(
                        request.name(),
                        fencing -> {
                            if (fencing != 0) {
                                mOutbox.granted(from, request, fencing);
                            }
                        }));
    }

    /** Handles a holder's release of a lease. */
    public void handle(
            HostId from, ConfigMessage.LeaseRelease release, long nowNanos, Effects out) {
        processPending(nowNanos, out);
        Optional<Lease> lease =
                mTable.lease(release.name())
                        .filter(l -> l.isHeldBy(from, release.holder()))
                        .filter(l -> l.fencing() == release.fencing())
                        .filter(l -> mIsActive && !mPendingChanges.contains(l.name()));
        lease.ifPresent(this::end);
        processPending(nowNanos, out);
    }

    private void end(Lease lease) {
        mPendingChanges.add(lease.name());
        byte[] command = new LeaseCommand.End(lease.name(), lease.fencing()).encode();
        mProposer.propose(command, new Completion(lease.name(), fencing -> mOutbox.ended(lease)));
    }

    /** Performs due work; must also be called after each step of the log. */
    public void tick(long nowNanos, Effects out) {
        processPending(nowNanos, out);
        mRenewals.tick(nowNanos);
        if (mIsActive && nowNanos - mNextSweepNanos >= 0) {
            mNextSweepNanos = nowNanos + SWEEP_INTERVAL_NANOS;
            List<Lease> removable =
                    mTable.leases()
                            .filter(l -> !mPendingChanges.contains(l.name()))
                            .filter(l -> isExpired(l, nowNanos - EXPIRED_RETENTION_NANOS))
                            .toList();
            removable.forEach(this::end);
        }
        processPending(nowNanos, out);
    }

    /** Returns the time of the next due {@link #tick}. */
    public long nextTickNanos() {
        long next = mRenewals.nextTickNanos();
        return mIsActive ? Math.min(next, mNextSweepNanos) : next;
    }

    private void processPending(long nowNanos, Effects out) {
        followLeadership(nowNanos);
        if (mMustRestartExpiry) {
            mMustRestartExpiry = false;
            mIsActive = true;
            mNextSweepNanos = nowNanos + SWEEP_INTERVAL_NANOS;
            mTable.leases().forEach(lease -> restartExpiry(lease, nowNanos));
        }
        mRenewals.takeConfirmed().forEach(renewal -> onConfirmed(renewal, nowNanos, out));
        mOutbox.flush(this, nowNanos, out);
    }

    private void followLeadership(long nowNanos) {
        if (!mLeadership.isLeader(nowNanos)) {
            deactivate();
        } else if (mTerm != mLeadership.term()) {
            deactivate();
            activate(mLeadership.term());
        }
    }

    private void deactivate() {
        mTerm = -1;
        mIsActive = false;
        mIsActivating = false;
        mMustRestartExpiry = false;
        mExpiryNanos.clear();
        mPendingChanges.clear();
        mOutbox.clear();
    }

    private void activate(long term) {
        mTerm = term;
        mIsActivating = true;
        mQuorum.read(
                new QuorumRead.Callback() {
                    @Override
                    public void confirmed() {
                        if (mTerm == term && mIsActivating) {
                            mIsActivating = false;
                            mMustRestartExpiry = true;
                        }
                    }

                    @Override
                    public void failed() {
                        if (mTerm == term && mIsActivating) {
                            mTerm = -1;
                        }
                    }
                });
    }

    private void restartExpiry(Lease lease, long nowNanos) {
        long duration = TimeUnit.MILLISECONDS.toNanos(lease.durationMillis());
        mExpiryNanos.put(lease.name(), nowNanos + ConfigTiming.lengthenForDrift(duration));
    }

    private void onConfirmed(Renewal renewal, long nowNanos, Effects out) {
        ConfigMessage.LeaseRequest request = renewal.request();
        Optional<Lease> lease = mTable.lease(request.name());
        boolean isUnchanged = mIsActive && renewal.term() == mTerm;
        if (!isUnchanged || mPendingChanges.contains(request.name())) {
            return;
        }
        if (isHeldBy(lease, renewal.host(), request)) {
            sendGrant(renewal.host(), request, lease.get(), nowNanos, out);
        } else {
            refuse(renewal.host(), request, null, RETRY_DELAY_MILLIS, out);
        }
    }

    private void sendGrant(
            HostId host,
            ConfigMessage.LeaseRequest request,
            Lease lease,
            long nowNanos,
            Effects out) {
        restartExpiry(lease, nowNanos);
        out.send(
                host,
                new ConfigMessage.LeaseAnswer(
                        request.name(), request.sequence(), lease.fencing(), host, 0));
    }

    /** Handles the outcome of a proposed change to one lease. */
    private final class Completion implements Proposer.Completion {
        private final String mName;
        private final long mProposedTerm = mTerm;
        private final LongConsumer mOnCommitted;

        Completion(String name, LongConsumer onCommitted) {
            mName = name;
            mOnCommitted = onCommitted;
        }

        @Override
        public void committed(long index, byte[] result) {
            if (mProposedTerm != mTerm) {
                return;
            }
            mPendingChanges.remove(mName);
            try {
                mOnCommitted.accept(
                        ((LeaseTableRecord.Result) LeaseTableRecord.CODEC.decode(result))
                                .fencing());
            } catch (ProxyException e) {
                throw new IllegalStateException("malformed result of a lease command", e);
            }
        }

        /**
         * Handles a failed proposal. If its outcome is unknown it may still be committed, so the
         * lease accepts no other change until the next term.
         */
        @Override
        public void failed(ErrorKind kind) {
            if (mProposedTerm == mTerm && kind != ErrorKind.COMMIT_UNKNOWN) {
                mPendingChanges.remove(mName);
            }
        }
    }

    /** Committed changes that are yet to be sent to holders and logged. */
    private static final class Outbox {
        private final Map<ConfigMessage.LeaseRequest, Grant> mGrants = new HashMap<>();
        private final Set<Lease> mEnded = new HashSet<>();

        private record Grant(HostId host, long fencing) {}

        void granted(HostId host, ConfigMessage.LeaseRequest request, long fencing) {
            mGrants.put(request, new Grant(host, fencing));
        }

        void ended(Lease lease) {
            mEnded.add(lease);
        }

        void clear() {
            mGrants.clear();
            mEnded.clear();
        }

        void flush(LeaseGranter granter, long nowNanos, Effects out) {
            mGrants.forEach(
                    (request, grant) -> announceGrant(granter, request, grant, nowNanos, out));
            mEnded.forEach(l -> out.log(EventCode.LEASE_ENDED, l.name() + " " + l.fencing()));
            clear();
        }

        private static void announceGrant(
                LeaseGranter granter,
                ConfigMessage.LeaseRequest request,
                Grant grant,
                long nowNanos,
                Effects out) {
            granter.mTable
                    .lease(request.name())
                    .filter(lease -> lease.fencing() == grant.fencing())
                    .ifPresent(
                            lease -> {
                                out.log(
                                        EventCode.LEASE_GRANTED,
                                        lease.name()
                                                + " "
                                                + lease.fencing()
                                                + " to "
                                                + grant.host());
                                granter.sendGrant(grant.host(), request, lease, nowNanos, out);
                            });
        }
    }
}
