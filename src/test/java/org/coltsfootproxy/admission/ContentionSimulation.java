package org.coltsfootproxy.admission;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.TreeMap;
import java.util.function.Predicate;
import org.coltsfootproxy.base.OrganisationId;
import org.coltsfootproxy.base.ServiceId;

/**
 * Runs the admission of several entries against targets in virtual time.
 *
 * <p>Targets run requests in order of arrival in a fixed number of slots. An entry knows its own
 * calls at once and those of the others {@link #REPORT_DELAY_MILLIS} later, as from their reports.
 * Callers return at the stated time until their deadline has passed.
 */
final class ContentionSimulation {
    static final long MILLI_NANOS = 1_000_000;
    static final int ENTRIES = 17;
    static final int TARGETS = 35;
    static final int SLOTS = 8;

    /** Delay of a report between entries: its interval of 20 ms and its way over a relay. */
    private static final int REPORT_DELAY_MILLIS = 40;

    /** Time after which the report of a silent entry expires. */
    private static final int REPORT_TIMEOUT_MILLIS = 1_200;

    private static final int FIRST_EVENT_MILLIS = 30;
    private static final ServiceId SERVICE = ServiceId.of("lm");

    /** How entries decide. */
    enum Rule {
        /** In order of arrival; a request that was refused once is always sent. */
        FIRST_COME,
        /** By {@link ContentionControl}. */
        FAIR
    }

    /** A request of a caller, with what became of it. */
    static final class Call {
        final String mOrganisation;
        final int mRank;
        final String mKind;
        final int mBytes;
        final long mArrived;
        final int mHoldMillis;
        final int mGoalMillis;
        final long mDeadline;
        final long mHash;
        int mRefusals;
        boolean mIsServed;
        boolean mIsInTime;
        boolean mIsRefusedAtZeroWait;
        long mAttemptAt;
        int mEntry;

        Call(String organisation, int rank, boolean isStream, long now, Random random) {
            mOrganisation = organisation;
            mRank = rank;
            mKind = isStream ? "stream" : "plain";
            mBytes = 256 << random.nextInt(6);
            mArrived = now;
            double spread = 0.5 + random.nextDouble();
            mHoldMillis = (int) ((isStream ? 900 : 250) * spread);
            mGoalMillis = isStream ? 303 : 689;
            mDeadline = now + (isStream ? 5_057 : 5_023);
            mHash = random.nextLong();
        }
    }

    /** A target: the end of the runs in its slots, and the calls of each entry. */
    private static final class Engine {
        private final PriorityQueue<Long> mSlotEnds = new PriorityQueue<>();
        private final int[] mCalls = new int[ENTRIES];
        private final Deque<int[]> mReported = new ArrayDeque<>();

        Engine() {
            for (int n = 0; n < SLOTS; n++) {
                mSlotEnds.add(0L);
            }
            mReported.add(new int[ENTRIES]);
        }
    }

    private final Rule mRule;
    private final Random mRandom;
    private final List<Engine> mEngines = new ArrayList<>();
    private final List<ReceivedShares> mShares = new ArrayList<>();
    private final List<ContentionControl> mControls = new ArrayList<>();
    private final long[] mNextSlotAt = new long[ENTRIES];
    private final boolean[] mIsDown = new boolean[ENTRIES];
    private final Map<Long, Long> mRefused = new HashMap<>();
    private final TreeMap<Long, List<Runnable>> mEvents = new TreeMap<>();
    final List<Call> mCalls = new ArrayList<>();
    private long mNow;
    private long mPartitionedAt = Long.MAX_VALUE;
    private long mMeanHoldMillis = 700;

    ContentionSimulation(Rule rule, long seed) {
        mRule = rule;
        mRandom = new Random(seed);
        for (int n = 0; n < TARGETS; n++) {
            mEngines.add(new Engine());
        }
        for (int n = 0; n < ENTRIES; n++) {
            mShares.add(null);
            mControls.add(null);
            startEntry(n);
        }
    }

    long now() {
        return mNow;
    }

    Random random() {
        return mRandom;
    }

    /** Replaces the process of an entry, which then knows nothing. */
    void startEntry(int entry) {
        mShares.set(entry, ReceivedShares.create());
        mControls.set(entry, ContentionControl.create(mShares.get(entry)));
        mNextSlotAt[entry] = 0;
        mIsDown[entry] = false;
    }

    /** Ends the process of an entry; callers go to the others. */
    void kill(int entry) {
        mIsDown[entry] = true;
    }

    /** Cuts the links between the entries with even and those with odd numbers. */
    void partition() {
        mPartitionedAt = mNow;
    }

    /** Lets a caller send a request now. */
    void request(String organisation, int rank, boolean isStream) {
        Call call = new Call(organisation, rank, isStream, mNow, mRandom);
        mCalls.add(call);
        attempt(call);
    }

    /** Advances the time by a millisecond. */
    void step() {
        mNow++;
        while (!mEvents.isEmpty() && mEvents.firstKey() <= mNow) {
            mEvents.pollFirstEntry().getValue().forEach(Runnable::run);
        }
        for (Engine engine : mEngines) {
            engine.mReported.addLast(engine.mCalls.clone());
            if (engine.mReported.size() > REPORT_DELAY_MILLIS) {
                engine.mReported.removeFirst();
            }
        }
    }

    private void at(long time, Runnable event) {
        mEvents.computeIfAbsent(Math.max(mNow + 1, time), t -> new ArrayList<>()).add(event);
    }

    private boolean hears(int entry, int other) {
        return entry == other || mNow < mPartitionedAt || (entry - other) % 2 == 0;
    }

    private int inFlight(Engine engine, int entry) {
        int[] reported = engine.mReported.peekFirst();
        int sum = engine.mCalls[entry];
        for (int other = 0; other < ENTRIES; other++) {
            boolean isKnown = hears(entry, other) || mNow - mPartitionedAt < REPORT_TIMEOUT_MILLIS;
            sum += other != entry && isKnown ? reported[other] : 0;
        }
        return sum;
    }

    private void attempt(Call call) {
        int entry = mRandom.nextInt(ENTRIES);
        while (mIsDown[entry]) {
            entry = mRandom.nextInt(ENTRIES);
        }
        call.mEntry = entry;
        call.mAttemptAt = mNow;
        for (int other = 0; other < ENTRIES; other++) {
            if (hears(entry, other) && !mIsDown[other]) {
                ReceivedShares shares = mShares.get(other);
                long at = mNow + (other == entry ? 0 : 100);
                at(at, () -> admitted(shares, call.mOrganisation));
            }
        }
        Engine best = null;
        int least = Integer.MAX_VALUE;
        int first = mRandom.nextInt(TARGETS);
        for (int n = 0; n < TARGETS; n++) {
            Engine engine = mEngines.get((first + n) % TARGETS);
            int load = inFlight(engine, entry);
            if (load < least) {
                best = engine;
                least = load;
            }
        }
        double wait = Math.max(0, least - SLOTS + 1) * (double) mMeanHoldMillis / SLOTS;
        long returnMillis =
                mRule == Rule.FAIR ? fair(call, entry, wait) : firstCome(call, entry, wait);
        if (returnMillis == 0) {
            send(call, entry, best);
            return;
        }
        call.mRefusals++;
        call.mIsRefusedAtZeroWait |= wait <= 0;
        if (mNow + returnMillis + 20 < call.mDeadline) {
            at(mNow + returnMillis, () -> attempt(call));
        }
    }

    private void admitted(ReceivedShares shares, String organisation) {
        shares.admitted(OrganisationId.of(organisation), 1, mNow * MILLI_NANOS);
    }

    /** Decides as entries do without contention control. */
    private long firstCome(Call call, int entry, double wait) {
        long maxReturn = (call.mDeadline - mNow) / 3;
        if (wait <= 0.7 * call.mGoalMillis
                || mRefused.remove(call.mHash) != null
                || maxReturn <= 150 + call.mGoalMillis) {
            return 0;
        }
        mRefused.put(call.mHash, mNow);
        long spacing = ENTRIES * mMeanHoldMillis / (TARGETS * SLOTS);
        long earliest = mNow + 150 + (long) wait;
        mNextSlotAt[entry] = Math.max(earliest, mNextSlotAt[entry] + spacing);
        return Math.min(maxReturn, mNextSlotAt[entry] - mNow);
    }

    private long fair(Call call, int entry, double wait) {
        Long refusedAt = mRefused.remove(call.mHash);
        var request =
                new ContentionControl.Request(
                        call.mHash,
                        OrganisationId.of(call.mOrganisation),
                        1,
                        SERVICE,
                        call.mRank,
                        call.mKind,
                        call.mBytes,
                        call.mGoalMillis * MILLI_NANOS,
                        (call.mDeadline - mNow) * MILLI_NANOS,
                        refusedAt != null && mNow - refusedAt >= 50);
        double hold = mMeanHoldMillis * MILLI_NANOS;
        var load =
                new ContentionControl.Load(
                        wait * MILLI_NANOS, hold, TARGETS * SLOTS / hold, ENTRIES);
        ContentionControl.Outcome outcome =
                mControls.get(entry).decide(request, load, mNow * MILLI_NANOS);
        if (outcome.verdict().isAdmitted()) {
            return 0;
        }
        if (outcome.isReserved()) {
            mRefused.put(call.mHash, mNow);
        }
        return Math.max(1, outcome.returnNanos() / MILLI_NANOS);
    }

    private void send(Call call, int entry, Engine engine) {
        long start = Math.max(mNow, engine.mSlotEnds.poll());
        long end = start + call.mHoldMillis;
        engine.mSlotEnds.add(end);
        engine.mCalls[entry]++;
        call.mIsServed = end <= call.mDeadline;
        call.mIsInTime =
                call.mRefusals == 0
                        && call.mIsServed
                        && start + FIRST_EVENT_MILLIS - mNow <= call.mGoalMillis;
        at(end, () -> engine.mCalls[entry]--);
        mMeanHoldMillis += Math.round(0.02 * (call.mHoldMillis - mMeanHoldMillis));
    }

    /** Returns the fraction of some calls that were answered before their deadline. */
    double served(Predicate<Call> which) {
        return fraction(which, call -> call.mIsServed);
    }

    /** Returns the fraction of some calls that began within their goal and were never refused. */
    double inTime(Predicate<Call> which) {
        return fraction(which, call -> call.mIsInTime);
    }

    /** Returns the fraction of some calls that were refused at least once. */
    double refused(Predicate<Call> which) {
        return fraction(which, call -> call.mRefusals > 0);
    }

    long count(Predicate<Call> which) {
        return mCalls.stream().filter(which).count();
    }

    private double fraction(Predicate<Call> which, Predicate<Call> what) {
        long all = count(which);
        return all == 0 ? 1 : count(which.and(what)) / (double) all;
    }
}
