package org.coltsfootproxy.relay;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.BiPredicate;
import java.util.stream.IntStream;
import org.coltsfootproxy.base.DataCentre;
import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.message.FleetMessage;
import org.coltsfootproxy.node.Effect;
import org.coltsfootproxy.node.Effects;
import org.coltsfootproxy.node.Node;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests {@link ReportRelay} over whole fleets in virtual time. */
public final class ReportRelayTest {
    private static final long MILLI_NANOS = TimeUnit.MILLISECONDS.toNanos(1);

    /** Age within which 99 of 100 reports must reach a host; the design's target. */
    private static final long TARGET_AGE_MILLIS = 60;

    /** Messages a second that a host without relay duty may send and receive without load. */
    private static final double TARGET_IDLE_MESSAGES = 60;

    /** A fleet of hosts in data centres, with links that can fail. */
    private static final class Fleet {
        private final Map<HostId, ReportRelay> mRelays = new TreeMap<>();
        private final Map<HostId, Set<HostId>> mRosters = new HashMap<>();
        private final Map<HostId, DataCentre> mDataCentres = new TreeMap<>();
        private final Set<HostId> mStores = new HashSet<>();
        private final Set<HostId> mFrozen = new HashSet<>();
        private final PriorityQueue<Delivery> mDeliveries =
                new PriorityQueue<>(Comparator.comparingLong(Delivery::at));
        private final Map<HostId, Long> mPublishedAt = new HashMap<>();
        private final Map<HostId, Long> mSequences = new HashMap<>();

        /** The newest sequence that each host (first key) knows of each other host. */
        private final Map<HostId, Map<HostId, Long>> mKnown = new HashMap<>();

        private final Map<HostId, Integer> mSent = new HashMap<>();
        private final Map<HostId, Set<HostId>> mSentTo = new HashMap<>();
        private final Map<HostId, Integer> mReceived = new HashMap<>();
        private final Map<HostId, Set<HostId>> mEnded = new HashMap<>();
        private final List<Long> mAges = new ArrayList<>();
        private BiPredicate<HostId, HostId> mIsCut = (from, to) -> false;
        private double mLossShare;
        private final Random mRandom;
        private long mNow;

        /** Hosts that could not connect to a host whose process has ended. */
        private final List<HostPair> mRefused = new ArrayList<>();

        private record HostPair(HostId from, HostId to) {}

        private record Delivery(
                long at, HostId from, HostId to, ReportRelay relay, FleetMessage.Reports message) {}

        Fleet(int dataCentres, int storesEach, int entriesEach, long seed) {
            mRandom = new Random(seed);
            for (int d = 0; d < dataCentres; d++) {
                for (int n = 0; n < storesEach + entriesEach; n++) {
                    HostId host = HostId.of("10." + d + ".0." + n);
                    mDataCentres.put(host, DataCentre.of("d" + d));
                    if (n < storesEach) {
                        mStores.add(host);
                    }
                }
            }
            mDataCentres.keySet().forEach(this::start);
            updateRosters();
        }

        List<HostId> hosts() {
            return List.copyOf(mRelays.keySet());
        }

        void start(HostId host) {
            mKnown.put(host, new HashMap<>());
            mSequences.put(host, 0L);
            mEnded.put(host, new HashSet<>());
            mRelays.put(host, ReportRelay.create(host, new Receiver(host)));
        }

        /** Gives all hosts the roster of those that run. */
        void updateRosters() {
            mRelays.keySet().forEach(host -> roster(host, mRelays.keySet()));
        }

        void roster(HostId host, Set<HostId> members) {
            mRosters.put(host, Set.copyOf(members));
            mRelays.get(host)
                    .groups(
                            RelayGroups.of(List.copyOf(members), mStores, mDataCentres),
                            mNow,
                            effect -> send(host, effect));
        }

        /** Ends a host's process; the others lose their connections to it at once. */
        void kill(HostId host) {
            mRelays.remove(host);
            mRelays.forEach((other, relay) -> relay.peerLost(host, mNow, e -> send(other, e)));
        }

        private final class Receiver implements ReportRelay.Listener {
            private final HostId mHost;

            Receiver(HostId host) {
                mHost = host;
            }

            @Override
            public void reported(FleetMessage.HostReport report, long nowNanos, Effects out) {
                Long before = mKnown.get(mHost).put(report.origin(), report.sequence());
                assertTrue(before == null || before < report.sequence(), "delivered twice");
                mAges.add((nowNanos - mPublishedAt.get(report.origin())) / MILLI_NANOS);
            }

            @Override
            public void ended(HostId host, long nowNanos) {
                mEnded.get(mHost).add(host);
            }

            @Override
            public void reportsLost(long nowNanos) {
                // The fleet publishes regularly.
            }
        }

        void publish(HostId host) {
            long sequence = mSequences.merge(host, 1L, Long::sum);
            mPublishedAt.put(host, mNow);
            mRelays.get(host)
                    .publish(
                            new FleetMessage.HostReport(
                                    host, 1, sequence, null, null, null, List.of(), null,
                                    List.of()),
                            mNow);
        }

        private void send(HostId from, Effect effect) {
            if (!(effect instanceof Effect.Send send)) {
                return;
            }
            mSent.merge(from, 1, Integer::sum);
            mSentTo.computeIfAbsent(from, host -> new HashSet<>()).add(send.to());
            boolean isLost = mIsCut.test(from, send.to()) || mRandom.nextDouble() < mLossShare;
            if (!mRelays.containsKey(send.to())) {
                mRefused.add(new HostPair(from, send.to()));
            } else if (!isLost) {
                mDeliveries.add(
                        new Delivery(
                                mNow + MILLI_NANOS / 2,
                                from,
                                send.to(),
                                mRelays.get(send.to()),
                                (FleetMessage.Reports) send.message()));
            }
        }

        /** Runs for a time; each host publishes at random moments, at this rate a second. */
        void run(long millis, double reportsPerSecond) {
            for (long end = mNow + millis * MILLI_NANOS; mNow < end; mNow += MILLI_NANOS) {
                deliver();
                for (HostId host : hosts()) {
                    if (mFrozen.contains(host)) {
                        continue;
                    }
                    if (mRandom.nextDouble() < reportsPerSecond / 1_000) {
                        publish(host);
                    }
                    if (mRelays.get(host).nextTickNanos() <= mNow) {
                        mRelays.get(host).tick(mNow, effect -> send(host, effect));
                    }
                }
            }
        }

        private void deliver() {
            List<HostPair> refused = List.copyOf(mRefused);
            mRefused.clear();
            refused.stream()
                    .filter(pair -> mRelays.containsKey(pair.from()))
                    .forEach(
                            pair ->
                                    mRelays.get(pair.from())
                                            .peerLost(pair.to(), mNow, e -> send(pair.from(), e)));
            List<Delivery> late = new ArrayList<>();
            while (!mDeliveries.isEmpty() && mDeliveries.peek().at() <= mNow) {
                Delivery delivery = mDeliveries.remove();
                if (mFrozen.contains(delivery.to())) {
                    late.add(delivery);
                } else if (mRelays.get(delivery.to()) == delivery.relay()) {
                    mReceived.merge(delivery.to(), 1, Integer::sum);
                    delivery.relay()
                            .handle(delivery.from(), delivery.message(), mNow, effect -> {});
                }
            }
            mDeliveries.addAll(late);
        }

        /** Publishes one report of each host that runs, and checks that all others get it. */
        void assertAllConnected(long withinMillis) {
            hosts().stream().filter(host -> !mFrozen.contains(host)).forEach(this::publish);
            run(withinMillis, 0);
            for (HostId host : hosts()) {
                if (mFrozen.contains(host)) {
                    continue;
                }
                hosts().stream()
                        .filter(other -> !other.equals(host) && !mFrozen.contains(other))
                        .forEach(
                                other ->
                                        assertEquals(
                                                mKnown.get(host).get(other),
                                                mSequences.get(other),
                                                host + " lacks the report of " + other));
            }
        }

        double messagesPerSecond(HostId host, long millis) {
            int messages = mSent.getOrDefault(host, 0) + mReceived.getOrDefault(host, 0);
            return messages * 1_000.0 / millis;
        }

        long agePercentile(double share) {
            List<Long> sorted = mAges.stream().sorted().toList();
            return sorted.get((int) (sorted.size() * share));
        }
    }

    private static HostId host(int dataCentre, int number) {
        return HostId.of("10." + dataCentre + ".0." + number);
    }

    @DataProvider
    Object[][] fleets() {
        return new Object[][] {{1, 1, 1}, {3, 1, 2}, {4, 1, 2}, {4, 3, 5}, {6, 3, 5}, {6, 5, 12}};
    }

    @Test(dataProvider = "fleets")
    public void reportsReachAllHostsWithinTheTargetAge(int dataCentres, int stores, int entries) {
        Fleet fleet = new Fleet(dataCentres, stores, entries, 1);
        fleet.run(2_000, 2);
        fleet.mAges.clear();
        fleet.run(5_000, 15);

        long age = fleet.agePercentile(0.99);
        assertTrue(age <= TARGET_AGE_MILLIS, "99 in 100 within " + age + " ms");
        fleet.assertAllConnected(100);
    }

    @Test
    public void messagesOfAHostWithoutRelayDutyDoNotGrowWithTheFleet() {
        List<Double> rates = new ArrayList<>();
        for (int entries : new int[] {4, 20, 60}) {
            Fleet fleet = new Fleet(6, 2, entries, 2);
            fleet.run(3_000, 2);
            fleet.mSent.clear();
            fleet.mReceived.clear();
            fleet.run(4_000, 2);
            rates.add(fleet.messagesPerSecond(host(3, 3), 4_000));
        }
        rates.forEach(rate -> assertTrue(rate <= TARGET_IDLE_MESSAGES, "messages: " + rates));
    }

    @Test
    public void aRelayThatIsKilledIsReplacedAtOnceAndItsEndIsTold() {
        Fleet fleet = new Fleet(6, 2, 4, 3);
        fleet.run(2_000, 5);
        HostId killed = host(2, 0);
        fleet.kill(killed);
        fleet.run(100, 5);

        fleet.assertAllConnected(100);
        fleet.hosts().stream()
                .filter(host -> host.value().startsWith("10.2.") || fleet.mStores.contains(host))
                .forEach(
                        host ->
                                assertEquals(
                                        fleet.mEnded.get(host).contains(killed),
                                        true,
                                        host + " was not told"));
    }

    @Test
    public void aFrozenRelayIsReplacedWithinASecondAndTakesOverAgainLater() {
        Fleet fleet = new Fleet(6, 2, 4, 4);
        fleet.run(2_000, 5);
        fleet.mFrozen.add(host(1, 0));
        fleet.run(1_000, 5);
        fleet.assertAllConnected(100);

        fleet.mFrozen.clear();
        fleet.run(4_000, 5);
        fleet.assertAllConnected(100);
    }

    @Test
    public void allStoresOfADataCentreMayBeLost() {
        Fleet fleet = new Fleet(6, 2, 4, 5);
        fleet.run(2_000, 5);
        fleet.kill(host(0, 0));
        fleet.kill(host(0, 1));
        fleet.run(100, 5);
        fleet.assertAllConnected(100);
    }

    @Test
    public void aRelayThatOneHostOfItsGroupCannotReachIsBypassed() {
        Fleet fleet = new Fleet(4, 2, 4, 6);
        fleet.run(2_000, 5);
        HostId relay = host(1, 0);
        HostId member = host(1, 4);
        fleet.mIsCut =
                (from, to) ->
                        from.equals(relay) && to.equals(member)
                                || from.equals(member) && to.equals(relay);
        fleet.run(1_500, 5);
        fleet.assertAllConnected(150);
    }

    @Test
    public void relaysOfTwoDataCentresThatCannotReachEachOtherAreBypassed() {
        Fleet fleet = new Fleet(4, 2, 4, 7);
        fleet.run(2_000, 5);
        Set<HostId> relays = Set.of(host(1, 0), host(2, 0));
        fleet.mIsCut = (from, to) -> relays.contains(from) && relays.contains(to);
        fleet.run(1_500, 5);
        fleet.assertAllConnected(150);
    }

    @Test
    public void hostsOnEitherSideOfAPartitionStayConnected() {
        Fleet fleet = new Fleet(4, 2, 4, 8);
        fleet.run(2_000, 5);
        fleet.mIsCut = (from, to) -> isEven(from) != isEven(to);
        fleet.run(1_500, 5);
        Map<HostId, Long> before = new HashMap<>(fleet.mSequences);
        fleet.hosts().forEach(fleet::publish);
        fleet.run(150, 0);
        for (HostId host : fleet.hosts()) {
            fleet.hosts().stream()
                    .filter(other -> !other.equals(host) && isEven(host) == isEven(other))
                    .forEach(
                            other ->
                                    assertTrue(
                                            fleet.mKnown.get(host).get(other) > before.get(other),
                                            host + " lacks " + other));
        }
        fleet.mIsCut = (from, to) -> false;
        fleet.run(3_000, 5);
        fleet.assertAllConnected(100);
    }

    private static boolean isEven(HostId host) {
        return (host.value().charAt(host.value().length() - 1) - '0') % 2 == 0;
    }

    @Test
    public void hostsWithDifferentRostersStillExchangeReports() {
        Fleet fleet = new Fleet(4, 2, 4, 9);
        Set<HostId> withoutFirstStores = new HashSet<>(fleet.hosts());
        IntStream.range(0, 4).forEach(d -> withoutFirstStores.remove(host(d, 0)));
        IntStream.range(0, 4)
                .mapToObj(d -> host(d, 5))
                .forEach(
                        host -> {
                            Set<HostId> roster = new HashSet<>(withoutFirstStores);
                            fleet.roster(host, roster);
                        });
        fleet.run(2_000, 5);
        fleet.assertAllConnected(150);
    }

    @Test
    public void allProcessesMayRestartAtOnce() {
        Fleet fleet = new Fleet(6, 2, 4, 10);
        fleet.run(2_000, 5);
        fleet.mDeliveries.clear();
        fleet.hosts().forEach(fleet::start);
        fleet.updateRosters();
        fleet.run(500, 5);
        fleet.assertAllConnected(100);
    }

    @Test
    public void hostsAreAddedAndRemovedWithoutLosingContact() {
        Fleet fleet = new Fleet(4, 1, 2, 11);
        fleet.run(1_000, 5);
        fleet.assertAllConnected(100);
        for (int d = 0; d < 4; d++) {
            HostId added = host(d, 7);
            fleet.mDataCentres.put(added, DataCentre.of("d" + d));
            fleet.start(added);
        }
        fleet.updateRosters();
        fleet.run(1_000, 5);
        fleet.assertAllConnected(100);
        for (int d = 0; d < 4; d++) {
            fleet.kill(host(d, 0));
        }
        fleet.updateRosters();
        fleet.run(1_000, 5);
        fleet.assertAllConnected(100);
    }

    @Test
    public void aHostThatWasPausedItselfKeepsItsRelay() {
        Fleet fleet = new Fleet(6, 2, 4, 12);
        fleet.run(2_000, 5);
        HostId member = host(2, 4);
        HostId relay = host(2, 0);
        for (int pause = 0; pause < 5; pause++) {
            fleet.mFrozen.add(member);
            fleet.run(700, 5);
            fleet.mFrozen.clear();
            fleet.mSentTo.clear();
            // The process runs again before what has arrived meanwhile is read.
            fleet.mRelays.get(member).tick(fleet.mNow, effect -> fleet.send(member, effect));
            fleet.run(300, 5);
            assertEquals(
                    fleet.mSentTo.getOrDefault(member, Set.of()),
                    Set.of(relay),
                    "hosts that the paused host sent to");
        }
    }

    @Test
    public void aRelayWhoseConnectionTakesASecondIsNotReplacedAtTheStart() {
        Fleet fleet = new Fleet(6, 2, 4, 13);
        fleet.mIsCut = (from, to) -> true;
        fleet.run(1_500, 5);
        fleet.mIsCut = (from, to) -> false;
        fleet.run(500, 5);
        assertEquals(
                fleet.mSentTo.get(host(2, 4)),
                Set.of(host(2, 0)),
                "hosts that an entry has sent to");
    }

    @Test
    public void aReportOfAnEarlierProcessIsIgnoredAfterTheNewProcessHasReported() {
        List<Long> reported = new ArrayList<>();
        ReportRelay relay =
                ReportRelay.create(
                        host(0, 0),
                        new ReportRelay.Listener() {
                            @Override
                            public void reported(
                                    FleetMessage.HostReport report, long nowNanos, Effects out) {
                                reported.add(report.epoch());
                            }

                            @Override
                            public void ended(HostId host, long nowNanos) {
                                throw new AssertionError("no host has ended");
                            }

                            @Override
                            public void reportsLost(long nowNanos) {
                                // Nothing is published.
                            }
                        });
        for (long epoch : new long[] {5, 9, 5, 9}) {
            relay.handle(host(0, 1), reportOf(epoch), 0, effect -> {});
        }
        assertEquals(reported, List.of(5L, 9L));
        assertEquals(relay.nextTickNanos(), Node.NEVER);
    }

    private static FleetMessage.Reports reportOf(long epoch) {
        var report =
                new FleetMessage.HostReport(
                        host(0, 1), epoch, 1, null, null, null, List.of(), null, List.of());
        return new FleetMessage.Reports(List.of(report), List.of());
    }

    @Test
    public void randomFaultsNeverCutOffHostsThatCanReachEachOther() {
        for (long seed = 0; seed < 40; seed++) {
            Fleet fleet = new Fleet(3 + (int) (seed % 3), 2, 3, seed);
            Random random = new Random(seed);
            fleet.mLossShare = 0.02;
            for (int step = 0; step < 6; step++) {
                List<HostId> hosts = fleet.hosts();
                HostId victim = hosts.get(random.nextInt(hosts.size()));
                if (random.nextBoolean()) {
                    fleet.mFrozen.clear();
                    fleet.mFrozen.add(victim);
                } else if (hosts.size() > 8) {
                    fleet.kill(victim);
                    fleet.mFrozen.remove(victim);
                }
                fleet.run(random.nextInt(1_500), 10);
            }
            fleet.mFrozen.clear();
            fleet.mLossShare = 0;
            fleet.updateRosters();
            fleet.run(3_000, 5);
            fleet.assertAllConnected(100);
        }
    }
}
