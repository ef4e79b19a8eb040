package org.coltsfootproxy.control;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import java.util.stream.LongStream;
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
 * The control role: hosts the replicated logs of configuration and jobs, and serves subscribers,
 * holders of leases, entries and agents with jobs, and operators.
 */
public final class ControlNode implements Node {
    /** Rounds in one step; what is due after them waits for the next tick. */
    private static final int MAX_ROUNDS = 32;

    /** Longest time that a planned stop waits for another host to take over. */
    private static final long HANDOVER_NANOS = TimeUnit.SECONDS.toNanos(10);

    private static final long HANDOVER_RETRY_NANOS = TimeUnit.MILLISECONDS.toNanos(1500);

    private final ControlSettings mSettings;
    private final Random mRandom;
    private final BacklogTracker mBoard = new BacklogTracker();
    private final StepEffects mOut;
    private final ConfigStateMachine mMachine = new ConfigStateMachine();
    private final List<RaftGroup> mGroups = new ArrayList<>();
    private final List<JobService> mJobs = new ArrayList<>();
    private final ConfigPublisher mPublisher;
    private final LeaseGranter mLeases;
    private final ProposalForwarder mOrders;
    private final StatusCollector mStatus;
    private final JobGateway mGateway;
    private final OperatorApi mApi;
    private final Optional<FleetParts> mParts;
    private final Optional<FleetCoordinator> mFleet;
    private final Optional<PlatformOperatorApi> mPlatform;
    private boolean mIsStopping;
    private long mStopUntil;
    private long mNextHandover = NEVER;

    private ControlNode(
            ControlSettings settings,
            List<RecoveredState> recovered,
            EpochClock clock,
            Random random,
            Optional<FleetParts> parts) {
        mSettings = settings;
        mParts = parts;
        mRandom = random;
        mOut = new StepEffects(settings.self(), mBoard);
        RaftGroup config = new RaftGroup(0, mMachine, recovered.get(0));
        mGroups.add(config);
        IntStream.range(1, recovered.size()).forEach(g -> addJobs(g, recovered.get(g), clock));
        mPublisher = ConfigPublisher.create(mMachine.config(), config, settings.timing());
        mLeases =
                LeaseGranter.create(
                        mMachine.leases(),
                        ConfigStateMachine.leaseProposer(config),
                        config,
                        config,
                        settings.timing());
        mOrders = new ProposalForwarder(settings.self(), mGroups, random.nextLong());
        List<HostId> hosts = settings.hosts().stream().map(ControlHost::host).toList();
        mStatus =
                new StatusCollector(
                        settings.self(),
                        hosts.stream().filter(h -> !h.equals(settings.self())).toList(),
                        mGroups,
                        mMachine,
                        mPublisher,
                        mBoard,
                        random.nextLong());
        mGateway =
                JobGateway.create(
                        hosts, Math.max(1, settings.jobGroups()), random.nextLong(), clock);
        mApi =
                new OperatorApi(
                        settings.operatorKeyDigest(),
                        config,
                        mMachine,
                        mOrders,
                        new MemberChangeHandler(mOrders, settings.groups()),
                        mStatus,
                        mGateway);
        mFleet =
                parts.map(
                        fleet ->
                                new FleetCoordinator(
                                        settings,
                                        fleet,
                                        config,
                                        mMachine.fleet(),
                                        new Random(random.nextLong())));
        mPlatform =
                parts.map(FleetParts::operators)
                        .map(
                                p ->
                                        new PlatformOperatorApi(
                                                p, mFleet.get(), config, mMachine, mOrders));
    }

    private void addJobs(int number, RecoveredState recovered, EpochClock clock) {
        JobLedger ledger = JobLedger.create();
        RaftGroup group = new RaftGroup(number, ledger, recovered);
        mGroups.add(group);
        mJobs.add(
                JobService.create(
                        mSettings.self(),
                        number,
                        ledger,
                        group,
                        mSettings.jobs(),
                        this::weight,
                        clock));
    }

    private double weight(OrganisationId id) {
        return mMachine.config().view().organisation(id).map(Organisation::weight).orElse(1.0);
    }

    /**
     * Returns a control host in the state that its stores hold.
     *
     * @param recovered what was found in the store of each group, {@link ControlSettings#groups} of
     *     them in the order of their numbers
     * @param clock turns the times that the node is handed into wall-clock times
     */
    public static ControlNode create(
            ControlSettings settings,
            List<RecoveredState> recovered,
            EpochClock clock,
            Random random) {
        return create(settings, recovered, clock, random, Optional.empty());
    }

    /**
     * Returns a control host.
     *
     * @param parts what it needs if the hosts of the fleet find each other by seeds
     */
    public static ControlNode create(
            ControlSettings settings,
            List<RecoveredState> recovered,
            EpochClock clock,
            Random random,
            Optional<FleetParts> parts) {
        checkArgument(
                recovered.size() == settings.groups(),
                "%s stores for %s groups",
                recovered.size(),
                settings.groups());
        checkNotNull(clock, "clock is missing");
        checkArgument(
                parts.isPresent()
                        || settings.hosts().stream()
                                .anyMatch(h -> h.host().equals(settings.self())),
                "%s is not among the control hosts",
                settings.self());
        return new ControlNode(settings, recovered, clock, random, parts);
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
        mGroups.forEach(group -> group.start(raft, self, mRandom, nowNanos));
        mPublisher.start(nowNanos);
        mLeases.start(nowNanos);
        mFleet.ifPresent(fleet -> fleet.start(nowNanos, mOut));
        settle(nowNanos);
    }

    private RaftSettings raftSettings(List<HostId> hosts) {
        RaftSettings fixed = RaftSettings.of(hosts).withAutoReplace(mSettings.autoReplace());
        return mParts.map(
                        parts ->
                                RaftSettings.of(parts.seeds())
                                        .withGrowth(parts.mayFound(), parts.voters()))
                .orElse(fixed);
    }

    @Override
    public void handle(Input input, long nowNanos, Effects out) {
        mOut.begin(out);
        if (input instanceof Input.FromPeer peer) {
            receive(peer.from(), peer.message(), nowNanos);
        } else if (input instanceof Input.HttpCall call) {
            call(call, nowNanos);
        } else if (input instanceof Input.HttpGone gone) {
            mGateway.gone(gone.call(), mOut);
        } else if (input instanceof Input.Persisted persisted) {
            mGroups.get(persisted.group()).handle(persisted, nowNanos, mOut);
        } else if (input instanceof Input.PersistFailed failed) {
            mGroups.get(failed.group()).handle(failed, nowNanos, mOut);
        } else if (input instanceof Input.PeerUp up) {
            mFleet.ifPresent(fleet -> fleet.peerUp(up.host(), mOut));
        } else if (input instanceof Input.PeerLost lost) {
            mPublisher.peerLost(lost.host());
            mOrders.peerLost(lost.host(), nowNanos);
        } else if (input instanceof Input.ClockJumped jumped) {
            mOut.log(EventCode.CLOCK_JUMPED, "by " + jumped.nanos() + " ns");
            mGroups.forEach(group -> group.node().distrustClock(nowNanos));
        } else if (input instanceof Input.PlannedStop && !mIsStopping) {
            stop(nowNanos);
        } else {
            mFleet.ifPresent(fleet -> fleet.handle(input, nowNanos, mOut));
        }
        settle(nowNanos);
    }

    private void call(Input.HttpCall call, long nowNanos) {
        boolean isPlatform = mPlatform.isPresent() && mPlatform.get().handle(call, nowNanos, mOut);
        if (!isPlatform) {
            mApi.handle(call, nowNanos, mOut);
        }
    }

    private void receive(HostId from, Message message, long nowNanos) {
        if (message instanceof RaftMessage raft) {
            receiveRaft(from, raft, nowNanos);
        } else if (message instanceof JobMessage job) {
            receiveJob(from, job, nowNanos);
        } else if (message instanceof FleetMessage fleet) {
            mFleet.ifPresent(duties -> duties.handle(from, fleet, nowNanos, mOut));
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
        } else if (message.group() >= 1 && message.group() <= mJobs.size()) {
            mJobs.get(message.group() - 1).handle(from, message, nowNanos, mOut);
        }
    }

    /** ProposalForwarder and questions between control hosts count only if they come from one. */
    private void receiveFromControl(HostId from, ConfigMessage message, long nowNanos) {
        if (!isControlHost(from)) {
            return;
        }
        if (message instanceof ConfigMessage.StatusAsk ask) {
            mStatus.handle(from, ask, nowNanos, mOut);
        } else if (message instanceof ConfigMessage.StatusAnswer answer) {
            mStatus.handle(from, answer, nowNanos, mOut);
        } else {
            mOrders.handle(from, message, nowNanos, mOut);
        }
    }

    private boolean isControlHost(HostId host) {
        return mSettings.hosts().stream().anyMatch(h -> h.host().equals(host))
                || mGroups.get(0).isMember(host);
    }

    @Override
    public void tick(long nowNanos, Effects out) {
        mOut.begin(out);
        if (mJobs.stream().noneMatch(JobService::isLeading)) {
            mBoard.clear();
        }
        mStatus.tick(nowNanos, mOut);
        if (mIsStopping && nowNanos - mNextHandover >= 0) {
            handOver(nowNanos);
        }
        settle(nowNanos);
    }

    /** Lets every part act on what the others did, until nothing is left to do in this step. */
    private void settle(long nowNanos) {
        boolean isBusy = true;
        for (int round = 0; round < MAX_ROUNDS && isBusy; round++) {
            mGroups.forEach(group -> group.tick(nowNanos, mOut));
            mPublisher.tick(nowNanos, mOut);
            mLeases.tick(nowNanos, mOut);
            mOrders.tick(nowNanos, mOut);
            mGateway.tick(nowNanos, mOut);
            mFleet.ifPresent(fleet -> fleet.tick(nowNanos, mOut));
            mJobs.stream()
                    .filter(jobs -> jobs.nextTickNanos() <= nowNanos)
                    .forEach(jobs -> jobs.tick(nowNanos, mOut));
            boolean hasHeard = receiveFromSelf(nowNanos);
            isBusy = hasHeard || mGroups.stream().anyMatch(group -> group.isDue(nowNanos));
        }
    }

    private boolean receiveFromSelf(long nowNanos) {
        Message message = mOut.pollToSelf();
        boolean isBusy = message != null;
        while (message != null) {
            receive(mSettings.self(), message, nowNanos);
            message = mOut.pollToSelf();
        }
        return isBusy;
    }

    @Override
    public long nextTickNanos() {
        LongStream groups = mGroups.stream().mapToLong(group -> group.node().nextTickNanos());
        LongStream jobs = mJobs.stream().mapToLong(JobService::nextTickNanos);
        LongStream others =
                LongStream.of(
                        mPublisher.nextTickNanos(),
                        mLeases.nextTickNanos(),
                        mOrders.nextTickNanos(),
                        mStatus.nextTickNanos(),
                        mGateway.nextTickNanos(),
                        mFleet.map(FleetCoordinator::nextTickNanos).orElse(NEVER),
                        mNextHandover);
        return LongStream.concat(LongStream.concat(groups, jobs), others).min().orElse(NEVER);
    }

    private void stop(long nowNanos) {
        mIsStopping = true;
        mStopUntil = nowNanos + HANDOVER_NANOS;
        mApi.stop();
        mPublisher.stop(mOut);
        mPlatform.ifPresent(PlatformOperatorApi::stop);
        handOver(nowNanos);
    }

    private void handOver(long nowNanos) {
        boolean isLeading = false;
        for (RaftGroup group : mGroups) {
            isLeading |= group.node().transferLeadership(nowNanos, mOut);
        }
        boolean mayRetry = isLeading && nowNanos - mStopUntil < 0;
        mNextHandover = mayRetry ? nowNanos + HANDOVER_RETRY_NANOS : NEVER;
    }

    /** Tells whether this host leads a group and no other can. */
    boolean isLeader(int group, long nowNanos) {
        return mGroups.get(group).isLeader(nowNanos);
    }

    @Override
    public boolean isDrained() {
        return mIsStopping && mNextHandover == NEVER && mOrders.isEmpty() && mGateway.isDrained();
    }
}
