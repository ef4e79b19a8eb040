package org.coltsfootproxy.consensus;

import static org.testng.Assert.assertTrue;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.BiPredicate;
import java.util.function.Predicate;
import java.util.stream.IntStream;
import org.coltsfootproxy.base.ErrorKind;
import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.base.ProxyException;
import org.coltsfootproxy.base.RecordCodec;
import org.coltsfootproxy.message.Message;
import org.coltsfootproxy.message.RaftMessage;
import org.coltsfootproxy.node.Effect;

/** A simulated group in virtual time, with a network and disks that fail on demand. */
final class TestCluster {
    private static final long NETWORK_NANOS = Duration.ofNanos(1_500_000).toNanos();
    private static final long DISK_NANOS = Duration.ofMillis(2).toNanos();
    private static final long RESTART_NANOS = Duration.ofSeconds(2).toNanos();
    private static final RecordCodec<Message> CODEC = RecordCodec.of(Message.class);

    /** Most events at one virtual time; more means that a node asks for endless ticks. */
    private static final int MAX_EVENTS_AT_SAME_TIME = 100_000;

    private record Event(long timeNanos, long order, Runnable action) {}

    private record Link(HostId from, HostId to) {}

    private final SplittableRandom mRandom;
    private final RaftSettings mSettings;
    private final Oracle mOracle = new Oracle();
    private final List<TestHost> mHosts = new ArrayList<>();
    private final Set<Link> mCutLinks = new HashSet<>();
    private final PriorityQueue<Event> mEvents =
            new PriorityQueue<>(
                    Comparator.comparingLong(Event::timeNanos).thenComparingLong(Event::order));
    private Predicate<RaftMessage> mDropFilter = message -> false;
    private BiPredicate<TestHost, Effect> mObserver = (host, effect) -> false;
    private double mLossRate;
    private double mDuplicateRate;
    private long mJitterNanos = NETWORK_NANOS;
    private long mTimeNanos = Duration.ofHours(1).toNanos();
    private long mOrder;
    private int mEventsAtSameTime;
    private long mMemberChangeNanos;
    private int mConfirmedReads;
    private int mCommands;
    private long mMessages;
    private long mBytes;

    TestCluster(long seed, int size, RaftSettings settings) {
        mRandom = new SplittableRandom(seed);
        mSettings = settings;
        double drift = settings.maxClockDrift();
        hostNames(size).forEach(id -> mHosts.add(new TestHost(id, clockRate(drift))));
        mHosts.forEach(this::start);
    }

    static List<HostId> hostNames(int size) {
        return IntStream.range(0, size).mapToObj(i -> HostId.of("control-" + i)).toList();
    }

    private double clockRate(double drift) {
        return 1 + drift * (mRandom.nextInt(3) - 1);
    }

    SplittableRandom random() {
        return mRandom;
    }

    Oracle oracle() {
        return mOracle;
    }

    List<TestHost> hosts() {
        return mHosts;
    }

    TestHost host(int number) {
        return mHosts.get(number);
    }

    long timeNanos() {
        return mTimeNanos;
    }

    /** Returns the number of confirmed reads. */
    int confirmedReads() {
        return mConfirmedReads;
    }

    /** Returns the time since a member change was last requested. */
    long nanosSinceMemberChange() {
        return mTimeNanos - mMemberChangeNanos;
    }

    long messages() {
        return mMessages;
    }

    long bytes() {
        return mBytes;
    }

    void setNetwork(double lossRate, double duplicateRate, long jitterNanos) {
        mLossRate = lossRate;
        mDuplicateRate = duplicateRate;
        mJitterNanos = jitterNanos;
    }

    /** Drops the messages that satisfy a predicate. */
    void setDropped(Predicate<RaftMessage> dropped) {
        mDropFilter = dropped;
    }

    /** Passes every effect to an observer; drops the effects for which it returns true. */
    void setObserver(BiPredicate<TestHost, Effect> observer) {
        mObserver = observer;
    }

    void cut(int from, int to) {
        mCutLinks.add(new Link(host(from).id(), host(to).id()));
    }

    void isolate(int number) {
        IntStream.range(0, mHosts.size())
                .filter(other -> other != number)
                .forEach(
                        other -> {
                            cut(number, other);
                            cut(other, number);
                        });
    }

    void heal() {
        mCutLinks.clear();
    }

    /** Adds and starts a host that is not among the founders of the group. */
    TestHost addHost(String name) {
        TestHost host = new TestHost(HostId.of(name), 1);
        mHosts.add(host);
        start(host);
        return host;
    }

    void start(TestHost host) {
        try {
            host.start(mSettings, mOracle, mRandom, mTimeNanos);
        } catch (ProxyException e) {
            throw new AssertionError("host " + host.id() + " does not start", e);
        }
        tickLater(host, mTimeNanos);
    }

    void crash(TestHost host) {
        host.crash(mRandom);
    }

    /** Delivers the message of an effect after a delay. */
    void sendLater(TestHost host, Effect effect, Duration delay) {
        Effect.Send send = (Effect.Send) effect;
        byte[] bytes = CODEC.encode(send.message());
        schedule(mTimeNanos + delay.toNanos(), () -> deliver(host.id(), send.to(), bytes));
    }

    /** Crashes a host after a delay, and starts it again two seconds later. */
    void restartLater(TestHost host, Duration delay) {
        crashLater(host, delay, () -> {});
    }

    /** Crashes a host now, and starts it again two seconds later with an empty disk. */
    void replaceDiskLater(TestHost host) {
        crashLater(host, Duration.ZERO, host::loseDisk);
    }

    private void crashLater(TestHost host, Duration delay, Runnable whileDown) {
        long crashNanos = mTimeNanos + delay.toNanos();
        schedule(
                crashNanos,
                () -> {
                    if (host.isUp()) {
                        crash(host);
                        whileDown.run();
                        schedule(crashNanos + RESTART_NANOS, () -> startIfDown(host));
                    }
                });
    }

    private void startIfDown(TestHost host) {
        host.disk().setFreeBytes(Long.MAX_VALUE);
        if (!host.isUp()) {
            start(host);
        }
    }

    /** Restores all links and disk space after a delay. */
    void healLater(Duration delay) {
        schedule(
                mTimeNanos + delay.toNanos(),
                () -> {
                    heal();
                    mHosts.forEach(host -> host.disk().setFreeBytes(Long.MAX_VALUE));
                });
    }

    /** Makes a leader transfer its leadership. */
    void transferLeadership(TestHost host) {
        host.node()
                .transferLeadership(
                        Set.of(), host.clock(mTimeNanos), effect -> execute(host, effect));
        tickLater(host, mTimeNanos);
    }

    /** Waits until the current incarnation of every host is a voter; adds missing hosts. */
    boolean awaitAllVoters(Duration limit) {
        long end = mTimeNanos + limit.toNanos();
        boolean all = false;
        while (!all && mTimeNanos < end) {
            leader().ifPresent(this::addMissing);
            all = runUntil(Duration.ofSeconds(2), this::areAllVoters);
        }
        return all;
    }

    private boolean areAllVoters() {
        Optional<TestHost> leader = leader();
        return leader.isPresent()
                && mHosts.stream()
                        .allMatch(
                                host ->
                                        host.isUp()
                                                && status(leader.get())
                                                        .members()
                                                        .isVoter(host.member()));
    }

    /** Proposes a new command at a host; the oracle receives the outcome. */
    void propose(TestHost host) {
        propose(host, "command-" + mCommands++);
    }

    /** Proposes a new command of at least {@code bytes} bytes. */
    void propose(TestHost host, int bytes) {
        propose(host, "command-" + mCommands++ + "-" + "x".repeat(bytes));
    }

    private void propose(TestHost host, String command) {
        int crashCount = host.crashCount();
        host.node()
                .propose(
                        command.getBytes(StandardCharsets.UTF_8),
                        new Proposer.Completion() {
                            @Override
                            public void committed(long index, byte[] result) {
                                assertTrue(
                                        crashCount == host.crashCount(),
                                        "acknowledged after a crash");
                                mOracle.acknowledged(index, command);
                            }

                            @Override
                            public void failed(ErrorKind kind) {
                                if (kind != ErrorKind.COMMIT_UNKNOWN) {
                                    mOracle.refused(command);
                                }
                            }
                        });
        tickLater(host, mTimeNanos);
    }

    /** Reads at a host, and checks that a confirmed read sees everything acknowledged before. */
    void read(TestHost host) {
        long acknowledged = mOracle.lastAcknowledged();
        host.node()
                .confirmRead(
                        new Proposer.Completion() {
                            @Override
                            public void committed(long index, byte[] result) {
                                long seen = host.machine().index();
                                assertTrue(seen >= acknowledged, "read saw only index " + seen);
                                mConfirmedReads++;
                            }

                            @Override
                            public void failed(ErrorKind kind) {
                                // Nothing is checked for a read that was not confirmed.
                            }
                        });
        tickLater(host, mTimeNanos);
    }

    /** Requests a member change; callers check the result in the member list. */
    void changeMembers(TestHost leader, MemberChange change) {
        mMemberChangeNanos = mTimeNanos;
        leader.node()
                .proposeMembers(
                        change,
                        new Proposer.Completion() {
                            @Override
                            public void committed(long index, byte[] result) {
                                assertTrue(index > 0, "no index");
                            }

                            @Override
                            public void failed(ErrorKind kind) {
                                // The caller checks the member list.
                            }
                        });
    }

    private void schedule(long timeNanos, Runnable action) {
        mEvents.add(new Event(timeNanos, mOrder++, action));
    }

    /** Schedules a tick of the host, unless an earlier one is planned. */
    private void tickLater(TestHost host, long timeNanos) {
        int crashCount = host.crashCount();
        if (host.planTick(timeNanos)) {
            schedule(
                    timeNanos,
                    () -> {
                        if (host.crashCount() == crashCount && host.takePlannedTick(timeNanos)) {
                            tick(host);
                        }
                    });
        }
    }

    private void tick(TestHost host) {
        if (host.node().nextTickNanos() <= host.clock(mTimeNanos)) {
            host.node().tick(host.clock(mTimeNanos), effect -> execute(host, effect));
        }
        afterStep(host);
    }

    private void afterStep(TestHost host) {
        checkLeases();
        long next = host.node().nextTickNanos();
        if (next != Long.MAX_VALUE) {
            long wait = Math.max(0, next - host.clock(mTimeNanos));
            tickLater(host, mTimeNanos + host.duration(wait));
        }
    }

    /**
     * Checks that at most one host has a valid lease, and that it has applied everything
     * acknowledged.
     */
    private void checkLeases() {
        List<TestHost> leaseHolders =
                mHosts.stream()
                        .filter(TestHost::isUp)
                        .filter(host -> host.node().isLeader(host.clock(mTimeNanos)))
                        .toList();
        assertTrue(
                leaseHolders.size() <= 1, leaseHolders.size() + " valid leases at " + mTimeNanos);
        leaseHolders.forEach(
                host ->
                        assertTrue(
                                host.machine().index() >= mOracle.lastAcknowledged(),
                                "a leader with a valid lease lacks acknowledged commands"));
    }

    /** Executes an effect; also called by tests that drive a node directly. */
    void execute(TestHost host, Effect effect) {
        if (!host.isUp() || mObserver.test(host, effect)) {
            return;
        }
        if (effect instanceof Effect.Send send) {
            assertTrue(host.hasSynced(send), host.id() + " has not synced " + send);
            transmit(host.id(), send);
        } else if (effect instanceof Effect.Persist persist && host.write(persist)) {
            flushLater(host);
        }
    }

    private void flushLater(TestHost host) {
        int crashCount = host.crashCount();
        schedule(
                mTimeNanos + 1 + mRandom.nextLong(2 * DISK_NANOS),
                () -> {
                    if (host.isUp() && host.crashCount() == crashCount) {
                        host.flush(mTimeNanos, effect -> execute(host, effect));
                        afterStep(host);
                    }
                });
    }

    private void transmit(HostId from, Effect.Send send) {
        byte[] bytes = CODEC.encode(send.message());
        mMessages++;
        mBytes += bytes.length;
        boolean lost =
                mCutLinks.contains(new Link(from, send.to()))
                        || mDropFilter.test((RaftMessage) send.message())
                        || mRandom.nextDouble() < mLossRate;
        if (!lost) {
            deliverLater(from, send.to(), bytes);
        }
        if (!lost && mRandom.nextDouble() < mDuplicateRate) {
            deliverLater(from, send.to(), bytes);
        }
    }

    private void deliverLater(HostId from, HostId to, byte[] bytes) {
        long delay = NETWORK_NANOS + mRandom.nextLong(mJitterNanos);
        schedule(mTimeNanos + delay, () -> deliver(from, to, bytes));
    }

    private void deliver(HostId from, HostId to, byte[] bytes) {
        Optional<TestHost> host = mHosts.stream().filter(h -> h.id().equals(to)).findFirst();
        if (host.isEmpty() || !host.get().isUp() || mCutLinks.contains(new Link(from, to))) {
            return;
        }
        TestHost receiver = host.get();
        try {
            RaftMessage message = (RaftMessage) CODEC.decode(bytes);
            receiver.node()
                    .receive(
                            from,
                            message,
                            receiver.clock(mTimeNanos),
                            effect -> execute(receiver, effect));
        } catch (ProxyException e) {
            throw new AssertionError(e);
        }
        afterStep(receiver);
    }

    /** Advances virtual time. */
    void run(Duration duration) {
        runUntil(duration, () -> false);
    }

    /** Advances virtual time until a condition holds; returns whether it holds. */
    boolean runUntil(Duration limit, java.util.function.BooleanSupplier condition) {
        long end = mTimeNanos + limit.toNanos();
        while (!condition.getAsBoolean()) {
            Event next = mEvents.peek();
            if (next == null || next.timeNanos() > end) {
                mTimeNanos = end;
                return condition.getAsBoolean();
            }
            mEvents.poll();
            mEventsAtSameTime = next.timeNanos() > mTimeNanos ? 0 : mEventsAtSameTime + 1;
            assertTrue(
                    mEventsAtSameTime < MAX_EVENTS_AT_SAME_TIME,
                    "too many events without progress of time");
            mTimeNanos = Math.max(mTimeNanos, next.timeNanos());
            next.action().run();
        }
        return true;
    }

    /** Returns the leader with a valid lease. */
    Optional<TestHost> leader() {
        return mHosts.stream()
                .filter(TestHost::isUp)
                .filter(host -> host.node().isLeader(host.clock(mTimeNanos)))
                .findFirst();
    }

    RaftStatus status(TestHost host) {
        return host.node().status(host.clock(mTimeNanos));
    }

    /** Waits for a leader with a valid lease. */
    TestHost awaitLeader() {
        boolean found = runUntil(Duration.ofSeconds(30), () -> leader().isPresent());
        assertTrue(found, "no leader elected: " + mHosts.stream().map(this::status).toList());
        return leader().orElseThrow();
    }

    /** Proposes commands at the current leader until one is acknowledged. */
    void commitOne() {
        int before = mOracle.acknowledgedCount();
        for (int i = 0; i < 20 && mOracle.acknowledgedCount() == before; i++) {
            propose(awaitLeader());
            runUntil(Duration.ofSeconds(2), () -> mOracle.acknowledgedCount() > before);
        }
        assertTrue(mOracle.acknowledgedCount() > before, "no command commits");
    }

    /** Ends all faults, waits until all members agree and has the oracle check the history. */
    void recoverAndVerify() {
        heal();
        setNetwork(0, 0, NETWORK_NANOS);
        setDropped(message -> false);
        mHosts.forEach(host -> host.disk().setFreeBytes(Long.MAX_VALUE));
        mHosts.stream().filter(host -> !host.isUp()).forEach(this::start);
        commitOne();
        boolean agreed =
                awaitAllVoters(Duration.ofSeconds(100))
                        && runUntil(Duration.ofSeconds(30), this::haveAllApplied);
        assertTrue(agreed, mHosts.stream().map(this::status).toList().toString());
        mOracle.verify(mHosts.stream().mapToLong(h -> h.machine().index()).min().orElseThrow());
    }

    private void addMissing(TestHost leader) {
        Members members = status(leader).members();
        mHosts.stream()
                .filter(host -> members.all().noneMatch(m -> m.host().equals(host.id())))
                .forEach(host -> changeMembers(leader, new MemberChange.Add(host.id())));
    }

    private boolean haveAllApplied() {
        long index = leader().map(host -> host.node().appliedIndex()).orElse(Long.MAX_VALUE);
        return mHosts.stream().allMatch(host -> host.node().appliedIndex() >= index);
    }
}
