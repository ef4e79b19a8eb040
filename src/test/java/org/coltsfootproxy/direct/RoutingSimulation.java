package org.coltsfootproxy.direct;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.coltsfootproxy.base.DataCentre;
import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.base.ServiceId;
import org.coltsfootproxy.base.SoftwareVersion;
import org.coltsfootproxy.base.TargetId;
import org.coltsfootproxy.base.TrafficClass;
import org.coltsfootproxy.message.FleetMessage;
import org.coltsfootproxy.message.ListedTarget;
import org.coltsfootproxy.work.WorkEstimate;
import org.coltsfootproxy.work.WorkFeatures;
import org.coltsfootproxy.work.WorkFeatures.DeclaredSizes;

/**
 * Entries that send streams to engines, in virtual time.
 *
 * <p>An engine runs 8 calls at once; a step, which is one token of each, takes 2.3 ms and 0.09 ms
 * for each call in it; 123 prompt tokens take 1 ms before. A third of the engines are 1.3 times
 * slower, and 0.15 of them take 2.5 times as long, by turns of 600 ms.
 */
final class RoutingSimulation {
    /** What chooses the target. */
    enum Policy {
        CALLS,
        POWER_OF_TWO,
        DECLARED,
        HINT_CORRECTED,
        LEARNED,
        ORACLE
    }

    private static final int ENGINES = 27;
    private static final int ORGANISATIONS = 71;
    private static final double STEP_MILLIS = 2;
    private static final double WARM_UP_MILLIS = 12_000;
    private static final ServiceId LM = ServiceId.of("lm");
    private static final DataCentre HERE = DataCentre.of("here");

    private final Policy mPolicy;
    private final Random mRandom;
    private final List<Engine> mEngines = new ArrayList<>();
    private final List<Entry> mEntries = new ArrayList<>();
    private final double[] mMedianOutputs = new double[ORGANISATIONS];
    private final Deque<Runnable> mDelayed = new ArrayDeque<>();
    private final Deque<Double> mDelayedUntil = new ArrayDeque<>();
    private final List<Call> mMeasured = new ArrayList<>();
    private double mNow;
    private long mCalls;

    /** One stream. */
    final class Call {
        final long mNumber = ++mCalls;
        final double mArrived = mNow;
        final int mPrompt;
        final int mOutput;
        final WorkFeatures mFeatures;
        WorkEstimate mEstimate;
        Entry mEntry;
        double mPrefillLeft;
        double mTokensLeft;
        double mFirstEventAt = Double.MAX_VALUE;

        Call() {
            int organisation = (int) (ORGANISATIONS * Math.pow(mRandom.nextDouble(), 2));
            double spread = Math.exp(0.8 * mRandom.nextGaussian());
            mOutput = (int) Math.min(4_000, Math.max(10, mMedianOutputs[organisation] * spread));
            mPrompt = (int) Math.min(20_000, 600 * Math.exp(mRandom.nextGaussian()));
            int most = (int) Math.min(4_096, mOutput * (1 + 3 * mRandom.nextDouble()));
            boolean isFarOff = mRandom.nextDouble() < 0.25;
            double error = Math.exp((isFarOff ? 1.5 : 0.3) * mRandom.nextGaussian());
            int hint = (int) Math.max(1, mOutput * error);
            mFeatures =
                    new WorkFeatures(
                            "chat",
                            "o" + organisation,
                            "",
                            new DeclaredSizes(mPrompt, most, hint),
                            4 * mPrompt);
            mPrefillLeft = mPrompt / 123.0;
            mTokensLeft = mOutput;
        }

        /** Returns the time that is left at usual speed in an engine with 6 calls. */
        double workLeft() {
            return mPrefillLeft + mTokensLeft * (2.3 + 0.09 * 6);
        }

        double firstEventMillis() {
            return mFirstEventAt - mArrived;
        }
    }

    /** One target. */
    private final class Engine {
        private final int mIndex;
        private final List<Call> mRunning = new ArrayList<>();
        private final Deque<Call> mQueue = new ArrayDeque<>();

        Engine(int index) {
            mIndex = index;
        }

        double longRun() {
            return mIndex % 3 == 0 ? 1.3 : 1;
        }

        double phase() {
            int turn = (int) (mNow / 600);
            return (mIndex * 7 + turn * 4) % ENGINES < 0.15 * ENGINES ? 2.5 : 1;
        }

        void step() {
            while (mRunning.size() < 8 && !mQueue.isEmpty()) {
                mRunning.add(mQueue.poll());
            }
            double millis = STEP_MILLIS / (longRun() * phase());
            double tokens = millis / (2.3 + 0.09 * mRunning.size());
            Iterator<Call> running = mRunning.iterator();
            while (running.hasNext()) {
                Call call = running.next();
                if (call.mPrefillLeft > 0) {
                    call.mPrefillLeft -= millis;
                    continue;
                }
                if (call.mFirstEventAt == Double.MAX_VALUE) {
                    call.mFirstEventAt = mNow;
                    call.mEntry.firstEvent(this, call);
                }
                call.mTokensLeft -= tokens;
                if (call.mTokensLeft <= 0) {
                    running.remove();
                    call.mEntry.ended(this, call);
                }
            }
        }

        /**
         * Returns the cost of a call by all that is true: its begin and a quarter of its own time.
         * Of the weights 1, 0.5 and 0.25, this one gives the earliest first events.
         */
        double trueCost(Call call) {
            double speed = longRun() * phase();
            double[] freeAt = new double[8];
            for (int i = 0; i < mRunning.size(); i++) {
                freeAt[i] = mRunning.get(i).workLeft() * speed;
            }
            Arrays.sort(freeAt);
            for (Call queued : mQueue) {
                freeAt[0] += queued.workLeft() * speed;
                Arrays.sort(freeAt);
            }
            double work = call.workLeft();
            double own = longRun() * (work + (phase() - 1) * Math.min(work, 300));
            double share = Math.min(1, (mRunning.size() + mQueue.size()) / 8.0);
            return freeAt[0] + 0.25 * own * (1 + 0.3 * share);
        }
    }

    /** One entry, with the classes under test. */
    private final class Entry {
        private final HostId mHost;
        private final Targets mTargets;
        private final LoadExchange mExchange;

        Entry(int index, FleetMessage.Listing listing) {
            mHost = HostId.of("10.0.2." + (index + 1));
            mTargets = Targets.create(HERE, new Random(mRandom.nextLong()));
            mTargets.update(listing, effect -> {});
            mTargets.work()
                    .mode(
                            mPolicy == Policy.CALLS || mPolicy == Policy.POWER_OF_TWO
                                    ? TargetRoutingMode.CALLS
                                    : TargetRoutingMode.EXPECTED_WORK);
            mExchange = LoadExchange.create(mHost, mTargets);
        }

        void arrived(Call call) {
            call.mEntry = this;
            call.mEstimate = estimate(call);
            Target target = choose(call).orElseThrow();
            int index = Integer.parseInt(target.listed().id().value().substring(1));
            mTargets.work()
                    .began(
                            target,
                            TrafficClass.ONLINE,
                            call.mNumber,
                            call.mEstimate,
                            true,
                            nanos());
            mTargets.callStarted(target, TrafficClass.ONLINE, nanos());
            mEngines.get(index).mQueue.add(call);
        }

        private WorkEstimate estimate(Call call) {
            if (mPolicy != Policy.HINT_CORRECTED) {
                return mTargets.work().estimate(LM, call.mFeatures);
            }
            DeclaredSizes sizes = call.mFeatures.declared();
            double mean =
                    sizes.prompt() / 123.0 + 2.84 * Math.min(sizes.hint(), sizes.mostOutput());
            return new WorkEstimate(mean, mean, 0, true, WorkEstimate.Source.DECLARED, 0);
        }

        private Optional<Target> choose(Call call) {
            if (mPolicy == Policy.ORACLE) {
                Engine best = mEngines.get(0);
                for (Engine engine : mEngines) {
                    best = engine.trueCost(call) < best.trueCost(call) ? engine : best;
                }
                return mTargets.byId(TargetId.of("t" + best.mIndex));
            }
            if (mPolicy == Policy.POWER_OF_TWO) {
                Target one = random();
                Target other = random();
                return Optional.of(one.inFlight(nanos()) <= other.inFlight(nanos()) ? one : other);
            }
            return mTargets.chooseForOnline(LM, target -> true, call.mEstimate, nanos());
        }

        private Target random() {
            return mTargets.byId(TargetId.of("t" + mRandom.nextInt(ENGINES))).orElseThrow();
        }

        private Target target(Engine engine) {
            return mTargets.byId(TargetId.of("t" + engine.mIndex)).orElseThrow();
        }

        void firstEvent(Engine engine, Call call) {
            Target target = target(engine);
            OptionalDouble speed = OptionalDouble.of(engine.longRun() * engine.phase());
            TargetLoad load =
                    new TargetLoad(engine.mRunning.size(), engine.mQueue.size(), 8, speed);
            mTargets.updateLoad(target, load, nanos());
            target.work().answerBegun(call.mNumber, nanos());
        }

        void ended(Engine engine, Call call) {
            Target target = target(engine);
            if (mPolicy == Policy.LEARNED) {
                mTargets.work()
                        .completed(target, call.mFeatures, call.mNumber, nanos(), effect -> {});
            }
            target.work().ended(call.mNumber);
            mTargets.callEnded(target, TrafficClass.ONLINE);
        }

        /** Sends what is due to the other entries, which get it 20 ms later. */
        void report() {
            if (nanos() < mExchange.nextReportNanos()) {
                return;
            }
            mExchange
                    .takeReport(nanos())
                    .ifPresent(
                            report -> {
                                mDelayedUntil.add(mNow + 20);
                                mDelayed.add(
                                        () ->
                                                mEntries.stream()
                                                        .filter(entry -> entry != this)
                                                        .forEach(e -> e.heard(mHost, report)));
                            });
        }

        private void heard(HostId host, FleetMessage.InFlight report) {
            mExchange.handle(host, report, nanos());
        }
    }

    RoutingSimulation(Policy policy, int entries, long seed) {
        mPolicy = policy;
        mRandom = new Random(seed);
        List<ListedTarget> listed = new ArrayList<>();
        for (int i = 0; i < ENGINES; i++) {
            mEngines.add(new Engine(i));
            listed.add(
                    new ListedTarget(
                            TargetId.of("t" + i),
                            LM,
                            HERE,
                            "10.8.0." + i + ":80",
                            false,
                            8,
                            1,
                            SoftwareVersion.UNNAMED,
                            ListedTarget.WARM));
        }
        for (int i = 0; i < ORGANISATIONS; i++) {
            mMedianOutputs[i] = 170 * Math.exp(0.6 * mRandom.nextGaussian());
        }
        for (int i = 0; i < entries; i++) {
            mEntries.add(new Entry(i, new FleetMessage.Listing(1, listed, List.of())));
        }
        List<HostId> hosts = mEntries.stream().map(entry -> entry.mHost).toList();
        mEntries.forEach(entry -> entry.mExchange.hosts(hosts));
    }

    private long nanos() {
        return (long) (mNow * TimeUnit.MILLISECONDS.toNanos(1));
    }

    /**
     * Plays waves of streams: 0.39 of the rate for 3.6 s, then 1.91 times the rate for 2.4 s.
     *
     * @return the streams that arrived after the warm-up
     */
    List<Call> play(double streamsPerSecond, double millis) {
        double next = 0;
        while (mNow < millis + 5_000) {
            while (!mDelayed.isEmpty() && mDelayedUntil.peek() <= mNow) {
                mDelayedUntil.poll();
                mDelayed.poll().run();
            }
            while (next <= mNow && mNow < millis) {
                Call call = new Call();
                mEntries.get(mRandom.nextInt(mEntries.size())).arrived(call);
                if (mNow >= WARM_UP_MILLIS) {
                    mMeasured.add(call);
                }
                double rate = streamsPerSecond / 1_000 * (mNow % 6_000 < 3_600 ? 0.39 : 1.91);
                next += -Math.log(1 - mRandom.nextDouble()) / rate;
            }
            mEngines.forEach(Engine::step);
            mEntries.forEach(Entry::report);
            mNow += STEP_MILLIS;
        }
        return mMeasured;
    }
}
