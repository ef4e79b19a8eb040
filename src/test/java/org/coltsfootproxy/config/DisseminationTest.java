package org.coltsfootproxy.config;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import java.util.stream.LongStream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests {@link ConfigPublisher} and {@link ConfigSubscriber} together. {@link FakeFleet} checks at
 * every step that no subscriber reverts to an older version or trusts a view beyond the freshness
 * period.
 */
public final class DisseminationTest {
    private static final int REPLICAS = 3;
    private static final int SUBSCRIBERS = 6;
    private static final long SECOND_NANOS = FakeFleet.SECOND_NANOS;

    @DataProvider
    public Object[][] seeds() {
        return LongStream.range(0, 12).mapToObj(s -> new Object[] {s}).toArray(Object[][]::new);
    }

    @Test(dataProvider = "seeds")
    public void noSubscriberRevertsOrTrustsAnOutdatedViewUnderRandomFaults(long seed) {
        var random = new Random(seed);
        var fleet = new FakeFleet(REPLICAS, SUBSCRIBERS, random);
        var tickets = new RandomTickets(random);
        fleet.mLossRate = 0.1;
        fleet.mMaxDelayNanos = TimeUnit.MILLISECONDS.toNanos(random.nextInt(2000));
        for (int step = 1; step < 150; step++) {
            fleet.run(random.nextInt(100) * FakeFleet.STEP_NANOS);
            if (random.nextBoolean()) {
                fleet.commit(tickets.next(step));
            }
            injectRandomFault(fleet, random);
        }
        healAllFaults(fleet);
        fleet.run(15 * SECOND_NANOS);
        assertAllCurrent(fleet);
    }

    private static void injectRandomFault(FakeFleet fleet, Random random) {
        int s = random.nextInt(SUBSCRIBERS);
        FakeFleet.Replica replica = fleet.replicas().get(random.nextInt(REPLICAS));
        int r = fleet.replicas().indexOf(replica);
        switch (random.nextInt(9)) {
            case 0 -> fleet.mIsCutToReplica[s][r] = !fleet.mIsCutToReplica[s][r];
            case 1 -> fleet.mIsCutFromReplica[s][r] = !fleet.mIsCutFromReplica[s][r];
            case 2 -> Arrays.fill(fleet.mIsCutFromReplica[s], random.nextBoolean());
            case 3 -> Arrays.fill(fleet.mIsCutToReplica[s], random.nextBoolean());
            case 4 -> replica.mIsPartitioned = !replica.mIsPartitioned;
            case 5 -> replica.restart();
            case 6 -> replica.loseConnection(fleet.subscribers().get(s));
            case 7 -> fleet.subscribers().get(s).loseConnection(replica);
            default -> replica.stop();
        }
    }

    private static void healAllFaults(FakeFleet fleet) {
        fleet.mLossRate = 0;
        fleet.mMaxDelayNanos = TimeUnit.MILLISECONDS.toNanos(3);
        IntStream.range(0, SUBSCRIBERS)
                .forEach(
                        s -> {
                            Arrays.fill(fleet.mIsCutToReplica[s], false);
                            Arrays.fill(fleet.mIsCutFromReplica[s], false);
                        });
        fleet.replicas()
                .forEach(
                        r -> {
                            r.mIsPartitioned = false;
                            r.restart();
                        });
    }

    private static void assertAllCurrent(FakeFleet fleet) {
        fleet.subscribers()
                .forEach(
                        s -> {
                            assertEquals(s.view().version(), fleet.oracle().version());
                            assertTrue(s.isFresh(), s.host() + " is not fresh");
                        });
    }

    @Test(dataProvider = "seeds")
    public void connectedSubscribersReceiveEveryVersionWithinFourSeconds(long seed) {
        var random = new Random(seed);
        var fleet = new FakeFleet(REPLICAS, SUBSCRIBERS, random);
        var tickets = new RandomTickets(random);
        fleet.mLossRate = 0.02;
        fleet.run(3 * SECOND_NANOS);
        for (int step = 1; step < 200; step++) {
            fleet.commit(tickets.next(step));
            fleet.run(random.nextInt(60) * FakeFleet.STEP_NANOS);
        }
        fleet.run(4 * SECOND_NANOS);
        assertAllCurrent(fleet);
        assertTrue(
                fleet.maxPropagationNanos() <= 4 * SECOND_NANOS,
                "longest propagation in ns: " + fleet.maxPropagationNanos());
    }

    /** A stage of a subscription at which a fault is injected. */
    private enum Stage {
        BEFORE_SUBSCRIBE,
        SENDING_WHOLE_CONFIGURATION,
        RENEWING,
        CHANGE_IN_FLIGHT
    }

    /** A fault that must not keep a connected subscriber from the current version. */
    private enum Fault {
        CUT_TO_NEAREST,
        CUT_FROM_NEAREST,
        NEAREST_CONNECTION_LOST,
        NEAREST_PARTITIONED,
        NEAREST_RESTARTED,
        NEAREST_STOPPED
    }

    @DataProvider
    public Object[][] faultMatrix() {
        return Arrays.stream(Stage.values())
                .flatMap(
                        s ->
                                Arrays.stream(Fault.values())
                                        .flatMap(
                                                f ->
                                                        Arrays.stream(Fault.values())
                                                                .map(g -> new Object[] {s, f, g})))
                .toArray(Object[][]::new);
    }

    /**
     * Injects two faults at every stage. The second one hits the host to which the subscriber
     * failed over.
     */
    @Test(dataProvider = "faultMatrix")
    public void aChangeArrivesInTimeDespiteTwoFaults(Stage stage, Fault first, Fault second) {
        var fleet = new FakeFleet(REPLICAS, 1, new Random(stage.ordinal()));
        fleet.commit(RandomTickets.ticket(1, List.of(RandomTickets.organisation("solway", 1))));
        for (int n = 2; n < 300; n++) {
            Key key = RandomTickets.key("key-" + n, "solway", n);
            fleet.commit(RandomTickets.ticket(n, List.of(key)));
        }
        if (stage.ordinal() >= Stage.SENDING_WHOLE_CONFIGURATION.ordinal()) {
            fleet.run(
                    stage == Stage.SENDING_WHOLE_CONFIGURATION
                            ? FakeFleet.STEP_NANOS
                            : 3 * SECOND_NANOS);
        }
        if (stage == Stage.CHANGE_IN_FLIGHT) {
            removeKey(fleet);
        }
        injectFault(fleet, 0, first);
        fleet.run(SECOND_NANOS / 10);
        injectFault(fleet, 1, second);
        if (stage != Stage.CHANGE_IN_FLIGHT) {
            removeKey(fleet);
        }
        fleet.run(8 * SECOND_NANOS);
        assertAllCurrent(fleet);
    }

    private static void removeKey(FakeFleet fleet) {
        ConfigChange removed = new Removed(ObjectName.of(ObjectKind.KEY, "key-2"));
        fleet.commit(RandomTickets.ticket(1000, List.of(removed)));
    }

    /** Injects a fault at the nearest control host (number 0) or another one. */
    private static void injectFault(FakeFleet fleet, int number, Fault kind) {
        FakeFleet.Replica replica = fleet.replicas().get(number);
        switch (kind) {
            case CUT_TO_NEAREST -> fleet.mIsCutToReplica[0][number] = true;
            case CUT_FROM_NEAREST -> fleet.mIsCutFromReplica[0][number] = true;
            case NEAREST_CONNECTION_LOST -> {
                fleet.mIsCutToReplica[0][number] = true;
                fleet.mIsCutFromReplica[0][number] = true;
                fleet.subscribers().get(0).loseConnection(replica);
                replica.loseConnection(fleet.subscribers().get(0));
            }
            case NEAREST_PARTITIONED ->
                    replica.mIsPartitioned = number == 0 || isUnpartitioned(fleet);
            case NEAREST_RESTARTED -> replica.restart();
            default -> replica.stop();
        }
    }

    /**
     * Returns whether no replica is partitioned. A second partition would leave no quorum, and so
     * no guarantee.
     */
    private static boolean isUnpartitioned(FakeFleet fleet) {
        return fleet.replicas().stream().noneMatch(r -> r.mIsPartitioned);
    }

    /**
     * No key is trusted without freshness, so that a removed key is refused; the view is kept, so
     * that open routes are still served.
     */
    @Test
    public void aPartitionedSubscriberLosesFreshnessButKeepsItsView() {
        var fleet = new FakeFleet(REPLICAS, 1, new Random(7));
        Key key = RandomTickets.key("key", "solway", 1);
        fleet.commit(
                RandomTickets.ticket(1, List.of(RandomTickets.organisation("solway", 1), key)));
        fleet.run(3 * SECOND_NANOS);
        FakeFleet.Subscriber subscriber = fleet.subscribers().get(0);
        assertTrue(subscriber.isFresh());
        Arrays.fill(fleet.mIsCutToReplica[0], true);
        fleet.commit(RandomTickets.ticket(2, List.of(new Removed(key.objectName()))));
        Arrays.fill(fleet.mIsCutFromReplica[0], true);
        fleet.run(ConfigTiming.DEFAULT.freshNanos() + FakeFleet.STEP_NANOS);
        assertFalse(subscriber.isFresh());
        assertTrue(subscriber.view().keyByDigest(key.digest()).isPresent());
        Arrays.fill(fleet.mIsCutToReplica[0], false);
        Arrays.fill(fleet.mIsCutFromReplica[0], false);
        fleet.run(5 * SECOND_NANOS);
        assertTrue(subscriber.isFresh());
        assertTrue(subscriber.view().keyByDigest(key.digest()).isEmpty());
    }

    @Test
    public void theSubscriberFailsBackToTheNearestHost() {
        var fleet = new FakeFleet(REPLICAS, 1, new Random(3));
        fleet.run(3 * SECOND_NANOS);
        assertEquals(fleet.subscribers().get(0).current(), fleet.replicas().get(0).host());
        fleet.mIsCutToReplica[0][0] = true;
        fleet.run(5 * SECOND_NANOS);
        assertFalse(fleet.subscribers().get(0).current().equals(fleet.replicas().get(0).host()));
        fleet.mIsCutToReplica[0][0] = false;
        fleet.run(70 * SECOND_NANOS);
        assertEquals(fleet.subscribers().get(0).current(), fleet.replicas().get(0).host());
    }
}
