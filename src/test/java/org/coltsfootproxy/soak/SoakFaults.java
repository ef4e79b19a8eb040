package org.coltsfootproxy.soak;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import java.util.stream.IntStream;

/** Targets of a run, and faults of targets and hosts that come from its seed. */
final class SoakFaults implements AutoCloseable {
    private static final long LINGER_MILLIS = 3_000;
    private static final long DRAIN_MILLIS = 3_000;
    private static final long GRACE_MILLIS = 8_000;

    /** Version of the configuration that a run begins with. */
    static final int FIRST_VERSION = 3;

    /** A kind of fault. */
    private enum Kind {
        CRASH,
        DARK,
        RELEASE,
        SLOW,
        ERRORS,
        LOST_ANSWERS,
        CUT_STREAMS,
        REPEATED_ANSWERS,
        FREEZE_FRONT,
        FREEZE_STORE,
        KILL_STORE,
        KILL_CORE,
        STOP_FRONT,
        STOP_STORE,
        KILL_FRONT,
        HANG_UP,
        CONFIGURE
    }

    private final SoakFleet mFleet;
    private final SoakPlan mPlan;
    private final SendLog mLog;
    private final Consumer<String> mSay;
    private final Random mRandom;
    private final List<StandInTarget> mTargets = new CopyOnWriteArrayList<>();
    private int mLastTarget;
    private int mVersion = FIRST_VERSION;
    private final AtomicInteger mAcknowledged = new AtomicInteger(FIRST_VERSION);

    SoakFaults(SoakFleet fleet, SoakPlan plan, SendLog log, Consumer<String> say)
            throws IOException {
        mFleet = fleet;
        mPlan = plan;
        mLog = log;
        mSay = say;
        mRandom = new Random(plan.seed() * 41);
        for (int i = 0; i < 6; i++) {
            mTargets.add(target(SoakRoutes.MODEL_SERVICE, SoakFleet.ZONES.get(i % 4)));
        }
        for (int i = 0; i < 4; i++) {
            mTargets.add(target(SoakRoutes.PLAIN_SERVICE, SoakFleet.ZONES.get(i)));
        }
    }

    private synchronized StandInTarget target(String service, String zone) throws IOException {
        String id = "i-" + (++mLastTarget);
        var target = new StandInTarget(id, service, zone, mFleet.targetAddress(), mPlan, mLog);
        mFleet.mList.add(target);
        return target;
    }

    /** Plays faults until a time: {@code width} rows of them, each in series. */
    void play(long untilMillis) {
        List<Thread> rows = new ArrayList<>();
        IntStream.range(0, mPlan.width())
                .forEach(
                        row -> {
                            Thread thread =
                                    new Thread(
                                            () ->
                                                    playRow(
                                                            new Random(mPlan.seed() * 43 + row),
                                                            untilMillis));
                            thread.start();
                            rows.add(thread);
                        });
        for (Thread row : rows) {
            try {
                row.join();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    private void playRow(Random random, long untilMillis) {
        while (mLog.millis() < untilMillis) {
            StandInTarget.sleep(200 + random.nextInt(1_500));
            Kind kind = Kind.values()[random.nextInt(Kind.values().length)];
            try {
                play(kind, random, untilMillis);
            } catch (IOException e) {
                mSay.accept("can't play " + kind + ": " + e);
            }
        }
    }

    private void play(Kind kind, Random random, long untilMillis) throws IOException {
        StandInTarget target = mTargets.get(random.nextInt(mTargets.size()));
        long millis = 2_000 + random.nextInt(3_500);
        double share = 0.2 + 0.6 * random.nextDouble();
        switch (kind) {
            case CRASH -> crash(target, millis);
            case DARK -> {
                mSay.accept(mLog.millis() + " ms  " + target.mId + " goes dark");
                target.goDark();
                StandInTarget.sleep(millis);
                crash(target, 500);
            }
            case RELEASE -> release(random);
            case SLOW -> behave(target, millis, "slow", b -> b.mSlowness = 5, b -> b.mSlowness = 1);
            case ERRORS -> behaveAll(millis, "errors", b -> b.mErrors = share, b -> b.mErrors = 0);
            case LOST_ANSWERS ->
                    behaveAll(millis, "lost answers", b -> b.mLost = share, b -> b.mLost = 0);
            case CUT_STREAMS ->
                    behaveAll(millis, "cut streams", b -> b.mCut = share, b -> b.mCut = 0);
            case REPEATED_ANSWERS ->
                    behaveAll(
                            millis,
                            "repeated answers",
                            b -> b.mRepeated = 0.3,
                            b -> b.mRepeated = 0);
            case FREEZE_FRONT -> freeze(one("front", random), millis);
            case FREEZE_STORE -> freeze(one("store", random), millis);
            case KILL_STORE -> kill(one("store", random), millis);
            case KILL_CORE -> kill(one("core", random), millis);
            case KILL_FRONT -> kill(one("front", random), 1_000);
            case STOP_FRONT -> stop(one("front", random));
            case STOP_STORE -> stop(one("store", random));
            case HANG_UP -> mFleet.signal(one("front", random), "HUP");
            case CONFIGURE -> configure();
            default -> throw new IllegalStateException("unknown kind " + kind);
        }
    }

    private SoakFleet.Machine one(String type, Random random) {
        List<SoakFleet.Machine> machines = mFleet.all(type);
        return machines.get(random.nextInt(machines.size()));
    }

    private void crash(StandInTarget target, long millis) throws IOException {
        if (!mTargets.remove(target)) {
            return;
        }
        mSay.accept(mLog.millis() + " ms  " + target.mId + " crashes");
        target.close();
        StandInTarget.sleep(millis);
        mFleet.mList.remove(target);
        mTargets.add(target(target.mService, target.mZone));
    }

    /** Replaces half of the targets of a service, one after the other. */
    private void release(Random random) throws IOException {
        String service = random.nextBoolean() ? SoakRoutes.MODEL_SERVICE : SoakRoutes.PLAIN_SERVICE;
        List<StandInTarget> old =
                mTargets.stream().filter(t -> t.mService.equals(service) && t.isReady()).toList();
        for (StandInTarget target : old.subList(0, old.size() / 2)) {
            mTargets.add(target(service, target.mZone));
            target.drain();
            mSay.accept(mLog.millis() + " ms  " + target.mId + " drains");
            StandInTarget.daemon(() -> leave(target), "leave");
            StandInTarget.sleep(700);
        }
    }

    private void leave(StandInTarget target) {
        StandInTarget.sleep(DRAIN_MILLIS + LINGER_MILLIS);
        try {
            if (mTargets.remove(target)) {
                mFleet.mList.remove(target);
                target.close();
            }
        } catch (IOException e) {
            mSay.accept("can't end " + target.mId + ": " + e);
        }
    }

    private void behave(
            StandInTarget target,
            long millis,
            String what,
            Consumer<StandInTarget.Behaviour> begin,
            Consumer<StandInTarget.Behaviour> end) {
        mSay.accept(mLog.millis() + " ms  " + target.mId + ": " + what);
        begin.accept(target.mBehaviour);
        StandInTarget.sleep(millis);
        end.accept(target.mBehaviour);
    }

    private void behaveAll(
            long millis,
            String what,
            Consumer<StandInTarget.Behaviour> begin,
            Consumer<StandInTarget.Behaviour> end) {
        mSay.accept(mLog.millis() + " ms  all targets: " + what);
        mTargets.forEach(target -> begin.accept(target.mBehaviour));
        StandInTarget.sleep(millis);
        mTargets.forEach(target -> end.accept(target.mBehaviour));
    }

    private void freeze(SoakFleet.Machine machine, long millis) {
        mSay.accept(mLog.millis() + " ms  " + machine.mName + " stands still");
        long fromMillis = mLog.millis();
        mFleet.signal(machine, "STOP");
        StandInTarget.sleep(millis);
        mFleet.signal(machine, "CONT");
        mLog.disrupted(machine.mName, fromMillis);
    }

    private void kill(SoakFleet.Machine machine, long millis) throws IOException {
        if (!machine.mIsWanted) {
            return;
        }
        mSay.accept(mLog.millis() + " ms  " + machine.mName + " is killed");
        long fromMillis = mLog.millis();
        mFleet.kill(machine);
        StandInTarget.sleep(millis);
        mFleet.start(machine);
        mLog.disrupted(machine.mName, fromMillis);
    }

    private void stop(SoakFleet.Machine machine) throws IOException {
        if (!machine.mIsWanted) {
            return;
        }
        mSay.accept(mLog.millis() + " ms  " + machine.mName + " is stopped");
        long fromMillis = mLog.millis();
        mFleet.stop(machine, GRACE_MILLIS);
        mFleet.start(machine);
        mLog.disrupted(machine.mName, fromMillis);
    }

    private void configure() {
        int version;
        synchronized (this) {
            version = mVersion += 1 + mRandom.nextInt(3);
        }
        mSay.accept(mLog.millis() + " ms  configuration " + version);
        if (mFleet.configure(version, 4_000)) {
            mAcknowledged.accumulateAndGet(version, Math::max);
        }
    }

    /** Returns the newest version of the configuration that was acknowledged. */
    int acknowledgedVersion() {
        return mAcknowledged.get();
    }

    /** Kills all processes; one machine that has a disk loses it. */
    void playFinalFault() throws IOException {
        SoakFleet.Machine wiped = one(mRandom.nextBoolean() ? "store" : "core", mRandom);
        mSay.accept(mLog.millis() + " ms  all are killed, " + wiped.mName + " loses its disk");
        mFleet.killAllAndWipe(wiped);
    }

    @Override
    public void close() throws IOException {
        for (StandInTarget target : mTargets) {
            target.close();
        }
    }
}
