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
import org.coltsfootproxy.config.QuorumBatch;
import org.coltsfootproxy.config.QuorumRead;
import org.coltsfootproxy.consensus.Proposer;
import org.coltsfootproxy.message.ConfigMessage;
import org.coltsfootproxy.node.Effects;

/**
 * The leading control host's side of leases: grants, renews and ends them.
 *
 * <p>A grant is committed before it is told. A renewal is told once a quorum has confirmed, after
 * it arrived, that this host still leads; nothing is written for it. A holder counts from when it
 * sent what was confirmed; this side counts from when it confirmed, and longer by the drift bound.
 * A new leader first takes in all that was committed, and then lets every lease run for its whole
 * duration, since its predecessor may just have renewed it.
 */
public final class LeaseGranter {
    private static final long MIN_DURATION_MILLIS = 100;
    private static final long MAX_DURATION_MILLIS = 10 * 60 * 1000;
    private static final long RETRY_MILLIS = 200;
    private static final long SWEEP_NANOS = TimeUnit.SECONDS.toNanos(1);

    /** Time after the expiry at which a lease that nobody asks for is forgotten. */
    private static final long FORGET_NANOS = TimeUnit.SECONDS.toNanos(60);

    private final LeaseTable mTable;
    private final Proposer mProposer;
    private final Leadership mLeadership;
    private final QuorumRead mQuorum;
    private final QuorumBatch<Renewal> mRenewals;
    private final Map<String, Long> mExpiry = new HashMap<>();
    private final Set<String> mChanging = new HashSet<>();
    private final Outbox mOutbox = new Outbox();
    private long mTerm = -1;
    private boolean mIsOpening;
    private boolean mIsOpen;
    private boolean mMustBeginExpiry;
    private long mNextSweep;

    /** A renewal that waits for its confirmation. */
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
        mRenewals = QuorumBatch.create(quorum, timing);
    }

    /** Returns the granter over a table; it acts while {@code leadership} says so. */
    public static LeaseGranter create(
            LeaseTable table,
            Proposer proposer,
            Leadership leadership,
            QuorumRead quorum,
            ConfigTiming timing) {
        return new LeaseGranter(table, proposer, leadership, quorum, timing);
    }

    /** Begins work; called once, before any other method. */
    public void start(long nowNanos) {
        mNextSweep = nowNanos;
    }

    /** Handles a holder's request. */
    public void handle(
            HostId from, ConfigMessage.LeaseRequest request, long nowNanos, Effects out) {
        settle(nowNanos, out);
        if (!mIsOpen) {
            HostId leader = mProposer.leader().orElse(null);
            out.send(from, new ConfigMessage.AskLeader(request.name(), request.sequence(), leader));
        } else if (isValid(request)) {
            handleValid(from, request, nowNanos, out);
        }
        mRenewals.tick(nowNanos);
        settle(nowNanos, out);
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
        if (mChanging.contains(request.name())) {
            refuse(from, request, null, RETRY_MILLIS, out);
        } else if (isHeldBy(lease, from, request)) {
            mRenewals.add(new Renewal(from, request, mTerm));
        } else if (request.fencing() != 0) {
            refuse(from, request, lease.map(Lease::host).orElse(null), RETRY_MILLIS, out);
        } else if (lease.isEmpty() || isOver(lease.get(), from, request, nowNanos)) {
            grant(from, request, lease.map(Lease::fencing).orElse(0L), nowNanos);
        } else {
            long left = mExpiry.getOrDefault(request.name(), nowNanos) - nowNanos;
            long retry = Math.max(RETRY_MILLIS, TimeUnit.NANOSECONDS.toMillis(left));
            refuse(from, request, lease.get().host(), retry, out);
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

    private boolean isOver(
            Lease lease, HostId from, ConfigMessage.LeaseRequest request, long nowNanos) {
        boolean isGivenUp =
                lease.isHeldBy(from, request.holder()) && lease.fencing() <= request.released();
        return isGivenUp || isExpired(lease, nowNanos);
    }

    private boolean isExpired(Lease lease, long nowNanos) {
        Long expiry = mExpiry.get(lease.name());
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
        mChanging.add(request.name());
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

    /** Handles a holder's release. */
    public void handle(
            HostId from, ConfigMessage.LeaseRelease release, long nowNanos, Effects out) {
        settle(nowNanos, out);
        Optional<Lease> lease =
                mTable.lease(release.name())
                        .filter(l -> l.isHeldBy(from, release.holder()))
                        .filter(l -> l.fencing() == release.fencing())
                        .filter(l -> mIsOpen && !mChanging.contains(l.name()));
        lease.ifPresent(this::end);
        settle(nowNanos, out);
    }

    private void end(Lease lease) {
        mChanging.add(lease.name());
        byte[] command = new LeaseCommand.End(lease.name(), lease.fencing()).encode();
        mProposer.propose(command, new Completion(lease.name(), fencing -> mOutbox.ended(lease)));
    }

    /** Does whatever is due; call it after each step of the log too. */
    public void tick(long nowNanos, Effects out) {
        settle(nowNanos, out);
        mRenewals.tick(nowNanos);
        if (mIsOpen && nowNanos - mNextSweep >= 0) {
            mNextSweep = nowNanos + SWEEP_NANOS;
            List<Lease> forgotten =
                    mTable.leases()
                            .filter(l -> !mChanging.contains(l.name()))
                            .filter(l -> isExpired(l, nowNanos - FORGET_NANOS))
                            .toList();
            forgotten.forEach(this::end);
        }
        settle(nowNanos, out);
    }

    /** Returns the time of the next due tick. */
    public long nextTickNanos() {
        long next = mRenewals.nextTickNanos();
        return mIsOpen ? Math.min(next, mNextSweep) : next;
    }

    private void settle(long nowNanos, Effects out) {
        followLeadership(nowNanos);
        if (mMustBeginExpiry) {
            mMustBeginExpiry = false;
            mIsOpen = true;
            mNextSweep = nowNanos + SWEEP_NANOS;
            mTable.leases().forEach(lease -> letRun(lease, nowNanos));
        }
        mRenewals.takeConfirmed().forEach(renewal -> confirmed(renewal, nowNanos, out));
        mOutbox.flush(this, nowNanos, out);
    }

    private void followLeadership(long nowNanos) {
        if (!mLeadership.isLeader(nowNanos)) {
            close();
        } else if (mTerm != mLeadership.term()) {
            close();
            open(mLeadership.term());
        }
    }

    private void close() {
        mTerm = -1;
        mIsOpen = false;
        mIsOpening = false;
        mMustBeginExpiry = false;
        mExpiry.clear();
        mChanging.clear();
        mOutbox.clear();
    }

    private void open(long term) {
        mTerm = term;
        mIsOpening = true;
        mQuorum.read(
                new QuorumRead.Done() {
                    @Override
                    public void confirmed() {
                        if (mTerm == term && mIsOpening) {
                            mIsOpening = false;
                            mMustBeginExpiry = true;
                        }
                    }

                    @Override
                    public void failed() {
                        if (mTerm == term && mIsOpening) {
                            mTerm = -1;
                        }
                    }
                });
    }

    private void letRun(Lease lease, long nowNanos) {
        long duration = TimeUnit.MILLISECONDS.toNanos(lease.durationMillis());
        mExpiry.put(lease.name(), nowNanos + ConfigTiming.granterNanos(duration));
    }

    private void confirmed(Renewal renewal, long nowNanos, Effects out) {
        ConfigMessage.LeaseRequest request = renewal.request();
        Optional<Lease> lease = mTable.lease(request.name());
        boolean isUnchanged = mIsOpen && renewal.term() == mTerm;
        if (!isUnchanged || mChanging.contains(request.name())) {
            return;
        }
        if (isHeldBy(lease, renewal.host(), request)) {
            tell(renewal.host(), request, lease.get(), nowNanos, out);
        } else {
            refuse(renewal.host(), request, null, RETRY_MILLIS, out);
        }
    }

    private void tell(
            HostId host,
            ConfigMessage.LeaseRequest request,
            Lease lease,
            long nowNanos,
            Effects out) {
        letRun(lease, nowNanos);
        out.send(
                host,
                new ConfigMessage.LeaseAnswer(
                        request.name(), request.sequence(), lease.fencing(), host, 0));
    }

    /** Told what became of a change of one lease. */
    private final class Completion implements Proposer.Completion {
        private final String mName;
        private final long mProposedIn = mTerm;
        private final LongConsumer mDone;

        Completion(String name, LongConsumer done) {
            mName = name;
            mDone = done;
        }

        @Override
        public void committed(long index, byte[] result) {
            if (mProposedIn != mTerm) {
                return;
            }
            mChanging.remove(mName);
            try {
                mDone.accept(((LeaseImage.Result) LeaseImage.CODEC.decode(result)).fencing());
            } catch (ProxyException e) {
                throw new IllegalStateException("malformed result of a lease command", e);
            }
        }

        /**
         * A change whose outcome is unknown may still be committed, so the lease stays closed to
         * other changes until the next term.
         */
        @Override
        public void failed(ErrorKind kind) {
            if (mProposedIn == mTerm && kind != ErrorKind.COMMIT_UNKNOWN) {
                mChanging.remove(mName);
            }
        }
    }

    /** What commits have brought about and the next step tells. */
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
            mGrants.forEach((request, grant) -> tell(granter, request, grant, nowNanos, out));
            mEnded.forEach(l -> out.log(EventCode.LEASE_ENDED, l.name() + " " + l.fencing()));
            clear();
        }

        private static void tell(
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
                                granter.tell(grant.host(), request, lease, nowNanos, out);
                            });
        }
    }
}
