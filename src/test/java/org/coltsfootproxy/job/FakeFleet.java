package org.coltsfootproxy.job;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.stream.IntStream;
import org.coltsfootproxy.base.ErrorKind;
import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.base.Incarnation;
import org.coltsfootproxy.base.OrganisationId;
import org.coltsfootproxy.base.ProxyException;
import org.coltsfootproxy.base.Ran;
import org.coltsfootproxy.base.RecordCodec;
import org.coltsfootproxy.base.ServiceId;
import org.coltsfootproxy.message.JobMessage;
import org.coltsfootproxy.message.LeaseRef;
import org.coltsfootproxy.message.LeasedItem;
import org.coltsfootproxy.message.Message;
import org.coltsfootproxy.node.Effect;
import org.coltsfootproxy.node.Effects;

/**
 * Three control hosts, some agents with a fake target each, and a network that loses, duplicates
 * and reorders messages.
 */
final class FakeFleet {
    static final ServiceId SERVICE = ServiceId.of("rota-assistant");
    static final HostId ENTRY = HostId.of("entry-1");
    static final long MILLI = 1_000_000;
    static final long EPOCH = 1_000_000_000_000L;
    private static final RecordCodec<Message> CODEC = RecordCodec.of(Message.class);
    private static final int SLOTS = 2;
    private static final int MIN_COMPLETION_STEPS = 30;
    private static final int MAX_COMPLETION_STEPS = 1_500;

    final FakeLog mLog = new FakeLog();
    final Random mRandom;
    final List<Agent> mAgents = new ArrayList<>();
    final List<JobMessage.Answer> mAnswers = new ArrayList<>();
    final Observations mObservations = new Observations();
    private final JobSettings mSettings;
    private final List<JobService> mServices = new ArrayList<>();
    private final List<Envelope> mNetwork = new ArrayList<>();
    private final List<HostId> mControls = new ArrayList<>();
    long mNow = 7;
    boolean mIsReliable;

    private record Envelope(HostId from, HostId to, byte[] message) {}

    /** What the targets observed, which the ledger must agree with. */
    static final class Observations {
        /** Results that targets returned, by item body; one for each run. */
        final Map<String, List<String>> mRuns = new TreeMap<>();

        /** Number of failed runs by item body. */
        final Map<String, Integer> mFailures = new TreeMap<>();

        /** Operators' decisions to run again, by item body and fencing number. */
        final Map<String, Integer> mRunAgains = new TreeMap<>();
    }

    /** An agent, its puller and its target. */
    final class Agent implements ItemRunner {
        final HostId mId;
        private ItemPuller mPuller;
        private final Map<LeaseRef, Call> mCalls = new LinkedHashMap<>();
        boolean mIsOnlineBusy;

        private record Call(LeasedItem item, long startNanos, long endNanos, int run) {}

        Agent(HostId id) {
            mId = id;
            restart();
        }

        /**
         * Restarts with empty memory. Calls at the target continue, but their ends are not
         * reported.
         */
        void restart() {
            mCalls.clear();
            Incarnation incarnation = Incarnation.of(mRandom.nextLong());
            mPuller = ItemPuller.create(1, incarnation, SERVICE, SLOTS, mControls, this);
            updateSlots();
        }

        private void updateSlots() {
            int free = mIsOnlineBusy ? 0 : SLOTS - mCalls.size();
            mPuller.setFreeSlots(Math.max(0, free), mNow, sender(mId));
        }

        @Override
        public void run(LeasedItem item, long nowNanos, Effects out) {
            String body = text(item.body());
            List<String> runs = mObservations.mRuns.computeIfAbsent(body, b -> new ArrayList<>());
            runs.add(body + "#" + runs.size());
            long end = mNow + (100 + mRandom.nextInt(3_000)) * MILLI;
            mCalls.put(item.lease(), new Call(item, mNow, end, runs.size() - 1));
        }

        @Override
        public void stop(LeaseRef lease, long nowNanos, Effects out) {
            mCalls.remove(lease);
        }

        void setOnlineBusy(boolean isBusy) {
            mIsOnlineBusy = isBusy;
            if (isBusy) {
                List<Call> stopped =
                        mCalls.values().stream().filter(c -> c.item().repeatable()).toList();
                stopped.forEach(call -> mCalls.remove(call.item().lease()));
                stopped.forEach(
                        call ->
                                mPuller.itemEnded(
                                        ItemReports.ofStopped(call.item(), Ran.YES),
                                        mNow,
                                        sender(mId)));
            }
            updateSlots();
        }

        void tick() {
            List<Call> ended =
                    mCalls.values().stream().filter(call -> call.endNanos() <= mNow).toList();
            for (Call call : ended) {
                mCalls.remove(call.item().lease());
                end(call);
            }
            updateSlots();
            if (mPuller.nextTickNanos() <= mNow) {
                mPuller.tick(mNow, sender(mId));
            }
        }

        private void end(Call call) {
            String body = text(call.item().body());
            int chance = mIsReliable ? 0 : mRandom.nextInt(20);
            if (body.endsWith("bad") || chance >= 18) {
                mObservations.mFailures.merge(body, 1, Integer::sum);
                var report =
                        chance == 18
                                ? ItemReports.ofFailure(
                                        call.item(), ErrorKind.ANSWER_LOST, Ran.MAYBE, "cut", 50)
                                : ItemReports.ofAnswer(call.item(), 500, new byte[0], 50);
                mPuller.itemEnded(report, mNow, sender(mId));
                return;
            }
            byte[] result = (body + "#" + call.run()).getBytes(StandardCharsets.UTF_8);
            mPuller.itemEnded(
                    ItemReports.ofAnswer(
                            call.item(), 200, result, (mNow - call.startNanos()) / MILLI),
                    mNow,
                    sender(mId));
        }
    }

    FakeFleet(long seed, int agents, JobSettings settings) {
        mRandom = new Random(seed);
        mSettings = settings;
        for (int i = 1; i <= 3; i++) {
            FakeLog.Host host = mLog.addHost("control-" + i);
            mControls.add(host.id());
            mServices.add(service(host));
        }
        mLog.changeLeader(mLog.host(0), 0);
        IntStream.rangeClosed(1, agents)
                .forEach(i -> mAgents.add(new Agent(HostId.of("agent-" + i))));
    }

    static String text(byte[] bytes) {
        return new String(bytes, StandardCharsets.UTF_8);
    }

    private JobService service(FakeLog.Host host) {
        return JobService.create(
                host.id(),
                1,
                host.ledger(),
                host,
                mSettings,
                organisation -> 1,
                JobServices.atSubmission(),
                EpochClock.of(0, EPOCH));
    }

    private Effects sender(HostId from) {
        return effect -> {
            if (effect instanceof Effect.Send send) {
                mNetwork.add(new Envelope(from, send.to(), CODEC.encode(send.message())));
            }
        };
    }

    /** Restarts a control host's process from a snapshot of what it has applied. */
    void restartControl(int index) {
        FakeLog.Host host = mLog.host(index);
        if (mLog.leader().filter(leader -> leader == host).isPresent()) {
            mLog.changeLeader(null, mRandom.nextInt(4));
        }
        host.restartLedger();
        mServices.set(index, service(host));
    }

    void changeLeader() {
        int next = mRandom.nextInt(4);
        mLog.changeLeader(next == 3 ? null : mLog.host(next), mRandom.nextInt(4));
    }

    /** Sends a request to the leader, or to the first control host if there is none. */
    void ask(JobMessage.Ask ask) {
        HostId to = mLog.leader().map(FakeLog.Host::id).orElse(mControls.get(0));
        mNetwork.add(new Envelope(ENTRY, to, CODEC.encode(ask)));
    }

    void advance(long millis) {
        mNow += millis * MILLI;
        mAgents.forEach(Agent::tick);
        tickServices();
    }

    void tickServices() {
        for (int i = 0; i < mServices.size(); i++) {
            mServices.get(i).tick(mNow, sender(mControls.get(i)));
        }
    }

    boolean hasMessages() {
        return !mNetwork.isEmpty();
    }

    /**
     * Delivers the oldest message. If the network is not reliable, picks one of the four oldest; 4%
     * are lost and 1% duplicated.
     */
    void deliverOne() {
        int index = mIsReliable ? 0 : mRandom.nextInt(Math.min(4, mNetwork.size()));
        Envelope envelope = mNetwork.get(index);
        int draw = mIsReliable ? 0 : mRandom.nextInt(100);
        if (draw != 99) {
            mNetwork.remove(index);
        }
        if (draw < 95 || draw == 99) {
            deliver(envelope);
        }
    }

    private void deliver(Envelope envelope) {
        JobMessage message = decode(envelope.message());
        int control = mControls.indexOf(envelope.to());
        if (control >= 0) {
            JobService service = mServices.get(control);
            service.handle(envelope.from(), message, mNow, sender(envelope.to()));
        } else if (envelope.to().equals(ENTRY)) {
            mAnswers.add((JobMessage.Answer) message);
        } else {
            mAgents.stream()
                    .filter(agent -> agent.mId.equals(envelope.to()))
                    .forEach(
                            agent ->
                                    agent.mPuller.handle(
                                            envelope.from(), message, mNow, sender(agent.mId)));
        }
    }

    private static JobMessage decode(byte[] bytes) {
        try {
            return (JobMessage) CODEC.decode(bytes);
        } catch (ProxyException e) {
            throw new AssertionError(e);
        }
    }

    /** Drops the oldest message. */
    void dropOldest() {
        mNetwork.remove(0);
    }

    /** Duplicates the oldest message; the copy arrives after all messages in flight. */
    void duplicateOldest() {
        mNetwork.add(mNetwork.get(0));
    }

    /** Delays the oldest message until after all messages in flight. */
    void delayOldest() {
        mNetwork.add(mNetwork.remove(0));
    }

    /** Stops all faults and runs the fleet until no item is waiting or started. */
    void runToCompletion() {
        mIsReliable = true;
        if (mLog.leader().isEmpty()) {
            mLog.changeLeader(mLog.host(0), 0);
        }
        mAgents.forEach(agent -> agent.setOnlineBusy(false));
        for (int i = 0;
                i < MAX_COMPLETION_STEPS && (i < MIN_COMPLETION_STEPS || isAnyOpen());
                i++) {
            advance(1_000);
            while (hasMessages() || !mLog.isIdle()) {
                while (hasMessages()) {
                    deliverOne();
                }
                mLog.commitAll();
                tickServices();
            }
        }
    }

    private boolean isAnyOpen() {
        return ledger().jobs().anyMatch(job -> job.items().openCount() > 0);
    }

    JobLedger ledger() {
        return mLog.leader().orElseThrow().ledger();
    }

    static OrganisationId organisation(int number) {
        return OrganisationId.of("org-" + number);
    }
}
