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

/** Tests {@link FairAdmissionQueue} against a model of plain lists. */
public final class AdmissionFuzzTest {
    private static final int SEEDS = 200;
    private static final int STEPS = 400;
    private static final int CONCURRENCY_LIMIT = 8;
    private static final int MAX_WAITING = 20;
    private static final long MAX_WAITING_BYTES = 2_000;

    /** The queue under test and the work that it must contain. */
    private static final class Model {
        private final SplittableRandom mRandom;
        private final AdmissionQueue mQueue;
        private final List<Work> mWaiting = new ArrayList<>();
        private final List<Work> mRunning = new ArrayList<>();
        private final Set<Long> mStopped = new HashSet<>();
        private long mNow;
        private long mCalls;
        private boolean mIsBusy;

        Model(long seed) {
            mRandom = new SplittableRandom(seed);
            AdmissionSettings settings =
                    new AdmissionSettings(
                            CONCURRENCY_LIMIT, MAX_WAITING, MAX_WAITING_BYTES, 0.25, 1, 1, 50);
            mQueue =
                    FairAdmissionQueue.create(
                            settings, ConcurrencyLimit.Fixed.of(CONCURRENCY_LIMIT));
        }

        void step() {
            mNow += mRandom.nextInt(20);
            mIsBusy = mRandom.nextInt(30) == 0 ? !mIsBusy : mIsBusy;
            switch (mRandom.nextInt(mIsBusy ? 9 : 14)) {
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

        /**
         * Checks that shed work is the newest of an organisation with at least its share of the
         * waiting requests or bytes.
         */
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
                    inCount && peers.size() > MAX_WAITING
                            || inBytes && bytes(peers) > MAX_WAITING_BYTES);
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
                assertTrue(mStopped.add(call), "an item was stopped twice");
            }
            long free = CONCURRENCY_LIMIT - mRunning.size() + mStopped.size();
            boolean allStopped =
                    mRunning.stream().allMatch(w -> w.isOnline() || mStopped.contains(w.call()));
            int online = waiting(TrafficClass.ONLINE).size();
            assertTrue(
                    online <= free || allStopped,
                    "online work waits although batch items could be stopped");
            assertTrue(stop.isEmpty() || online >= free, "more items were stopped than needed");
        }

        private void start() {
            Optional<Work> next = mQueue.poll(mNow);
            boolean onlineWaits = !waiting(TrafficClass.ONLINE).isEmpty();
            int runningLimit =
                    onlineWaits ? CONCURRENCY_LIMIT : CONCURRENCY_LIMIT - CONCURRENCY_LIMIT / 4;
            assertEquals(next.isPresent(), mRunning.size() < runningLimit && !mWaiting.isEmpty());
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
            boolean isWaiting = mWaiting.removeIf(w -> w.call() == call);
            assertEquals(mQueue.cancel(call), isWaiting);
        }

        private void expire() {
            Set<Work> expired =
                    mWaiting.stream()
                            .filter(w -> w.deadlineNanos() <= mNow)
                            .collect(Collectors.toSet());
            assertEquals(
                    mQueue.expire(mNow).stream().map(Shed::work).collect(Collectors.toSet()),
                    expired);
            mWaiting.removeAll(expired);
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
    public void theQueueMatchesTheModelAtEveryStep() {
        for (long seed = 1; seed <= SEEDS; seed++) {
            Model model = new Model(seed);
            for (int step = 0; step < STEPS; step++) {
                model.step();
            }
        }
    }

    @Test
    public void targetTimeIsSharedByWeightWhateverTheServiceTimes() {
        AdmissionSettings settings = AdmissionSettings.of(1).withMaxInFlight(1);
        AdmissionQueue queue = FairAdmissionQueue.create(settings, ConcurrencyLimit.Fixed.of(1));
        double[] weights = {1, 2, 5};
        long[] serviceNanos = {900, 100, 400};
        double[] served = new double[weights.length];
        long now = 0;
        long call = 0;
        for (int i = 0; i < 20 * weights.length; i++) {
            queue.offer(work(++call, i % 3, weights[i % 3]), now);
        }
        for (int round = 0; round < 10_000; round++) {
            Work next = queue.poll(now).orElseThrow();
            int index = Integer.parseInt(next.organisation().value());
            now += serviceNanos[index];
            served[index] += serviceNanos[index] / weights[index];
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
    public void theLimitDecreasesWhenTokensAreLateAndIncreasesWhenTheyAreNot() {
        AdaptiveLimit limit = AdaptiveLimit.create(AdmissionSettings.of(64));
        long now = 0;
        for (int i = 0; i < 2_000; i++) {
            now += 1_000_000;
            limit.recordGap(80_000_000, limit.limit(), now);
        }
        int low = limit.limit();
        for (int i = 0; i < 20_000; i++) {
            now += 1_000_000;
            limit.recordGap(20_000_000, limit.limit(), now);
        }

        assertTrue(low < 16, "limit " + low);
        assertEquals(limit.limit(), 64);
    }
}
