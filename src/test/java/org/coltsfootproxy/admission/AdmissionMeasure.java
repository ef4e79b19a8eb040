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

/** Measures the fair queue against first come, first served; run by name. */
public final class AdmissionMeasure {
    private static final double MILLI = 1e6;
    private static final long SECOND = 1_000_000_000;
    private static final long LENGTH = 120 * SECOND;
    private static final int MAX_IN_FLIGHT = 128;
    private static final int SEEDS = 3;

    /** What arrives at the target. */
    private record Load(
            String name, double online, double burst, boolean batch, double flood, double tokens) {}

    /** A call at the engine. */
    private static final class Stream {
        private final Work mWork;
        private final long mArrived;
        private long mReadyAt;
        private int mLeft;
        private long mLast = -1;

        private Stream(Work work, long arrived, int tokens) {
            mWork = work;
            mArrived = arrived;
            mLeft = tokens;
        }
    }

    /** An engine that batches continuously: each request in flight makes every step longer. */
    private static final class Engine {
        private static final double STEP_MILLIS = 10;
        private static final double STEP_MILLIS_FOR_EACH = 0.35;
        private static final double PREFILL_MILLIS = 60;

        private final SplittableRandom mRandom;
        private final AdmissionQueue mQueue;
        private final Load mLoad;
        private final Map<Long, Stream> mWaiting = new HashMap<>();
        private final Map<Long, Stream> mRunning = new LinkedHashMap<>();
        private final List<Double> mFirst = new ArrayList<>();
        private final Map<String, List<Double>> mFirstByOrganisation = new HashMap<>();
        private final List<Double> mGaps = new ArrayList<>();
        private final Map<String, Long> mTokens = new HashMap<>();
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
            while (mNow < LENGTH) {
                arrivals();
                mShed += mQueue.expire(mNow).size();
                pull();
                start();
                double step = STEP_MILLIS + STEP_MILLIS_FOR_EACH * mRunning.size();
                mNow += (long) (step * MILLI);
                tokens();
            }
        }

        private void arrivals() {
            while (mNextArrival <= mNow) {
                boolean isBurst = mLoad.burst() > 0 && mNextArrival / SECOND % 10 < 2;
                double rate = isBurst ? mLoad.burst() : mLoad.online();
                double all = rate + mLoad.flood();
                boolean isFlood = mRandom.nextDouble() < mLoad.flood() / all;
                String name = isFlood ? "flood" : "org-" + mRandom.nextInt(8);
                offer(name, TrafficClass.ONLINE, mNextArrival, mLoad.tokens());
                mNextArrival += (long) (-Math.log(1 - mRandom.nextDouble()) / all * SECOND);
            }
        }

        private void offer(String name, TrafficClass trafficClass, long arrived, double tokens) {
            OrganisationId id = OrganisationId.of(name);
            Work work = new Work(++mCalls, trafficClass, id, 1, 1_000, arrived + 20 * SECOND);
            int count = 1 + (int) (-Math.log(1 - mRandom.nextDouble()) * tokens);
            mWaiting.put(work.call(), new Stream(work, arrived, count));
            mShed += mQueue.offer(work, mNow).size();
            for (long call : mQueue.itemsToStop(mNow)) {
                mRunning.remove(call);
                mQueue.finished(call, mNow);
                mStopped++;
            }
            start();
        }

        private void pull() {
            int slots = mLoad.batch() ? mQueue.batchSlots(mNow) : 0;
            for (int i = 0; i < slots; i++) {
                offer("batch-" + mRandom.nextInt(4), TrafficClass.BATCH, mNow, 300);
            }
        }

        private void start() {
            Optional<Work> next = mQueue.poll(mNow);
            while (next.isPresent()) {
                Stream stream = mWaiting.remove(next.get().call());
                stream.mReadyAt = mNow + (long) (PREFILL_MILLIS * MILLI);
                mRunning.put(next.get().call(), stream);
                next = mQueue.poll(mNow);
            }
        }

        private void tokens() {
            for (Stream stream : List.copyOf(mRunning.values())) {
                if (stream.mReadyAt <= mNow) {
                    token(stream);
                }
            }
        }

        private void token(Stream stream) {
            Work work = stream.mWork;
            mQueue.piece(work.call(), mNow);
            mBatchTokens += work.isOnline() ? 0 : 1;
            if (work.isOnline()) {
                mTokens.merge(work.organisation().value(), 1L, Long::sum);
                if (stream.mLast < 0) {
                    double first = (mNow - stream.mArrived) / MILLI;
                    mFirst.add(first);
                    mFirstByOrganisation
                            .computeIfAbsent(work.organisation().value(), key -> new ArrayList<>())
                            .add(first);
                } else {
                    mGaps.add((mNow - stream.mLast) / MILLI);
                }
            }
            stream.mLast = mNow;
            if (--stream.mLeft == 0) {
                mRunning.remove(work.call());
                mQueue.finished(work.call(), mNow);
            }
        }

        /** Returns the worst p99 of the time to the first token among those that don't flood. */
        double worst() {
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
        queues.put("first come", max -> AdmissionQueue.firstCome(AdmissionSettings.of(max)));
        queues.put("fair, no headroom", max -> fair(max, 0, 200));
        queues.put("fair, 1/8, no pause", max -> fair(max, 0.125, 0));
        queues.put("fair, 1/8", max -> AdmissionQueue.fair(AdmissionSettings.of(max)));
        queues.put("fair, 1/4", max -> fair(max, 0.25, 200));
        return queues;
    }

    private static AdmissionQueue fair(int max, double headroom, long pauseMillis) {
        AdmissionSettings d = AdmissionSettings.of(max);
        return AdmissionQueue.fair(
                new AdmissionSettings(
                        max,
                        d.maxWaiting(),
                        d.maxWaitingBytes(),
                        headroom,
                        d.gapTargetNanos(),
                        d.firstTokenTargetNanos(),
                        (long) (pauseMillis * MILLI)));
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

    private static void run(Load load, String name, Function<Integer, AdmissionQueue> maker) {
        double[] sums = new double[9];
        for (int seed = 1; seed <= SEEDS; seed++) {
            Engine engine = new Engine(seed, load, maker.apply(MAX_IN_FLIGHT));
            engine.run();
            double[] figures = {
                percentile(engine.mFirst, 50),
                percentile(engine.mFirst, 95),
                percentile(engine.mFirst, 99),
                percentile(engine.mGaps, 95),
                engine.worst(),
                engine.mBatchTokens / (double) (LENGTH / SECOND),
                engine.mStopped / (double) (LENGTH / SECOND),
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
                        new AdmissionSettings(64, 20_000, 1L << 30, 0.125, SECOND, SECOND, 0));
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
