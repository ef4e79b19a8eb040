package org.coltsfootproxy.limit;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.base.Incarnation;
import org.coltsfootproxy.base.OrganisationId;
import org.coltsfootproxy.config.ConfigView;
import org.coltsfootproxy.config.Organisation;
import org.coltsfootproxy.message.FleetMessage;
import org.coltsfootproxy.message.LimitMessage;
import org.coltsfootproxy.node.Effects;
import org.coltsfootproxy.node.Node;

/**
 * Rates over a fleet of few entries, each of which tells the others what it has admitted.
 *
 * <p>Each entry keeps one bucket for an organisation and takes from it what any entry admits, its
 * own at once and that of others as soon as it hears of it. A bucket may therefore go below empty,
 * by what is admitted elsewhere while a message is on its way; that debt is paid before anything
 * else is admitted. The share of an entry that isn't heard is left to it: the bucket then fills
 * only by the part of the fleet that is heard, on either side of a cut.
 *
 * <p>No request ever waits and no other host is asked, so a lost entry or control host delays
 * nobody. Messages grow with the square of the number of entries; large fleets use {@link
 * GrantLimiter}.
 */
public final class SharedCountLimiter implements Limiter {
    /** Time between two messages while requests are admitted. */
    private static final long TELL_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    /** Time between two messages otherwise. */
    private static final long IDLE_TELL_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    /** Silence after which an entry's share is left to it: two messages and their way. */
    private static final long SILENT_NANOS = TimeUnit.MILLISECONDS.toNanos(1_200);

    /** Age below which a bucket takes over what others hold: a connection and a message. */
    private static final long YOUNG_NANOS = TimeUnit.SECONDS.toNanos(2);

    private static final double SECOND_NANOS = 1e9;

    private final HostId mSelf;
    private final Map<OrganisationId, Account> mAccounts = new LinkedHashMap<>();
    private final Map<HostId, Peer> mPeers = new LinkedHashMap<>();
    private final Set<OrganisationId> mChanged = new LinkedHashSet<>();
    private ConfigView mView = ConfigView.empty();
    private long mTold;
    private boolean mMustTell;

    /** The bucket of one organisation. */
    private static final class Account {
        private final long mCreatedAt;
        private double mLevel;
        private long mFilledAt;
        private long mAdmitted;

        Account(double level, long nowNanos) {
            mCreatedAt = nowNanos;
            mLevel = level;
            mFilledAt = nowNanos;
        }
    }

    /** What is known of another entry. */
    private static final class Peer {
        private final Map<OrganisationId, Long> mAdmitted = new HashMap<>();
        private Incarnation mIncarnation = Incarnation.UNKNOWN;
        private boolean mIsHeard;
        private boolean mIsGone;
        private long mHeardAt;
    }

    private SharedCountLimiter(HostId self) {
        mSelf = checkNotNull(self, "self");
    }

    /** Returns the limiter of an entry that knows no other entry yet. */
    public static SharedCountLimiter create(HostId self) {
        return new SharedCountLimiter(self);
    }

    /** Replaces the entries of the fleet; this one may be among them. */
    public void entries(Collection<HostId> entries, long nowNanos) {
        fillAll(nowNanos);
        mPeers.keySet().retainAll(entries);
        entries.stream()
                .filter(entry -> !entry.equals(mSelf))
                .forEach(entry -> mPeers.computeIfAbsent(entry, e -> new Peer()));
    }

    /** A connection to an entry is ready: it may be a new life, and may have missed messages. */
    public void entryUp(HostId entry, Incarnation incarnation) {
        Peer known = mPeers.get(entry);
        if (known != null && !incarnation.equals(known.mIncarnation)) {
            Peer fresh = new Peer();
            fresh.mIncarnation = incarnation;
            mPeers.put(entry, fresh);
        }
        mMustTell = true;
        mChanged.addAll(mAccounts.keySet());
    }

    /**
     * The connection to an entry was lost. If it was heard until now, its process has ended and
     * admits nothing; if it had fallen silent, it may admit its share behind a cut.
     */
    public void entryLost(HostId entry, long nowNanos) {
        fillAll(nowNanos);
        Peer peer = mPeers.get(entry);
        if (peer != null && peer.mIsHeard && nowNanos - peer.mHeardAt < SILENT_NANOS) {
            peer.mIsGone = true;
        }
    }

    /** Tells whether all other entries have told what they admitted, or have ended. */
    public boolean knowsAll(long nowNanos) {
        return mPeers.values().stream().allMatch(peer -> peer.mIsGone || isHeard(peer, nowNanos));
    }

    /** Takes what another entry has admitted. */
    public void handle(HostId from, FleetMessage.Usage usage, long nowNanos) {
        Peer peer = mPeers.get(from);
        if (peer == null) {
            return;
        }
        fillAll(nowNanos);
        // What a silent entry admitted came out of the share that was left to it.
        boolean wasHeard = isHeard(peer, nowNanos);
        peer.mIsHeard = true;
        peer.mIsGone = false;
        peer.mHeardAt = nowNanos;
        for (FleetMessage.Use use : usage.uses()) {
            long before = peer.mAdmitted.getOrDefault(use.organisation(), wasHeard ? 0L : -1L);
            peer.mAdmitted.put(use.organisation(), use.admitted());
            if (wasHeard && use.admitted() > before) {
                account(use.organisation(), nowNanos).mLevel -= use.admitted() - before;
            } else if (before < 0) {
                takeOver(use, nowNanos);
            }
        }
    }

    /** A bucket that has just been made holds what those of others hold. */
    private void takeOver(FleetMessage.Use use, long nowNanos) {
        Account account = account(use.organisation(), nowNanos);
        if (nowNanos - account.mCreatedAt < YOUNG_NANOS) {
            account.mLevel = use.level() - account.mAdmitted;
        }
    }

    private static boolean isHeard(Peer peer, long nowNanos) {
        return peer.mIsHeard && !peer.mIsGone && nowNanos - peer.mHeardAt < SILENT_NANOS;
    }

    /** Returns the part of the fleet whose admissions are known here. */
    private double heardPart(long nowNanos) {
        long heard = mPeers.values().stream().filter(peer -> isHeard(peer, nowNanos)).count();
        long gone = mPeers.values().stream().filter(peer -> peer.mIsGone).count();
        return (1.0 + heard) / (1 + mPeers.size() - gone);
    }

    private void fillAll(long nowNanos) {
        double part = heardPart(nowNanos);
        mAccounts.forEach((organisation, account) -> fill(organisation, account, part, nowNanos));
    }

    private void fill(OrganisationId organisation, Account account, double part, long nowNanos) {
        Optional<Organisation> rates = mView.organisation(organisation);
        double added =
                rates.map(Organisation::ratePerSecond).orElse(0.0)
                        * part
                        * (nowNanos - account.mFilledAt)
                        / SECOND_NANOS;
        double burst = rates.map(Organisation::burst).orElse(0.0);
        account.mLevel = Math.min(burst, account.mLevel + added);
        account.mFilledAt = nowNanos;
    }

    /** A bucket starts with this entry's part, as others may have emptied theirs. */
    private Account account(OrganisationId organisation, long nowNanos) {
        return mAccounts.computeIfAbsent(
                organisation,
                id -> {
                    double burst = mView.organisation(id).map(Organisation::burst).orElse(0.0);
                    return new Account(burst * heardPart(nowNanos), nowNanos);
                });
    }

    @Override
    public Decision tryAcquire(OrganisationId organisation, long call, long nowNanos, Effects out) {
        Optional<Organisation> rates = mView.organisation(organisation);
        if (rates.isEmpty()) {
            return Decision.unavailable(1);
        }
        double rate = rates.get().ratePerSecond();
        if (rate <= 0) {
            return Decision.ADMITTED;
        }
        Account account = account(organisation, nowNanos);
        double part = heardPart(nowNanos);
        fill(organisation, account, part, nowNanos);
        if (account.mLevel >= 1) {
            account.mLevel--;
            account.mAdmitted++;
            mChanged.add(organisation);
            return Decision.ADMITTED;
        }
        return Decision.refused((long) ((1 - account.mLevel) / (rate * part) * SECOND_NANOS));
    }

    @Override
    public void cancel(OrganisationId organisation, long call) {
        // Nothing ever waits.
    }

    @Override
    public void handle(HostId from, LimitMessage message, long nowNanos, Effects out) {
        // Grants belong to another limiter.
    }

    @Override
    public void tick(long nowNanos, Effects out) {
        if (nowNanos - nextTickNanos() < 0) {
            return;
        }
        mTold = nowNanos;
        mMustTell = false;
        List<FleetMessage.Use> uses = new ArrayList<>();
        double part = heardPart(nowNanos);
        mChanged.forEach(id -> uses.add(use(id, mAccounts.get(id), part, nowNanos)));
        mChanged.clear();
        mPeers.keySet().forEach(peer -> out.send(peer, new FleetMessage.Usage(uses)));
    }

    private FleetMessage.Use use(OrganisationId id, Account account, double part, long nowNanos) {
        fill(id, account, part, nowNanos);
        return new FleetMessage.Use(id, account.mAdmitted, account.mLevel);
    }

    @Override
    public long nextTickNanos() {
        if (mPeers.isEmpty()) {
            return Node.NEVER;
        }
        boolean isIdle = mChanged.isEmpty() && !mMustTell;
        return mTold + (isIdle ? IDLE_TELL_NANOS : TELL_NANOS);
    }

    @Override
    public void configure(ConfigView view, long nowNanos) {
        fillAll(nowNanos);
        mView = checkNotNull(view, "view");
        mAccounts.keySet().removeIf(id -> view.organisation(id).isEmpty());
        mChanged.removeIf(id -> !mAccounts.containsKey(id));
    }

    @Override
    public void stop(long nowNanos, Effects out) {
        // Nothing is held.
    }
}
