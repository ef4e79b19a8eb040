package org.coltsfootproxy.entry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.coltsfootproxy.base.DataCentre;
import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.node.Effect;
import org.coltsfootproxy.node.HostEntry;
import org.coltsfootproxy.node.Input;
import org.coltsfootproxy.node.VirtualFleet;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests the guarantees of an online request under message loss, duplication and delay, partitions
 * and agent crashes: one fault at each message, and several faults over several requests.
 */
public final class OnlineFaultsTest {
    private static final long LINK_DELAY_NANOS = 1_500_000;
    private static final long LATE_DELIVERY_NANOS = TimeUnit.SECONDS.toNanos(8);

    /**
     * Longer than a request's timeout of 20 s plus the deadline grace, and than a late delivery.
     */
    private static final long DRAIN_NANOS = TimeUnit.SECONDS.toNanos(25);

    private static final long PARTITION_NANOS = TimeUnit.SECONDS.toNanos(4);

    /** Messages of a request without faults: forward, acknowledgement, head, chunks and end. */
    private static final int MESSAGES_PER_REQUEST = 4 + OnlineHarness.CHUNKS;

    enum Fault {
        NONE,
        LOSE,
        DOUBLE,
        LATE,
        LATE_DOUBLE,
        CUT_FOR_GOOD,
        CUT_AND_HEAL,
        CRASH_AGENT,
        RESTART_AGENT
    }

    /** Injects faults at numbered messages between the entry and agents. */
    private static final class FaultyLink implements VirtualFleet.Link {
        private final OnlineHarness mHarness;
        private final List<Integer> mSteps;
        private final List<Fault> mFaults;
        private int mMessagesSeen;

        FaultyLink(OnlineHarness harness, List<Integer> steps, List<Fault> faults) {
            mHarness = harness;
            mSteps = steps;
            mFaults = faults;
        }

        @Override
        public List<Long> deliveries(HostId from, Effect.Send send, long now) {
            if (!OnlineHarness.isAboutRequest(send.message())) {
                return List.of(LINK_DELAY_NANOS);
            }
            int at = mSteps.indexOf(mMessagesSeen++);
            return at < 0 ? List.of(LINK_DELAY_NANOS) : inject(mFaults.get(at), from, send.to());
        }

        private List<Long> inject(Fault fault, HostId from, HostId to) {
            HostId agent = from.equals(OnlineHarness.ENTRY) ? to : from;
            VirtualFleet fleet = mHarness.fleet();
            switch (fault) {
                case LOSE -> {
                    return List.of();
                }
                case DOUBLE -> {
                    return List.of(LINK_DELAY_NANOS, LINK_DELAY_NANOS + 1);
                }
                case LATE -> {
                    return List.of(LATE_DELIVERY_NANOS);
                }
                case LATE_DOUBLE -> {
                    return List.of(LINK_DELAY_NANOS, LATE_DELIVERY_NANOS);
                }
                case CUT_FOR_GOOD -> fleet.partition(from, to);
                case CUT_AND_HEAL -> {
                    fleet.partition(from, to);
                    fleet.after(PARTITION_NANOS, () -> fleet.heal(from, to));
                }
                case CRASH_AGENT -> fleet.after(0, () -> fleet.crash(agent));
                case RESTART_AGENT ->
                        fleet.after(
                                0,
                                () -> {
                                    fleet.crash(agent);
                                    mHarness.startAgent(agent);
                                });
                default -> {
                    // NONE
                }
            }
            return List.of(LINK_DELAY_NANOS);
        }
    }

    @DataProvider
    Object[][] everyFaultAtEveryStep() {
        List<Object[]> cases = new ArrayList<>();
        for (Fault fault : Fault.values()) {
            for (int step = 0; step < MESSAGES_PER_REQUEST; step++) {
                cases.add(new Object[] {fault, step, "GET"});
                cases.add(new Object[] {fault, step, "POST"});
            }
        }
        return cases.toArray(Object[][]::new);
    }

    @Test(dataProvider = "everyFaultAtEveryStep")
    public void guaranteesHoldUnderEveryFaultAtEveryMessage(Fault fault, int step, String method) {
        OnlineHarness harness = new OnlineHarness(step);
        harness.fleet().setLink(new FaultyLink(harness, List.of(step), List.of(fault)));

        long call = harness.call(method, "/rota/chairs", OnlineHarness.KEY);
        harness.fleet().run(DRAIN_NANOS);

        checkGuarantees(harness, call, method);
        boolean isBeforeAnswer = step < 2;
        if (method.equals("GET") && (isBeforeAnswer || !losesAnswer(fault))) {
            assertTrue(harness.answer(call).isComplete(), harness.answer(call).body());
            assertEquals(harness.answer(call).status(), 200, harness.answer(call).body());
        }
    }

    /**
     * Returns whether a fault may lose an agent's answer, so that an answer already begun is cut.
     */
    private static boolean losesAnswer(Fault fault) {
        return fault == Fault.CRASH_AGENT
                || fault == Fault.RESTART_AGENT
                || fault == Fault.CUT_FOR_GOOD
                || fault == Fault.CUT_AND_HEAL;
    }

    private static void checkGuarantees(OnlineHarness harness, long call, String method) {
        OnlineHarness.Answer answer = harness.answer(call);
        assertEquals(answer.endCount(), 1, "ends of the answer to the caller");
        assertTrue(answer.headCount() <= 1, "heads of the answer to the caller");
        if (method.equals("POST")) {
            assertTrue(harness.runs(call) <= 1, "runs of a request that is not repeatable");
        }
        if (answer.isComplete() && answer.status() == 200) {
            assertEquals(answer.body(), OnlineHarness.expectedBody(call));
        }
        if (answer.saysNotRun()) {
            assertEquals(
                    harness.runs(call),
                    0,
                    "runs of a request whose answer says that it has not run");
        }
        if (answer.isComplete() && answer.status() != 200) {
            assertTrue(answer.body().contains("\"ran\":"), answer.body());
        }
    }

    @DataProvider
    Object[][] seeds() {
        return IntStream.range(0, 300).mapToObj(i -> new Object[] {i}).toArray(Object[][]::new);
    }

    @Test(dataProvider = "seeds")
    public void guaranteesHoldUnderSeveralFaultsAndRequests(int seed) {
        Random random = new Random(seed);
        OnlineHarness harness = new OnlineHarness(seed);
        int faults = 2 + random.nextInt(4);
        List<Integer> steps =
                random.ints(faults, 0, 5 * MESSAGES_PER_REQUEST).distinct().boxed().toList();
        List<Fault> injected =
                steps.stream()
                        .map(s -> Fault.values()[random.nextInt(Fault.values().length)])
                        .toList();
        harness.fleet().setLink(new FaultyLink(harness, steps, injected));
        List<Long> calls = new ArrayList<>();
        List<String> methods = new ArrayList<>();
        for (int i = 0; i < 5; i++) {
            String method = random.nextBoolean() ? "GET" : "POST";
            methods.add(method);
            calls.add(harness.call(method, "/rota/chairs", OnlineHarness.KEY));
            harness.fleet().run(random.nextInt(40) * 1_000_000L);
        }
        harness.fleet().run(DRAIN_NANOS);

        IntStream.range(0, 5).forEach(i -> checkGuarantees(harness, calls.get(i), methods.get(i)));
    }

    @Test
    public void aCallersKeyIsNeverForwardedToATarget() {
        OnlineHarness harness = new OnlineHarness(1);

        harness.call("GET", "/rota/chairs", OnlineHarness.KEY);
        harness.call("GET", "/tides", OnlineHarness.KEY);
        harness.fleet().run(DRAIN_NANOS);

        assertFalse(harness.targetHeaders().isEmpty());
        assertTrue(
                harness.targetHeaders().stream()
                        .noneMatch(header -> header.value().contains(OnlineHarness.KEY)));
    }

    @Test
    public void aWithdrawnKeyIsRefusedWithinSecondsAndOpenRoutesStayAvailable() {
        OnlineHarness harness = new OnlineHarness(1);
        harness.applyTicket("ticket: 2\nremove:\n  keys: [solway-1]\n");
        harness.fleet().run(TimeUnit.SECONDS.toNanos(4));

        long keyed = harness.call("GET", "/rota/chairs", OnlineHarness.KEY);
        long open = harness.call("GET", "/tides", "");
        harness.fleet().run(DRAIN_NANOS);

        assertEquals(harness.answer(keyed).status(), 401);
        assertEquals(harness.runs(keyed), 0);
        assertEquals(harness.answer(open).status(), 200);
    }

    @Test
    public void anEntryPartitionedFromControlRefusesKeysButServesOpenRoutes() {
        OnlineHarness harness = new OnlineHarness(1);
        harness.fleet().partition(OnlineHarness.ENTRY, OnlineHarness.CONTROL);
        harness.fleet().run(TimeUnit.SECONDS.toNanos(5));

        long keyed = harness.call("GET", "/rota/chairs", OnlineHarness.KEY);
        long open = harness.call("GET", "/tides", "");
        harness.fleet().run(DRAIN_NANOS);

        assertEquals(harness.answer(keyed).status(), 503);
        assertTrue(harness.answer(keyed).saysNotRun());
        assertEquals(harness.runs(keyed), 0);
        assertEquals(harness.answer(open).status(), 200);
    }

    /** Guards against requests that are passed on late in a stop and cut at its end. */
    @Test
    public void aStoppingEntryTakesOnlyRequestsWhoseTimeLimitEndsBeforeIt() {
        for (int millis = 0; millis <= 6_000; millis += 250) {
            OnlineHarness harness = new OnlineHarness(millis);
            harness.fleet().deliver(OnlineHarness.ENTRY, new Input.PlannedStop());
            harness.fleet().run(TimeUnit.MILLISECONDS.toNanos(millis));
            long call = harness.call("POST", "/rota/chairs", OnlineHarness.KEY);
            harness.fleet().run(DRAIN_NANOS);

            // The route's time limit is 20 s of the 22 s, less the time to write answers.
            boolean isTaken = millis <= 1_750;
            assertEquals(harness.answer(call).status(), isTaken ? 200 : 503, "after " + millis);
            assertEquals(harness.runs(call), isTaken ? 1 : 0, "after " + millis);
        }
    }

    @Test
    public void aStoppingAgentFinishesRunningRequestsAndGetsNoNewOnes() {
        OnlineHarness harness = new OnlineHarness(1);
        long running = harness.call("POST", "/rota/chairs", OnlineHarness.KEY);
        harness.fleet().run(10_000_000);
        OnlineHarness.AGENTS.stream()
                .limit(1)
                .forEach(a -> harness.fleet().deliver(a, new Input.PlannedStop()));
        List<Long> later =
                IntStream.range(0, 20)
                        .mapToObj(i -> harness.call("POST", "/rota/chairs", OnlineHarness.KEY))
                        .toList();
        harness.fleet().run(DRAIN_NANOS);

        assertEquals(harness.answer(running).status(), 200);
        later.forEach(call -> assertEquals(harness.answer(call).status(), 200));
        later.forEach(call -> assertEquals(harness.runs(call), 1));
    }

    @Test
    public void aHostListedAsLeavingFinishesRunningRequestsAndGetsNoNewOnes() {
        OnlineHarness harness = new OnlineHarness(1);
        HostId leaving = OnlineHarness.AGENTS.get(0);
        List<Long> before =
                IntStream.range(0, 4)
                        .mapToObj(i -> harness.call("POST", "/rota/chairs", OnlineHarness.KEY))
                        .toList();
        harness.fleet().run(10_000_000);
        HostEntry entry =
                new HostEntry(
                        leaving,
                        DataCentre.of("solway"),
                        HostEntry.State.LEAVING,
                        "127.0.0.1:7001");
        harness.fleet().deliver(OnlineHarness.ENTRY, new Input.HostsListed(1, List.of(entry)));
        int runsBefore = harness.runsAt(leaving);
        List<Long> after =
                IntStream.range(0, 8)
                        .mapToObj(i -> harness.call("POST", "/rota/chairs", OnlineHarness.KEY))
                        .toList();
        harness.fleet().run(DRAIN_NANOS);

        before.forEach(call -> assertEquals(harness.answer(call).status(), 200));
        after.forEach(call -> assertEquals(harness.answer(call).status(), 200));
        assertTrue(runsBefore > 0, "requests on the leaving host before it was listed as leaving");
        assertEquals(harness.runsAt(leaving), runsBefore);
    }

    @Test
    public void aHealthyHostAbsentFromThePlatformsListStaysInUse() {
        OnlineHarness harness = new OnlineHarness(1);
        harness.fleet().deliver(OnlineHarness.ENTRY, new Input.HostsListed(1, List.of()));

        long call = harness.call("GET", "/rota/chairs", OnlineHarness.KEY);
        harness.fleet().run(DRAIN_NANOS);

        assertEquals(harness.answer(call).status(), 200);
    }
}
