package org.coltsfootproxy.control;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.coltsfootproxy.base.EventCode;
import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.base.Member;
import org.coltsfootproxy.base.OrganisationId;
import org.coltsfootproxy.config.ConfigSubscriber;
import org.coltsfootproxy.config.Organisation;
import org.coltsfootproxy.consensus.RaftSettings;
import org.coltsfootproxy.consensus.RaftStatus;
import org.coltsfootproxy.consensus.RecoveredState;
import org.coltsfootproxy.direct.HostReports;
import org.coltsfootproxy.direct.ItemWorker;
import org.coltsfootproxy.direct.LoadExchange;
import org.coltsfootproxy.direct.StreamVersions;
import org.coltsfootproxy.direct.TargetCalls;
import org.coltsfootproxy.direct.Targets;
import org.coltsfootproxy.job.EpochClock;
import org.coltsfootproxy.job.JobLedger;
import org.coltsfootproxy.job.JobService;
import org.coltsfootproxy.job.JobServices;
import org.coltsfootproxy.membership.FleetMembership;
import org.coltsfootproxy.message.ConfigMessage;
import org.coltsfootproxy.message.FleetMessage;
import org.coltsfootproxy.message.JobMessage;
import org.coltsfootproxy.message.Message;
import org.coltsfootproxy.message.RaftMessage;
import org.coltsfootproxy.node.Effect;
import org.coltsfootproxy.node.Effects;
import org.coltsfootproxy.node.Input;
import org.coltsfootproxy.node.Node;
import org.coltsfootproxy.quarantine.CrashQuarantine;

/**
 * The decisions of a store, a host that stores and runs batch jobs in a fleet that discovers its
 * hosts through seeds.
 *
 * <p>A store is either a member of the job log or a spare that can replace a lost member. It runs
 * items in both cases.
 */
public final class StoreNode implements Node {
    /** Number of the group whose log holds the jobs. */
    public static final int JOBS_GROUP = 1;

    /** Maximum rounds in one step; work that is still due then waits for the next tick. */
    private static final int MAX_ROUNDS = 32;

    /** Time after which a planned stop no longer tries to transfer leadership. */
    private static final long HANDOVER_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(3);

    /** Time between two attempts to transfer leadership. */
    private static final long HANDOVER_RETRY_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    private final StoreSettings mSettings;
    private final Random mRandom;
    private final StepEffects mOut;
    private final ConfigSubscriber mConfig;
    private final FleetMembership mMembership;
    private final RaftGroup mGroup;
    private final JobService mJobService;
    private final TargetCalls mCalls = TargetCalls.create();
    private final Targets mTargets;
    private final CrashQuarantine mQuarantine = CrashQuarantine.create();
    private final StreamVersions mVersions = StreamVersions.create();
    private final HostReports mReports;
    private final ItemWorker mWorker;
    private Optional<HostId> mLeader = Optional.empty();
    private List<HostId> mReportedMembers = List.of();
    private boolean mIsStopping;
    private long mHandoverDeadlineNanos;
    private long mNextHandoverNanos = NEVER;

    private StoreNode(
            StoreSettings settings,
            RecoveredState recovered,
            ConfigSubscriber config,
            FleetMembership membership,
            EpochClock clock,
            Random random) {
        mSettings = checkNotNull(settings, "settings");
        mConfig = checkNotNull(config, "config");
        mMembership = checkNotNull(membership, "membership");
        mRandom = checkNotNull(random, "random");
        mOut = new StepEffects(settings.self(), new BacklogTracker());
        JobLedger ledger = JobLedger.create();
        mGroup = new RaftGroup(JOBS_GROUP, ledger, recovered);
        mJobService =
                JobService.create(
                        settings.self(),
                        JOBS_GROUP,
                        ledger,
                        mGroup,
                        settings.jobs(),
                        this::weight,
                        JobServices.atSubmission(),
                        clock);
        mTargets = Targets.create(settings.dataCentre(), random);
        mReports =
                HostReports.ofStore(
                        settings.self(),
                        random.nextLong(),
                        mTargets,
                        LoadExchange.create(settings.self(), mTargets),
                        mQuarantine,
                        mVersions);
        mWorker =
                ItemWorker.create(
                        settings.incarnation(),
                        membership.jobHosts(),
                        settings.targets(),
                        mCalls,
                        mTargets,
                        mQuarantine,
                        mConfig::view,
                        mConfig::isConfirmedSince,
                        settings.regions());
    }

    /**
     * Returns a store that starts from its recovered state.
     *
     * @param config subscriber that is not started yet
     * @param membership membership that is not started yet
     * @param clock converts the node's monotonic times to wall-clock times
     */
    public static StoreNode create(
            StoreSettings settings,
            RecoveredState recovered,
            ConfigSubscriber config,
            FleetMembership membership,
            EpochClock clock,
            Random random) {
        return new StoreNode(settings, recovered, config, membership, clock, random);
    }

    private double weight(OrganisationId id) {
        return mConfig.view().organisation(id).map(Organisation::weight).orElse(1.0);
    }

    @Override
    public void start(long nowNanos, Effects out) {
        mOut.begin(out);
        RaftSettings raft =
                RaftSettings.of(List.of(mSettings.self()))
                        .withFleetSettings(false, mSettings.voters());
        Member self = Member.of(mSettings.self(), mSettings.incarnation());
        mGroup.start(raft, self, mRandom, nowNanos);
        mGroup.node().setProbeHosts(List.of());
        mTargets.started(nowNanos);
        mConfig.start(nowNanos, mOut);
        configureTargets(nowNanos);
        mMembership.start(nowNanos);
        runUntilIdle(nowNanos);
    }

    @Override
    public void handle(Input input, long nowNanos, Effects out) {
        mOut.begin(out);
        configureTargets(nowNanos);
        if (input instanceof Input.TargetChunk) {
            // The most frequent input; it makes no other component's work due.
            mCalls.handle(input, nowNanos, mOut);
            return;
        }
        if (input instanceof Input.FromPeer peer) {
            receive(peer.from(), peer.message(), nowNanos);
        } else if (input instanceof Input.Persisted persisted) {
            mGroup.handle(persisted, nowNanos, mOut);
        } else if (input instanceof Input.PersistFailed failed) {
            mGroup.handle(failed, nowNanos, mOut);
        } else if (input instanceof Input.PeerLost lost) {
            mConfig.peerLost(lost.host(), nowNanos, mOut);
            if (mMembership.peerLost(lost.host())) {
                updateHosts(nowNanos);
            }
            mReports.peerLost(lost.host(), nowNanos, mOut);
            mWorker.peerLost(lost.host(), nowNanos);
        } else if (input instanceof Input.SeedsChanged seeds) {
            mMembership.seeds(seeds.seeds());
            updateHosts(nowNanos);
            mOut.log(EventCode.SEEDS_CHANGED, seeds.seeds().toString());
        } else if (input instanceof Input.ClockJumped jumped) {
            mOut.log(EventCode.CLOCK_JUMPED, "by " + jumped.nanos() + " ns");
            mConfig.discardConfirmations(nowNanos, mOut);
            configureTargets(nowNanos);
            mGroup.node().invalidateLease(nowNanos);
        } else if (input instanceof Input.PlannedStop && !mIsStopping) {
            mIsStopping = true;
            mHandoverDeadlineNanos = nowNanos + HANDOVER_TIMEOUT_NANOS;
            mWorker.stop(nowNanos, mOut);
            tryHandover(nowNanos);
        } else {
            mCalls.handle(input, nowNanos, mOut);
        }
        runUntilIdle(nowNanos);
    }

    private void configureTargets(long nowNanos) {
        boolean isConfirmed = !mSettings.needsConfirmation() || mConfig.isFresh(nowNanos);
        mTargets.configure(mConfig.view(), isConfirmed, nowNanos, mOut);
    }

    private void receive(HostId from, Message message, long nowNanos) {
        if (message instanceof RaftMessage raft) {
            mGroup.node().receive(from, raft, nowNanos, mOut);
        } else if (message instanceof JobMessage.ToAgent toAgent) {
            mWorker.handle(from, toAgent, nowNanos, mOut);
        } else if (message instanceof JobMessage job) {
            mJobService.handle(from, job, nowNanos, mOut);
        } else if (message instanceof ConfigMessage config) {
            mConfig.handle(from, config, nowNanos, mOut);
            configureTargets(nowNanos);
        } else if (message instanceof FleetMessage fleet) {
            receiveFleet(from, fleet, nowNanos);
        }
    }

    private void receiveFleet(HostId from, FleetMessage message, long nowNanos) {
        if (message instanceof FleetMessage.Roster roster) {
            if (mMembership.handle(from, roster)) {
                updateHosts(nowNanos);
            }
        } else if (message instanceof FleetMessage.Listing listing) {
            mTargets.update(listing, mOut);
        } else if (message instanceof FleetMessage.BootstrapJobLog bootstrap) {
            mGroup.node().bootstrap(bootstrap.members(), nowNanos, mOut);
        } else if (message instanceof FleetMessage.Reports reports) {
            mReports.handle(from, reports, nowNanos, mOut);
        } else if (message instanceof FleetMessage.AskStreams) {
            mOut.send(from, new FleetMessage.KnownStreams(mVersions.recent(nowNanos)));
        } else if (message instanceof FleetMessage.Quarantine stored) {
            mQuarantine.handle(stored, nowNanos, mOut);
        } else if (message instanceof FleetMessage.PreemptItem yield) {
            mWorker.preemptItem(yield.target(), nowNanos, mOut);
        }
    }

    private void updateHosts(long nowNanos) {
        FleetMessage.Roster roster = mMembership.roster();
        mConfig.replaceHosts(
                mSettings.addresses().controlHosts(mMembership.controls()), nowNanos, mOut);
        Stream.concat(mMembership.targetCallers().stream(), roster.jobMembers().stream())
                .filter(host -> !host.equals(mSettings.self()))
                .distinct()
                .forEach(h -> mOut.add(new Effect.PeerAddress(h, mSettings.addresses().of(h))));
        boolean isRetiring = roster.retiring().contains(mSettings.self());
        mGroup.node().setProbeHosts(isRetiring ? List.of() : roster.jobMembers());
        mGroup.node().setRetiringHosts(hostsToReplace(roster));
        mReports.hostsChanged(mMembership, nowNanos, mOut);
        mWorker.controls(mMembership.jobHosts(), Math.max(1, roster.stores().size()));
        if (isRetiring && !mIsStopping) {
            mWorker.stop(nowNanos, mOut);
            mNextHandoverNanos = Math.min(mNextHandoverNanos, nowNanos);
            // A retiring host transfers leadership whenever it leads, without a time limit.
            mHandoverDeadlineNanos = Long.MAX_VALUE;
        }
    }

    /** Returns the retiring hosts and, if enough stores can vote, control hosts that stand in. */
    private Set<HostId> hostsToReplace(FleetMessage.Roster roster) {
        Set<HostId> hosts = new HashSet<>(roster.retiring());
        Set<HostId> stores = new HashSet<>(roster.jobMembers());
        stores.addAll(roster.stores());
        stores.removeAll(roster.controls());
        stores.removeAll(roster.retiring());
        if (stores.size() >= mSettings.voters()) {
            roster.jobMembers().stream().filter(roster.controls()::contains).forEach(hosts::add);
        }
        return hosts;
    }

    @Override
    public void tick(long nowNanos, Effects out) {
        mOut.begin(out);
        mConfig.tick(nowNanos, mOut);
        configureTargets(nowNanos);
        if (nowNanos - mNextHandoverNanos >= 0) {
            tryHandover(nowNanos);
        }
        runUntilIdle(nowNanos);
    }

    /**
     * Ticks all components and delivers the host's messages to itself until nothing more is due,
     * for at most {@link #MAX_ROUNDS} rounds.
     */
    private void runUntilIdle(long nowNanos) {
        boolean hasMoreWork = true;
        for (int round = 0; round < MAX_ROUNDS && hasMoreWork; round++) {
            mGroup.tick(nowNanos, mOut);
            if (mJobService.nextTickNanos() <= nowNanos) {
                mJobService.tick(nowNanos, mOut);
            }
            mQuarantine.tick(nowNanos, mOut);
            if (mWorker.nextTickNanos() <= nowNanos) {
                mWorker.tick(nowNanos, mOut);
            }
            mReports.tick(nowNanos, mOut);
            hasMoreWork = receiveFromSelf(nowNanos) || mGroup.isDue(nowNanos);
        }
        updateLeader(nowNanos);
        enrol(nowNanos);
    }

    /** Passes the leader to the worker; hosts outside the log learn it from the roster. */
    private void updateLeader(long nowNanos) {
        Optional<HostId> rosterLeader = mMembership.roster().jobMembers().stream().findFirst();
        Optional<HostId> leader = mGroup.leader().or(() -> rosterLeader);
        if (leader.isPresent() && !leader.equals(mLeader)) {
            mLeader = leader;
            mWorker.leader(leader.get(), nowNanos);
        }
    }

    private boolean receiveFromSelf(long nowNanos) {
        Message message = mOut.pollToSelf();
        boolean hasReceived = message != null;
        while (message != null) {
            receive(mSettings.self(), message, nowNanos);
            message = mOut.pollToSelf();
        }
        return hasReceived;
    }

    private void enrol(long nowNanos) {
        List<HostId> reported = membersIfLeading(nowNanos);
        if (!reported.equals(mReportedMembers)) {
            mReportedMembers = reported;
            mMembership.enrolNow(nowNanos);
        }
        if (mMembership.nextTickNanos() <= nowNanos) {
            long term = reported.isEmpty() ? 0 : mGroup.term();
            var state =
                    new FleetMessage.StoreState(
                            mSettings.incarnation(), mGroup.node().isBlank(), term, reported);
            mMembership.tick(
                    mTargets.listing().number(),
                    state,
                    mQuarantine.quarantined(nowNanos),
                    nowNanos,
                    mOut);
        }
    }

    /**
     * Returns the members of the log, this host first, if it leads under a valid leader lease;
     * empty otherwise.
     */
    private List<HostId> membersIfLeading(long nowNanos) {
        if (!mGroup.isLeader(nowNanos)) {
            return List.of();
        }
        RaftStatus status = mGroup.status(nowNanos);
        return Stream.concat(Stream.of(mSettings.self()), status.members().all().map(Member::host))
                .distinct()
                .toList();
    }

    private void tryHandover(long nowNanos) {
        boolean isLeading = mGroup.node().transferLeadership(Set.of(), nowNanos, mOut);
        boolean mayRetry = (isLeading || !mIsStopping) && nowNanos - mHandoverDeadlineNanos < 0;
        mNextHandoverNanos = mayRetry ? nowNanos + HANDOVER_RETRY_NANOS : NEVER;
    }

    /** Returns whether this host leads the job log under a valid leader lease. */
    boolean isLeader(long nowNanos) {
        return mGroup.isLeader(nowNanos);
    }

    @Override
    public long nextTickNanos() {
        long next = Math.min(mConfig.nextTickNanos(), mMembership.nextTickNanos());
        next = Math.min(next, mGroup.node().nextTickNanos());
        next = Math.min(next, mJobService.nextTickNanos());
        next = Math.min(next, mWorker.nextTickNanos());
        next = Math.min(next, mQuarantine.nextTickNanos());
        next = Math.min(next, mReports.nextTickNanos());
        return Math.min(next, mNextHandoverNanos);
    }

    @Override
    public boolean isDrained() {
        return mIsStopping && mNextHandoverNanos == NEVER && mWorker.isDrained();
    }
}
