package org.coltsfootproxy.admission;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.Function;
import org.coltsfootproxy.base.OrganisationId;
import org.coltsfootproxy.base.TrafficClass;
import org.testng.annotations.Test;

/**
 * Measures the fair queue against first come, first served.
 *
 * <p>Runs only if it is named explicitly.
 */
public final class AdmissionMeasure {
    private static final double MILLI_NANOS = 1e6;
    private static final long SECOND_NANOS = 1_000_000_000;
    private static final long LENGTH_NANOS = 120 * SECOND_NANOS;
    private static final int MAX_IN_FLIGHT = 128;
    private static final int SEEDS = 3;

    /**
     * A load on the target.
     *
     * @param online online requests per second outside bursts
     * @param burst online requests per second in bursts; 0 for none
     * @param batch whether batch items use the free slots
     * @param flood requests per second of one organisation that sends too many
     * @param tokens mean number of tokens per online request
     */
    private record Load(
            String name, double online, double burst, boolean batch, double flood, double tokens) {}

    /** One call at the engine and its remaining tokens. */
    private static final class EngineCall {
        private final Work mWork;
        private final long mArrivedAt;
        private long mPrefillEndsAt;
        private int mTokensLeft;
        private long mLastTokenAt = -1;

        private EngineCall(Work work, long arrivedAt, int tokens) {
            mWork = work;
            mArrivedAt = arrivedAt;
            mTokensLeft = tokens;
        }
    }

    /** An engine with continuous batching: each request in flight lengthens every step. */
    private static final class Engine {
        private static final double STEP_MILLIS = 10;
        private static final double STEP_MILLIS_PER_REQUEST = 0.35;
        private static final double PREFILL_MILLIS = 60;

        private final SplittableRandom mRandom;
        private final AdmissionQueue mQueue;
        private final Load mLoad;
        private final Map<Long, EngineCall> mWaiting = new HashMap<>();
        private final Map<Long, EngineCall> mRunning = new LinkedHashMap<>();
        private final List<Double> mFirstTokenMillis = new ArrayList<>();
        private final Map<String, List<Double>> mFirstByOrganisation = new HashMap<>();
        private final List<Double> mGapMillis = new ArrayList<>();
        private final Map<String, Long> mTokensByOrganisation = new HashMap<>();
        private long mNow;
        private long mNextArrival;
        private long mCalls;
        private long mBatchTokens;
        private long mStopped;
        private long mShed;

        Engine(long seed, Load load, AdmissionQueue queue) {
            mRandom = new SplittableRandom(seed);
            mQueue = queue;
            mLoad = load;
        }

        void run() {
            while (mNow < LENGTH_NANOS) {
                offerArrivals();
                mShed += mQueue.expire(mNow).size();
                offerBatch();
                start();
                double step = STEP_MILLIS + STEP_MILLIS_PER_REQUEST * mRunning.size();
                mNow += (long) (step * MILLI_NANOS);
                produceTokens();
            }
        }

        private void offerArrivals() {
            while (mNextArrival <= mNow) {
                boolean isBurst = mLoad.burst() > 0 && mNextArrival / SECOND_NANOS % 10 < 2;
                double rate = isBurst ? mLoad.burst() : mLoad.online();
                double all = rate + mLoad.flood();
                boolean isFlood = mRandom.nextDouble() < mLoad.flood() / all;
                String name = isFlood ? "flood" : "org-" + mRandom.nextInt(8);
                offer(name, TrafficClass.ONLINE, mNextArrival, mLoad.tokens());
                mNextArrival += (long) (-Math.log(1 - mRandom.nextDouble()) / all * SECOND_NANOS);
            }
        }

        private void offer(String name, TrafficClass trafficClass, long arrivedAt, double tokens) {
            OrganisationId id = OrganisationId.of(name);
            Work work =
                    new Work(++mCalls, trafficClass, id, 1, 1_000, arrivedAt + 20 * SECOND_NANOS);
            int count = 1 + (int) (-Math.log(1 - mRandom.nextDouble()) * tokens);
            mWaiting.put(work.call(), new EngineCall(work, arrivedAt, count));
            mShed += mQueue.offer(work, mNow).size();
            for (long call : mQueue.itemsToStop(mNow)) {
                mRunning.remove(call);
                mQueue.finished(call, mNow);
                mStopped++;
            }
            start();
        }

        private void offerBatch() {
            int slots = mLoad.batch() ? mQueue.batchSlots(mNow) : 0;
            for (int i = 0; i < slots; i++) {
                offer("batch-" + mRandom.nextInt(4), TrafficClass.BATCH, mNow, 300);
            }
        }

        private void start() {
            Optional<Work> next = mQueue.poll(mNow);
            while (next.isPresent()) {
                EngineCall engineCall = mWaiting.remove(next.get().call());
                engineCall.mPrefillEndsAt = mNow + (long) (PREFILL_MILLIS * MILLI_NANOS);
                mRunning.put(next.get().call(), engineCall);
                next = mQueue.poll(mNow);
            }
        }

        private void produceTokens() {
            for (EngineCall engineCall : List.copyOf(mRunning.values())) {
                if (engineCall.mPrefillEndsAt <= mNow) {
                    produceToken(engineCall);
                }
            }
        }

        private void produceToken(EngineCall engineCall) {
            Work work = engineCall.mWork;
            mQueue.recordChunk(work.call(), mNow);
            mBatchTokens += work.isOnline() ? 0 : 1;
            if (work.isOnline()) {
                mTokensByOrganisation.merge(work.organisation().value(), 1L, Long::sum);
                if (engineCall.mLastTokenAt < 0) {
                    double first = (mNow - engineCall.mArrivedAt) / MILLI_NANOS;
                    mFirstTokenMillis.add(first);
                    mFirstByOrganisation
                            .computeIfAbsent(work.organisation().value(), key -> new ArrayList<>())
                            .add(first);
                } else {
                    mGapMillis.add((mNow - engineCall.mLastTokenAt) / MILLI_NANOS);
                }
            }
            engineCall.mLastTokenAt = mNow;
            if (--engineCall.mTokensLeft == 0) {
                mRunning.remove(work.call());
                mQueue.finished(work.call(), mNow);
            }
        }

        /**
         * Returns the highest p99 of the time to the first token over all organisations except
         * {@code flood}.
         */
        double worstFirstTokenMillis() {
            return mFirstByOrganisation.entrySet().stream()
                    .filter(e -> !e.getKey().equals("flood"))
                    .mapToDouble(e -> percentile(e.getValue(), 99))
                    .max()
                    .orElse(0);
        }
    }

    private static double percentile(List<Double> values, int percent) {
        List<Double> sorted = values.stream().sorted().toList();
        return sorted.isEmpty() ? 0 : sorted.get((sorted.size() - 1) * percent / 100);
    }

    private static Map<String, Function<Integer, AdmissionQueue>> queues() {
        Map<String, Function<Integer, AdmissionQueue>> queues = new LinkedHashMap<>();
        queues.put("first come", max -> AdmissionQueue.fifo(AdmissionSettings.of(max)));
        queues.put("fair, no headroom", max -> fair(max, 0, 200));
        queues.put("fair, 1/8, no pause", max -> fair(max, 0.125, 0));
        queues.put("fair, 1/8", max -> AdmissionQueue.fair(AdmissionSettings.of(max)));
        queues.put("fair, 1/4", max -> fair(max, 0.25, 200));
        return queues;
    }

    private static AdmissionQueue fair(int max, double headroom, long pauseMillis) {
        AdmissionSettings standard = AdmissionSettings.of(max);
        return AdmissionQueue.fair(
                new AdmissionSettings(
                        max,
                        standard.maxWaiting(),
                        standard.maxWaitingBytes(),
                        headroom,
                        standard.gapTargetNanos(),
                        standard.firstTokenTargetNanos(),
                        (long) (pauseMillis * MILLI_NANOS)));
    }

    @Test
    public void figuresOfTheQueues() {
        List<Load> loads =
                List.of(
                        new Load("online alone", 10, 0, false, 0, 100),
                        new Load("with batch", 10, 0, true, 0, 100),
                        new Load("with batch and bursts", 10, 30, true, 0, 100),
                        new Load("one floods, with batch", 10, 0, true, 60, 100));
        loads.forEach(load -> queues().forEach((name, queue) -> run(load, name, queue)));
    }

    private static void run(Load load, String name, Function<Integer, AdmissionQueue> factory) {
        double[] sums = new double[9];
        for (int seed = 1; seed <= SEEDS; seed++) {
            Engine engine = new Engine(seed, load, factory.apply(MAX_IN_FLIGHT));
            engine.run();
            double[] figures = {
                percentile(engine.mFirstTokenMillis, 50),
                percentile(engine.mFirstTokenMillis, 95),
                percentile(engine.mFirstTokenMillis, 99),
                percentile(engine.mGapMillis, 95),
                engine.worstFirstTokenMillis(),
                engine.mBatchTokens / (double) (LENGTH_NANOS / SECOND_NANOS),
                engine.mStopped / (double) (LENGTH_NANOS / SECOND_NANOS),
                engine.mShed,
                engine.mQueue.limit()
            };
            for (int i = 0; i < figures.length; i++) {
                sums[i] += figures[i] / SEEDS;
            }
        }
        System.out.printf(
                "| %s | %s | %.0f | %.0f | %.0f | %.1f | %.0f | %.0f | %.1f | %.0f | %.0f |%n",
                load.name(),
                name,
                sums[0],
                sums[1],
                sums[2],
                sums[3],
                sums[4],
                sums[5],
                sums[6],
                sums[7],
                sums[8]);
    }

    @Test
    public void costOfADecision() {
        AdmissionQueue queue =
                AdmissionQueue.fair(
                        new AdmissionSettings(
                                64, 20_000, 1L << 30, 0.125, SECOND_NANOS, SECOND_NANOS, 0));
        List<OrganisationId> ids = new ArrayList<>();
        for (int i = 0; i < 2_600; i++) {
            ids.add(OrganisationId.of("organisation-" + i));
        }
        long call = 0;
        for (int i = 0; i < 10_000; i++) {
            queue.offer(work(++call, ids), 0);
        }
        long now = 0;
        for (int round = 0; round < 5; round++) {
            int count = 300_000;
            long start = System.nanoTime();
            for (int i = 0; i < count; i++) {
                now += 1_000;
                queue.offer(work(++call, ids), now);
                queue.itemsToStop(now);
                Work next = queue.poll(now).orElseThrow();
                queue.finished(next.call(), now);
            }
            System.out.printf(
                    "queue, 10000 of 2600 organisations wait, offer to finish: %d ns%n",
                    (System.nanoTime() - start) / count);
        }
    }

    private static Work work(long call, List<OrganisationId> ids) {
        OrganisationId id = ids.get((int) (call * 7919 % ids.size()));
        return new Work(call, TrafficClass.ONLINE, id, 1, 100, Long.MAX_VALUE - call);
    }
}
