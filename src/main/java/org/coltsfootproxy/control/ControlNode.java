package org.coltsfootproxy.control;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.coltsfootproxy.base.EventCode;
import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.base.Member;
import org.coltsfootproxy.base.OrganisationId;
import org.coltsfootproxy.config.ConfigPublisher;
import org.coltsfootproxy.config.ControlHost;
import org.coltsfootproxy.config.Organisation;
import org.coltsfootproxy.consensus.RaftSettings;
import org.coltsfootproxy.consensus.RecoveredState;
import org.coltsfootproxy.job.EpochClock;
import org.coltsfootproxy.job.JobGateway;
import org.coltsfootproxy.job.JobLedger;
import org.coltsfootproxy.job.JobService;
import org.coltsfootproxy.job.JobServices;
import org.coltsfootproxy.membership.LeaseGranter;
import org.coltsfootproxy.message.ConfigMessage;
import org.coltsfootproxy.message.FleetMessage;
import org.coltsfootproxy.message.JobMessage;
import org.coltsfootproxy.message.Message;
import org.coltsfootproxy.message.RaftMessage;
import org.coltsfootproxy.node.Effect;
import org.coltsfootproxy.node.Effects;
import org.coltsfootproxy.node.Input;
import org.coltsfootproxy.node.Node;

/**
 * The decisions of a control host. It replicates the logs of the configuration and the batch jobs,
 * and serves configuration subscribers, lease holders, operators, and the job requests of entries
 * and agents.
 */
public final class ControlNode implements Node {
    /** Maximum rounds in one step; work that is still due then waits for the next tick. */
    private static final int MAX_ROUNDS = 32;

    /** Time after which a planned stop no longer tries to transfer leadership. */
    private static final long HANDOVER_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(10);

    private static final long HANDOVER_RETRY_NANOS = TimeUnit.MILLISECONDS.toNanos(1500);

    private final ControlSettings mSettings;
    private final Random mRandom;
    private final BacklogTracker mBacklogs = new BacklogTracker();
    private final StepEffects mOut;
    private final ConfigStateMachine mMachine = new ConfigStateMachine();
    private final List<RaftGroup> mGroups = new ArrayList<>();
    private final List<JobService> mJobServices = new ArrayList<>();
    private final ConfigPublisher mPublisher;
    private final LeaseGranter mLeases;
    private final ProposalForwarder mForwarder;
    private final StatusCollector mStatus;
    private final JobGateway mGateway;
    private final OperatorApi mApi;
    private final Optional<SeedFleetSettings> mFleetSettings;
    private final Optional<FleetCoordinator> mFleet;
    private final Optional<PlatformOperatorApi> mPlatformApi;
    private boolean mIsStopping;
    private long mHandoverDeadlineNanos;
    private long mNextHandoverNanos = NEVER;

    private ControlNode(
            ControlSettings settings,
            List<RecoveredState> recovered,
            EpochClock clock,
            Random random,
            Optional<SeedFleetSettings> fleetSettings) {
        mSettings = settings;
        mFleetSettings = fleetSettings;
        mRandom = random;
        mOut = new StepEffects(settings.self(), mBacklogs);
        RaftGroup config = new RaftGroup(0, mMachine, recovered.get(0));
        mGroups.add(config);
        IntStream.range(1, recovered.size()).forEach(g -> addJobGroup(g, recovered.get(g), clock));
        mPublisher = ConfigPublisher.create(mMachine.config(), config, settings.timing());
        mLeases =
                LeaseGranter.create(
                        mMachine.leases(),
                        ConfigStateMachine.leaseProposer(config),
                        config,
                        config,
                        settings.timing());
        mForwarder = new ProposalForwarder(settings.self(), mGroups, random.nextLong());
        List<HostId> hosts = settings.hosts().stream().map(ControlHost::host).toList();
        mStatus =
                new StatusCollector(
                        settings.self(),
                        hosts.stream().filter(h -> !h.equals(settings.self())).toList(),
                        mGroups,
                        mMachine,
                        mPublisher,
                        mBacklogs,
                        random.nextLong());
        mGateway =
                JobGateway.create(
                        hosts, Math.max(1, settings.jobGroups()), random.nextLong(), clock);
        mApi =
                new OperatorApi(
                        settings.operatorKeyDigest(),
                        config,
                        mMachine,
                        mForwarder,
                        new MemberChangeHandler(
                                mForwarder, fleetSettings.isPresent() ? 1 : settings.groups()),
                        mStatus,
                        mGateway);
        mFleet =
                fleetSettings.map(
                        fleet ->
                                new FleetCoordinator(
                                        settings,
                                        fleet,
                                        config,
                                        mGroups.stream().skip(1).findFirst(),
                                        mMachine.fleet(),
                                        new Random(random.nextLong())));
        mPlatformApi =
                fleetSettings
                        .map(SeedFleetSettings::operators)
                        .map(
                                p ->
                                        new PlatformOperatorApi(
                                                p, mFleet.get(), config, mMachine, mForwarder));
    }

    private void addJobGroup(int number, RecoveredState recovered, EpochClock clock) {
        JobLedger ledger = JobLedger.create();
        RaftGroup group = new RaftGroup(number, ledger, recovered);
        mGroups.add(group);
        mJobServices.add(
                JobService.create(
                        mSettings.self(),
                        number,
                        ledger,
                        group,
                        mSettings.jobs(),
                        this::weight,
                        JobServices.routedBy(mMachine.config()::view),
                        clock));
    }

    private double weight(OrganisationId id) {
        return mMachine.config().view().organisation(id).map(Organisation::weight).orElse(1.0);
    }

    /**
     * Returns a control host that starts from its recovered state.
     *
     * @param recovered recovered state of each of the {@link ControlSettings#groups} groups, in the
     *     order of their numbers
     * @param clock converts the node's monotonic times to wall-clock times
     */
    public static ControlNode create(
            ControlSettings settings,
            List<RecoveredState> recovered,
            EpochClock clock,
            Random random) {
        return create(settings, recovered, clock, random, Optional.empty());
    }

    /**
     * Returns a control host that starts from its recovered state.
     *
     * @param fleetSettings settings and adapters for a fleet that discovers its hosts through
     *     seeds; empty if the control hosts are fixed
     */
    public static ControlNode create(
            ControlSettings settings,
            List<RecoveredState> recovered,
            EpochClock clock,
            Random random,
            Optional<SeedFleetSettings> fleetSettings) {
        checkArgument(
                recovered.size() == settings.groups(),
                "got the recovered state of %s stores for %s groups",
                recovered.size(),
                settings.groups());
        checkNotNull(clock, "clock is missing");
        checkArgument(
                fleetSettings.isPresent()
                        || settings.hosts().stream()
                                .anyMatch(h -> h.host().equals(settings.self())),
                "%s is not among the control hosts",
                settings.self());
        return new ControlNode(settings, recovered, clock, random, fleetSettings);
    }

    @Override
    public void start(long nowNanos, Effects out) {
        mOut.begin(out);
        List<HostId> hosts = mSettings.hosts().stream().map(ControlHost::host).toList();
        mSettings.hosts().stream()
                .filter(host -> !host.host().equals(mSettings.self()))
                .forEach(h -> mOut.add(new Effect.PeerAddress(h.host(), h.address())));
        RaftSettings raft = raftSettings(hosts);
        Member self = Member.of(mSettings.self(), mSettings.incarnation());
        mGroups.forEach(
                group ->
                        group.start(
                                group.number() > 0 && mFleetSettings.isPresent()
                                        ? standInSettings(mFleetSettings.get())
                                        : raft,
                                self,
                                mRandom,
                                nowNanos));
        mPublisher.start(nowNanos);
        mLeases.start(nowNanos);
        mFleet.ifPresent(fleet -> fleet.start(nowNanos, mOut));
        runUntilIdle(nowNanos);
    }

    private RaftSettings standInSettings(SeedFleetSettings fleetSettings) {
        return RaftSettings.of(List.of(mSettings.self()))
                .withFleetSettings(false, fleetSettings.voters());
    }

    private RaftSettings raftSettings(List<HostId> hosts) {
        RaftSettings fixedHosts = RaftSettings.of(hosts).withAutoReplace(mSettings.autoReplace());
        return mFleetSettings
                .map(
                        fleetSettings ->
                                RaftSettings.of(fleetSettings.seeds())
                                        .withFleetSettings(
                                                fleetSettings.mayBootstrap(),
                                                fleetSettings.voters()))
                .orElse(fixedHosts);
    }

    @Override
    public void handle(Input input, long nowNanos, Effects out) {
        mOut.begin(out);
        if (input instanceof Input.FromPeer peer) {
            receive(peer.from(), peer.message(), nowNanos);
        } else if (input instanceof Input.HttpCall call) {
            call(call, nowNanos);
        } else if (input instanceof Input.HttpDisconnected disconnected) {
            mGateway.callerDisconnected(disconnected.call(), mOut);
        } else if (input instanceof Input.Persisted persisted) {
            mGroups.get(persisted.group()).handle(persisted, nowNanos, mOut);
        } else if (input instanceof Input.PersistFailed failed) {
            mGroups.get(failed.group()).handle(failed, nowNanos, mOut);
        } else if (input instanceof Input.PeerUp up) {
            mFleet.ifPresent(fleet -> fleet.peerUp(up.host(), mOut));
        } else if (input instanceof Input.PeerLost lost) {
            mPublisher.peerLost(lost.host());
            mForwarder.peerLost(lost.host(), nowNanos);
        } else if (input instanceof Input.ClockJumped jumped) {
            mOut.log(EventCode.CLOCK_JUMPED, "by " + jumped.nanos() + " ns");
            mGroups.forEach(group -> group.node().invalidateLease(nowNanos));
        } else if (input instanceof Input.PlannedStop && !mIsStopping) {
            stop(nowNanos);
        } else {
            mFleet.ifPresent(fleet -> fleet.handle(input, nowNanos, mOut));
        }
        runUntilIdle(nowNanos);
    }

    private void call(Input.HttpCall call, long nowNanos) {
        boolean isPlatformCall =
                mPlatformApi.isPresent() && mPlatformApi.get().handle(call, nowNanos, mOut);
        if (!isPlatformCall) {
            mApi.handle(call, nowNanos, mOut);
        }
    }

    private void receive(HostId from, Message message, long nowNanos) {
        if (message instanceof RaftMessage raft) {
            receiveRaft(from, raft, nowNanos);
        } else if (message instanceof JobMessage job) {
            receiveJob(from, job, nowNanos);
        } else if (message instanceof FleetMessage fleet) {
            mFleet.ifPresent(coordinator -> coordinator.handle(from, fleet, nowNanos, mOut));
        } else if (message instanceof ConfigMessage.Subscribe subscribe) {
            mPublisher.handle(from, subscribe, nowNanos, mOut);
        } else if (message instanceof ConfigMessage.LeaseRequest request) {
            mLeases.handle(from, request, nowNanos, mOut);
        } else if (message instanceof ConfigMessage.LeaseRelease release) {
            mLeases.handle(from, release, nowNanos, mOut);
        } else if (message instanceof ConfigMessage config) {
            receiveFromControl(from, config, nowNanos);
        }
    }

    private void receiveRaft(HostId from, RaftMessage message, long nowNanos) {
        if (message.group() >= 0 && message.group() < mGroups.size()) {
            mGroups.get(message.group()).node().receive(from, message, nowNanos, mOut);
        }
    }

    private void receiveJob(HostId from, JobMessage message, long nowNanos) {
        if (message instanceof JobMessage.Answer answer) {
            mGateway.handle(from, answer, nowNanos, mOut);
        } else if (message.group() >= 1 && message.group() <= mJobServices.size()) {
            mJobServices.get(message.group() - 1).handle(from, message, nowNanos, mOut);
        }
    }

    /** Handles a message between control hosts, which is ignored if another host sent it. */
    private void receiveFromControl(HostId from, ConfigMessage message, long nowNanos) {
        if (!isControlHost(from)) {
            return;
        }
        if (message instanceof ConfigMessage.StatusQuery query) {
            mStatus.handle(from, query, nowNanos, mOut);
        } else if (message instanceof ConfigMessage.StatusAnswer answer) {
            mStatus.handle(from, answer, nowNanos, mOut);
        } else {
            mForwarder.handle(from, message, nowNanos, mOut);
        }
    }

    private boolean isControlHost(HostId host) {
        return mSettings.hosts().stream().anyMatch(h -> h.host().equals(host))
                || mGroups.get(0).isMember(host);
    }

    @Override
    public void tick(long nowNanos, Effects out) {
        mOut.begin(out);
        if (mJobServices.stream().noneMatch(JobService::isLeading)) {
            mBacklogs.clear();
        }
        mStatus.tick(nowNanos, mOut);
        if (mIsStopping && nowNanos - mNextHandoverNanos >= 0) {
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
            mGroups.forEach(group -> group.tick(nowNanos, mOut));
            mPublisher.tick(nowNanos, mOut);
            mLeases.tick(nowNanos, mOut);
            mForwarder.tick(nowNanos, mOut);
            mGateway.tick(nowNanos, mOut);
            mFleet.ifPresent(fleet -> fleet.tick(nowNanos, mOut));
            mJobServices.stream()
                    .filter(jobs -> jobs.nextTickNanos() <= nowNanos)
                    .forEach(jobs -> jobs.tick(nowNanos, mOut));
            boolean hasReceived = receiveFromSelf(nowNanos);
            hasMoreWork = hasReceived || mGroups.stream().anyMatch(group -> group.isDue(nowNanos));
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

    @Override
    public long nextTickNanos() {
        long next = Math.min(mNextHandoverNanos, mPublisher.nextTickNanos());
        for (RaftGroup group : mGroups) {
            next = Math.min(next, group.node().nextTickNanos());
        }
        for (JobService jobs : mJobServices) {
            next = Math.min(next, jobs.nextTickNanos());
        }
        next = Math.min(next, mLeases.nextTickNanos());
        next = Math.min(next, mForwarder.nextTickNanos());
        next = Math.min(next, mStatus.nextTickNanos());
        next = Math.min(next, mGateway.nextTickNanos());
        return mFleet.isPresent() ? Math.min(next, mFleet.get().nextTickNanos()) : next;
    }

    private void stop(long nowNanos) {
        mIsStopping = true;
        mHandoverDeadlineNanos = nowNanos + HANDOVER_TIMEOUT_NANOS;
        mApi.stop();
        mPublisher.stop(mOut);
        mPlatformApi.ifPresent(PlatformOperatorApi::stop);
        tryHandover(nowNanos);
    }

    private void tryHandover(long nowNanos) {
        boolean isLeading = false;
        for (RaftGroup group : mGroups) {
            isLeading |= group.node().transferLeadership(Set.of(), nowNanos, mOut);
        }
        boolean mayRetry = isLeading && nowNanos - mHandoverDeadlineNanos < 0;
        mNextHandoverNanos = mayRetry ? nowNanos + HANDOVER_RETRY_NANOS : NEVER;
    }

    /** Returns whether this host leads a group under a valid leader lease. */
    boolean isLeader(int group, long nowNanos) {
        return mGroups.get(group).isLeader(nowNanos);
    }

    @Override
    public boolean isDrained() {
        return mIsStopping
                && mNextHandoverNanos == NEVER
                && mForwarder.isEmpty()
                && mGateway.isDrained();
    }
}
