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
 * Publishers and subscribers together; {@link FakeFleet} checks at every step that no subscriber
 * goes back or trusts what is older than the freshness.
 */
public final class DisseminationTest {
    private static final int REPLICAS = 3;
    private static final int SUBSCRIBERS = 6;
    private static final long SECOND = FakeFleet.SECOND;

    @DataProvider
    public Object[][] seeds() {
        return LongStream.range(0, 12).mapToObj(s -> new Object[] {s}).toArray(Object[][]::new);
    }

    @Test(dataProvider = "seeds")
    public void whateverLinksAndReplicasDoNobodyGoesBackOrTrustsTheOld(long seed) {
        var random = new Random(seed);
        var fleet = new FakeFleet(REPLICAS, SUBSCRIBERS, random);
        var tickets = new RandomTickets(random);
        fleet.mLoss = 0.1;
        fleet.mDelay = TimeUnit.MILLISECONDS.toNanos(random.nextInt(2000));
        for (int step = 1; step < 150; step++) {
            fleet.run(random.nextInt(100) * FakeFleet.STEP);
            if (random.nextBoolean()) {
                fleet.commit(tickets.next(step));
            }
            fault(fleet, random);
        }
        heal(fleet);
        fleet.run(15 * SECOND);
        assertAllCurrent(fleet);
    }

    private static void fault(FakeFleet fleet, Random random) {
        int s = random.nextInt(SUBSCRIBERS);
        FakeFleet.Replica replica = fleet.replicas().get(random.nextInt(REPLICAS));
        int r = fleet.replicas().indexOf(replica);
        switch (random.nextInt(9)) {
            case 0 -> fleet.mCutTo[s][r] = !fleet.mCutTo[s][r];
            case 1 -> fleet.mCutFrom[s][r] = !fleet.mCutFrom[s][r];
            case 2 -> Arrays.fill(fleet.mCutFrom[s], random.nextBoolean());
            case 3 -> Arrays.fill(fleet.mCutTo[s], random.nextBoolean());
            case 4 -> replica.mIsCut = !replica.mIsCut;
            case 5 -> replica.restart();
            case 6 -> replica.lose(fleet.subscribers().get(s));
            case 7 -> fleet.subscribers().get(s).lose(replica);
            default -> replica.stop();
        }
    }

    private static void heal(FakeFleet fleet) {
        fleet.mLoss = 0;
        fleet.mDelay = TimeUnit.MILLISECONDS.toNanos(3);
        IntStream.range(0, SUBSCRIBERS)
                .forEach(
                        s -> {
                            Arrays.fill(fleet.mCutTo[s], false);
                            Arrays.fill(fleet.mCutFrom[s], false);
                        });
        fleet.replicas()
                .forEach(
                        r -> {
                            r.mIsCut = false;
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
    public void whileConnectedEveryAcceptedVersionIsInForceWithinSeconds(long seed) {
        var random = new Random(seed);
        var fleet = new FakeFleet(REPLICAS, SUBSCRIBERS, random);
        var tickets = new RandomTickets(random);
        fleet.mLoss = 0.02;
        fleet.run(3 * SECOND);
        for (int step = 1; step < 200; step++) {
            fleet.commit(tickets.next(step));
            fleet.run(random.nextInt(60) * FakeFleet.STEP);
        }
        fleet.run(4 * SECOND);
        assertAllCurrent(fleet);
        assertTrue(fleet.slowest() <= 4 * SECOND, "slowest " + fleet.slowest());
    }

    /** A step in the life of a subscription at which a fault falls. */
    private enum Moment {
        BEFORE_SUBSCRIBE,
        WHOLE_CONFIGURATION,
        RENEWING,
        CHANGE_UNDER_WAY
    }

    /** A fault, of those that must not keep a connected subscriber from the truth. */
    private enum Fault {
        CUT_TO_NEAREST,
        CUT_FROM_NEAREST,
        NEAREST_LOST,
        NEAREST_CUT_FROM_QUORUM,
        NEAREST_RESTARTED,
        NEAREST_STOPPED
    }

    @DataProvider
    public Object[][] matrix() {
        return Arrays.stream(Moment.values())
                .flatMap(
                        m ->
                                Arrays.stream(Fault.values())
                                        .flatMap(
                                                f ->
                                                        Arrays.stream(Fault.values())
                                                                .map(g -> new Object[] {m, f, g})))
                .toArray(Object[][]::new);
    }

    /** Two faults at every step; the second meets the host that was turned to. */
    @Test(dataProvider = "matrix")
    public void aChangeIsInForceInTimeWhateverTwoFaultsFall(
            Moment moment, Fault first, Fault second) {
        var fleet = new FakeFleet(REPLICAS, 1, new Random(moment.ordinal()));
        fleet.commit(RandomTickets.ticket(1, List.of(RandomTickets.organisation("solway", 1))));
        for (int n = 2; n < 300; n++) {
            Key key = RandomTickets.key("key-" + n, "solway", n);
            fleet.commit(RandomTickets.ticket(n, List.of(key)));
        }
        if (moment.ordinal() >= Moment.WHOLE_CONFIGURATION.ordinal()) {
            fleet.run(moment == Moment.WHOLE_CONFIGURATION ? FakeFleet.STEP : 3 * SECOND);
        }
        if (moment == Moment.CHANGE_UNDER_WAY) {
            withdraw(fleet);
        }
        hit(fleet, 0, first);
        fleet.run(SECOND / 10);
        hit(fleet, 1, second);
        if (moment != Moment.CHANGE_UNDER_WAY) {
            withdraw(fleet);
        }
        fleet.run(8 * SECOND);
        assertAllCurrent(fleet);
    }

    private static void withdraw(FakeFleet fleet) {
        ConfigChange removed = new Removed(ObjectName.of(ObjectKind.KEY, "key-2"));
        fleet.commit(RandomTickets.ticket(1000, List.of(removed)));
    }

    /** Hits the nearest control host, or another one. */
    private static void hit(FakeFleet fleet, int number, Fault fault) {
        FakeFleet.Replica replica = fleet.replicas().get(number);
        switch (fault) {
            case CUT_TO_NEAREST -> fleet.mCutTo[0][number] = true;
            case CUT_FROM_NEAREST -> fleet.mCutFrom[0][number] = true;
            case NEAREST_LOST -> {
                fleet.mCutTo[0][number] = true;
                fleet.mCutFrom[0][number] = true;
                fleet.subscribers().get(0).lose(replica);
                replica.lose(fleet.subscribers().get(0));
            }
            case NEAREST_CUT_FROM_QUORUM -> replica.mIsCut = number == 0 || isWhole(fleet);
            case NEAREST_RESTARTED -> replica.restart();
            default -> replica.stop();
        }
    }

    /** A second replica cut from the others would leave no quorum, and no promise. */
    private static boolean isWhole(FakeFleet fleet) {
        return fleet.replicas().stream().noneMatch(r -> r.mIsCut);
    }

    @Test
    public void behindCutLinksTheWithdrawnKeyIsRefusedAndOpenRoutesStayKnown() {
        var fleet = new FakeFleet(REPLICAS, 1, new Random(7));
        Key key = RandomTickets.key("key", "solway", 1);
        fleet.commit(
                RandomTickets.ticket(1, List.of(RandomTickets.organisation("solway", 1), key)));
        fleet.run(3 * SECOND);
        FakeFleet.Subscriber subscriber = fleet.subscribers().get(0);
        assertTrue(subscriber.isFresh());
        Arrays.fill(fleet.mCutTo[0], true);
        fleet.commit(RandomTickets.ticket(2, List.of(new Removed(key.objectName()))));
        Arrays.fill(fleet.mCutFrom[0], true);
        fleet.run(ConfigTiming.DEFAULT.freshNanos() + FakeFleet.STEP);
        assertFalse(subscriber.isFresh());
        assertTrue(subscriber.view().keyByDigest(key.digest()).isPresent());
        Arrays.fill(fleet.mCutTo[0], false);
        Arrays.fill(fleet.mCutFrom[0], false);
        fleet.run(5 * SECOND);
        assertTrue(subscriber.isFresh());
        assertTrue(subscriber.view().keyByDigest(key.digest()).isEmpty());
    }

    @Test
    public void theSubscriberReturnsToTheNearestHost() {
        var fleet = new FakeFleet(REPLICAS, 1, new Random(3));
        fleet.run(3 * SECOND);
        assertEquals(fleet.subscribers().get(0).current(), fleet.replicas().get(0).host());
        fleet.mCutTo[0][0] = true;
        fleet.run(5 * SECOND);
        assertFalse(fleet.subscribers().get(0).current().equals(fleet.replicas().get(0).host()));
        fleet.mCutTo[0][0] = false;
        fleet.run(70 * SECOND);
        assertEquals(fleet.subscribers().get(0).current(), fleet.replicas().get(0).host());
    }
}
