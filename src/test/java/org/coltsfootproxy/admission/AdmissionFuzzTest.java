package org.coltsfootproxy.admission;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.Collectors;
import org.coltsfootproxy.base.ErrorKind;
import org.coltsfootproxy.base.OrganisationId;
import org.coltsfootproxy.base.TrafficClass;
import org.testng.annotations.Test;

/** The fair queue against lists that are searched anew at each step. */
public final class AdmissionFuzzTest {
    private static final int RUNS = 200;
    private static final int STEPS = 400;
    private static final int LIMIT = 8;
    private static final int MAX_WAITING = 20;
    private static final long MAX_BYTES = 2_000;

    /** The queue under test beside what must be in it. */
    private static final class Model {
        private final SplittableRandom mRandom;
        private final AdmissionQueue mQueue;
        private final List<Work> mWaiting = new ArrayList<>();
        private final List<Work> mRunning = new ArrayList<>();
        private final Set<Long> mStopped = new HashSet<>();
        private long mNow;
        private long mCalls;
        private boolean mBusy;

        Model(long seed) {
            mRandom = new SplittableRandom(seed);
            AdmissionSettings settings =
                    new AdmissionSettings(LIMIT, MAX_WAITING, MAX_BYTES, 0.25, 1, 1, 50);
            mQueue = FairAdmissionQueue.create(settings, ConcurrencyLimit.Fixed.of(LIMIT));
        }

        void step() {
            mNow += mRandom.nextInt(20);
            mBusy = mRandom.nextInt(30) == 0 ? !mBusy : mBusy;
            switch (mRandom.nextInt(mBusy ? 9 : 14)) {
                case 0, 1, 2 -> offer();
                case 3 -> cancel();
                case 4, 5 -> finish();
                case 6 -> expire();
                default -> start();
            }
            check();
        }

        private void offer() {
            int organisation = mRandom.nextInt(4);
            boolean online = mRandom.nextInt(3) > 0;
            Work work =
                    new Work(
                            ++mCalls,
                            online ? TrafficClass.ONLINE : TrafficClass.BATCH,
                            OrganisationId.of("org-" + organisation),
                            1 << organisation,
                            mRandom.nextInt(300),
                            mNow + 1 + mRandom.nextInt(2_000));
            mWaiting.add(work);
            for (Shed shed : mQueue.offer(work, mNow)) {
                assertEquals(shed.kind(), ErrorKind.OVERLOADED);
                assertIsOverItsShare(shed.work());
                assertTrue(mWaiting.remove(shed.work()));
            }
            if (mRandom.nextBoolean()) {
                stopItems();
            }
        }

        /** Whoever is shed has no less than its share of the waiting requests or bytes. */
        private void assertIsOverItsShare(Work shed) {
            List<Work> peers = waiting(shed.trafficClass());
            double weights =
                    peers.stream()
                            .collect(
                                    Collectors.toMap(Work::organisation, Work::weight, (a, b) -> a))
                            .values()
                            .stream()
                            .mapToDouble(w -> w)
                            .sum();
            List<Work> own =
                    peers.stream()
                            .filter(w -> w.organisation().equals(shed.organisation()))
                            .toList();
            double share = shed.weight() / weights;
            boolean inCount = own.size() >= share * peers.size();
            boolean inBytes = bytes(own) >= share * bytes(peers);
            assertTrue(
                    inCount && peers.size() > MAX_WAITING || inBytes && bytes(peers) > MAX_BYTES);
            assertEquals(own.get(own.size() - 1), shed);
        }

        private static long bytes(List<Work> works) {
            return works.stream().mapToLong(Work::bytes).sum();
        }

        private List<Work> waiting(TrafficClass trafficClass) {
            return mWaiting.stream().filter(w -> w.trafficClass() == trafficClass).toList();
        }

        private void stopItems() {
            List<Long> stop = mQueue.itemsToStop(mNow);
            for (long call : stop) {
                Work item =
                        mRunning.stream().filter(w -> w.call() == call).findFirst().orElseThrow();
                assertFalse(item.isOnline());
                assertTrue(mStopped.add(call), "stopped twice");
            }
            long free = LIMIT - mRunning.size() + mStopped.size();
            boolean allStopped =
                    mRunning.stream().allMatch(w -> w.isOnline() || mStopped.contains(w.call()));
            int online = waiting(TrafficClass.ONLINE).size();
            assertTrue(online <= free || allStopped, "online waits behind batch");
            assertTrue(stop.isEmpty() || online >= free, "stopped more than needed");
        }

        private void start() {
            Optional<Work> next = mQueue.poll(mNow);
            boolean onlineWaits = !waiting(TrafficClass.ONLINE).isEmpty();
            int room = onlineWaits ? LIMIT : LIMIT - LIMIT / 4;
            assertEquals(next.isPresent(), mRunning.size() < room && !mWaiting.isEmpty());
            if (next.isPresent()) {
                Work work = next.get();
                assertEquals(work.isOnline(), onlineWaits);
                Work oldest =
                        waiting(work.trafficClass()).stream()
                                .filter(w -> w.organisation().equals(work.organisation()))
                                .findFirst()
                                .orElseThrow();
                assertEquals(work, oldest);
                mWaiting.remove(work);
                mRunning.add(work);
            }
        }

        private void finish() {
            if (!mRunning.isEmpty()) {
                Work work = mRunning.remove(mRandom.nextInt(mRunning.size()));
                mStopped.remove(work.call());
                mQueue.finished(work.call(), mNow);
            }
        }

        private void cancel() {
            long call = 1 + mRandom.nextLong(mCalls + 1);
            boolean waits = mWaiting.removeIf(w -> w.call() == call);
            assertEquals(mQueue.cancel(call), waits);
        }

        private void expire() {
            Set<Work> over =
                    mWaiting.stream()
                            .filter(w -> w.deadlineNanos() <= mNow)
                            .collect(Collectors.toSet());
            assertEquals(
                    mQueue.expire(mNow).stream().map(Shed::work).collect(Collectors.toSet()), over);
            mWaiting.removeAll(over);
        }

        private void check() {
            assertEquals(mQueue.waiting(), mWaiting.size());
            assertEquals(mQueue.inFlight(), mRunning.size());
            long next =
                    mWaiting.stream().mapToLong(Work::deadlineNanos).min().orElse(Long.MAX_VALUE);
            assertEquals(mQueue.nextExpiryNanos(), next);
            if (!waiting(TrafficClass.ONLINE).isEmpty()) {
                assertEquals(mQueue.batchSlots(mNow), 0);
            }
        }
    }

    @Test
    public void theQueueAgreesWithPlainListsAtEveryStep() {
        for (long seed = 1; seed <= RUNS; seed++) {
            Model model = new Model(seed);
            for (int step = 0; step < STEPS; step++) {
                model.step();
            }
        }
    }

    @Test
    public void targetTimeIsSharedByWeightWhateverRequestsCost() {
        AdmissionSettings settings = AdmissionSettings.of(1).withMaxInFlight(1);
        AdmissionQueue queue = FairAdmissionQueue.create(settings, ConcurrencyLimit.Fixed.of(1));
        double[] weights = {1, 2, 5};
        long[] cost = {900, 100, 400};
        double[] served = new double[weights.length];
        long now = 0;
        long call = 0;
        for (int i = 0; i < 20 * weights.length; i++) {
            queue.offer(work(++call, i % 3, weights[i % 3]), now);
        }
        for (int round = 0; round < 10_000; round++) {
            Work next = queue.poll(now).orElseThrow();
            int index = Integer.parseInt(next.organisation().value());
            now += cost[index];
            served[index] += cost[index] / weights[index];
            queue.finished(next.call(), now);
            queue.offer(work(++call, index, weights[index]), now);
        }

        assertEquals(served[1] / served[0], 1, 0.02);
        assertEquals(served[2] / served[0], 1, 0.02);
    }

    private static Work work(long call, int organisation, double weight) {
        OrganisationId id = OrganisationId.of(Integer.toString(organisation));
        return new Work(call, TrafficClass.ONLINE, id, weight, 0, Long.MAX_VALUE);
    }

    @Test
    public void theLimitFallsWhenTokensComeLateAndRisesWhenTheyDont() {
        AdaptiveLimit limit = AdaptiveLimit.create(AdmissionSettings.of(64));
        long now = 0;
        for (int i = 0; i < 2_000; i++) {
            now += 1_000_000;
            limit.gap(80_000_000, limit.limit(), now);
        }
        int low = limit.limit();
        for (int i = 0; i < 20_000; i++) {
            now += 1_000_000;
            limit.gap(20_000_000, limit.limit(), now);
        }

        assertTrue(low < 16, "limit " + low);
        assertEquals(limit.limit(), 64);
    }
}
