package org.coltsfootproxy.platform;

import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.coltsfootproxy.base.ErrorKind;
import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.base.Ran;
import org.coltsfootproxy.base.TrafficClass;
import org.coltsfootproxy.message.Header;
import org.coltsfootproxy.node.Effect;
import org.coltsfootproxy.node.Input;
import org.coltsfootproxy.node.VirtualFleet;

/**
 * A simulated target of the platform in virtual time.
 *
 * <p>Has slots and a first-in, first-out queue, answers with a body or a resumable stream of
 * events, and fails in the ways that its fields select.
 */
final class SimulatedTarget {
    private static final long MILLI_NANOS = 1_000_000;
    private static final long LINK_NANOS = MILLI_NANOS;

    /** Time by which the list lags behind what it shows of cold targets. */
    private static final long LIST_LAG_NANOS = 800 * MILLI_NANOS;

    final String mId;
    final String mService;
    final String mAddress;
    final String mDataCentre;
    final List<Run> mRuns = new ArrayList<>();

    /** All calls that have reached the target, also those that it refused. */
    final List<Run> mArrivals = new ArrayList<>();

    /** Fourth figure of the load with its comma; empty if the target does not tell its speed. */
    String mSpeed = "";

    int mSlots = 8;
    int mQueueCapacity = 24;
    int mEventCount = 10;

    /** Number of events of a batch item; 0 for as many as of other requests. */
    int mItemEventCount;

    long mEventIntervalNanos = 20 * MILLI_NANOS;

    /** Whether streams have no end and events of {@link #mPaddingBytes}. */
    boolean mIsEndless;

    /** Bytes that are added to the data of each event. */
    int mPaddingBytes;

    boolean mIsPlain;

    /** Body of an answer that is no stream. */
    String mPlainBody = "card";

    boolean mIsDraining;
    boolean mIsDown;
    boolean mIsSilent;

    /** Error status of requests that start from now on; 0 for success. */
    int mErrorStatus;

    /** Number of the event within which the next stream is cut; 0 for none. */
    int mCutAtEvent;

    /**
     * Number of the event at which the connection of the next stream without length ends, as it
     * also does at the stream's regular end; 0 for none.
     */
    int mClosesAtEvent;

    /** Number of characters of that event that are sent before. */
    int mCharsBeforeClose;

    /** Event at which the next resumed stream goes on; 0 for the one that follows. */
    int mResumesAt;

    /** What the target sends every event interval instead of an event, from this event on. */
    String mFiller = "";

    /** Number of the first event that {@link #mFiller} replaces. */
    int mFillerFrom = 1;

    /** Version of the software, in the list and at the end of each event; empty for none. */
    String mVersion = "";

    /** Whether answers say that the target is leaving. */
    boolean mSaysLeaving;

    /** Limit that answers name, in requests a second; 0 for none. */
    double mRequestsPerSecond;

    /** When the target started, in the list of targets. */
    long mStartedAt = 1;

    /** Whether the list shows how long the target is still cold. */
    boolean mTellsCold;

    /** When the latest cold period began and ends; equal if there was none. */
    long mColdFrom;

    long mColdUntil;

    /** {@link #mStartedAt} before the latest cold period. */
    long mStartedBefore = 1;

    /** Whether answers say how long the target is still cold. */
    boolean mSaysCold;

    /** Whether answers lack the target's signature. */
    boolean mIsUnsigned;

    /** Prompt part on which the target crashes as it begins an answer; empty for none. */
    String mCrashingPart = "";

    /** Path of the requests that crash the target when they run; empty for none. */
    String mCrashingPath = "";

    /** Number of events that such a request gets before the crash; 0 if not even the head. */
    int mEventsBeforeCrash;

    /** Called when the target has crashed. */
    Runnable mOnCrash = () -> {};

    /** Whether the connection of the next request is cut after it has run but before any answer. */
    boolean mCutsNextAnswer;

    private final VirtualFleet mFleet;
    private final Map<CallKey, Run> mOpenCalls = new LinkedHashMap<>();
    private final Deque<Run> mWaitingRuns = new ArrayDeque<>();
    private int mRunningCount;

    private record CallKey(HostId host, long call) {}

    /** One call to this target. */
    static final class Run {
        final String mRequest;
        final String mOrganisation;
        final long mArrivalNanos;
        final int mResumeAfter;
        final Effect.TargetCall mCall;
        final HostId mHost;
        private boolean mHasHead;
        boolean mIsFinished;

        Run(HostId host, Effect.TargetCall call, long arrivalNanos) {
            mHost = host;
            mCall = call;
            mArrivalNanos = arrivalNanos;
            mRequest = PlatformHeaders.value(call.headers(), "Request-Id").orElse("");
            mOrganisation = PlatformHeaders.value(call.headers(), "Tenant").orElse("");
            mResumeAfter =
                    PlatformHeaders.value(call.headers(), "Last-Event-Id")
                            .map(Integer::parseInt)
                            .orElse(0);
        }

        private boolean isFor(String id) {
            return PlatformHeaders.value(mCall.headers(), "Target-Instance").orElse(id).equals(id);
        }
    }

    SimulatedTarget(
            VirtualFleet fleet, String id, String service, String dataCentre, String address) {
        mFleet = fleet;
        mId = id;
        mService = service;
        mDataCentre = dataCentre;
        mAddress = address;
    }

    /** Returns the entry of the list of targets. */
    String listEntry() {
        long shownAt = mFleet.now() - LIST_LAG_NANOS;
        boolean isStartShown = !mTellsCold || shownAt >= mColdFrom;
        long coldMillis = isStartShown ? Math.max(0, (mColdUntil - shownAt) / MILLI_NANOS) : 0;
        return String.format(
                "{\"service\":\"%s\",\"addr\":\"%s\",\"zone\":\"%s\",\"slots\":%d,\"state\":\"%s\","
                        + "\"born\":%d,%s%s\"id\":\"%s\"}",
                mService,
                mAddress,
                mDataCentre,
                mSlots,
                mIsDraining ? "draining" : "ready",
                isStartShown ? mStartedAt : mStartedBefore,
                mTellsCold ? "\"cold_left_ms\":" + coldMillis + "," : "",
                mVersion.isEmpty() ? "" : "\"version\":\"" + mVersion + "\",",
                mId);
    }

    int running() {
        return mRunningCount;
    }

    /** Makes the target cold from now on. */
    void turnCold(long nanos) {
        mColdFrom = mFleet.now();
        mColdUntil = mColdFrom + nanos;
        mStartedBefore = mStartedAt;
    }

    /** Starts the target again under the same id, cold. */
    void startCold(long nanos) {
        turnCold(nanos);
        mIsDown = false;
        mStartedAt++;
    }

    /** Returns when calls arrived while the target was cold, without those for other targets. */
    long[] coldArrivals() {
        return mArrivals.stream()
                .filter(run -> run.isFor(mId))
                .mapToLong(run -> run.mArrivalNanos)
                .filter(at -> at >= mColdFrom && at < mColdUntil)
                .sorted()
                .toArray();
    }

    void call(HostId host, Effect.TargetCall call) {
        mFleet.after(LINK_NANOS, () -> accept(host, call));
        mFleet.after(
                call.timeoutNanos(),
                () -> {
                    Run run = mOpenCalls.remove(new CallKey(host, call.call()));
                    if (run != null) {
                        finish(run);
                        fail(host, call.call(), ErrorKind.TARGET_TIMEOUT, Ran.MAYBE);
                    }
                });
    }

    private void accept(HostId host, Effect.TargetCall call) {
        Run run = new Run(host, call, mFleet.now());
        if (!mIsDown) {
            mArrivals.add(run);
        }
        if (mIsDown) {
            fail(host, call.call(), ErrorKind.TARGET_FAILED, Ran.NO);
        } else if (mIsSilent) {
            mOpenCalls.put(new CallKey(host, call.call()), run);
        } else if (!run.isFor(mId)) {
            refuse(run, 421);
        } else if (mRunningCount >= mSlots && mWaitingRuns.size() >= mQueueCapacity) {
            refuse(run, 503);
        } else {
            mOpenCalls.put(new CallKey(host, call.call()), run);
            mWaitingRuns.add(run);
            startNext();
        }
    }

    private void refuse(Run run, int status) {
        answer(run, status, List.of(Header.of("Not-Run", "1")), "");
    }

    private void startNext() {
        while (!mIsDown && mRunningCount < mSlots && !mWaitingRuns.isEmpty()) {
            Run run = mWaitingRuns.remove();
            if (!run.mIsFinished) {
                start(run);
            }
        }
    }

    private void start(Run run) {
        mRunningCount++;
        mRuns.add(run);
        if (crashesOn(run) && mEventsBeforeCrash == 0) {
            mFleet.after(mEventIntervalNanos, () -> crash(run));
        } else if (mErrorStatus != 0) {
            int status = mErrorStatus;
            mFleet.after(
                    mEventIntervalNanos,
                    () -> end(run, () -> answer(run, status, List.of(), "no")));
        } else if (mCutsNextAnswer) {
            mCutsNextAnswer = false;
            mFleet.after(mEventIntervalNanos, () -> cutAnswer(run));
        } else if (mIsPlain) {
            mFleet.after(
                    mEventIntervalNanos,
                    () -> end(run, () -> answer(run, 200, List.of(), mPlainBody)));
        } else {
            int first = firstEvent(run);
            mFleet.after(mEventIntervalNanos, () -> event(run, first));
        }
    }

    private int firstEvent(Run run) {
        int resumesAt = run.mResumeAfter > 0 ? mResumesAt : 0;
        mResumesAt = run.mResumeAfter > 0 ? 0 : mResumesAt;
        return resumesAt > 0 ? resumesAt : run.mResumeAfter + 1;
    }

    private void event(Run run, int number) {
        if (run.mIsFinished) {
            return;
        }
        if (!run.mHasHead) {
            run.mHasHead = true;
            head(run, 200, List.of(Header.of("Content-Type", "text/event-stream")));
        }
        boolean isItem = run.mCall.trafficClass() == TrafficClass.BATCH && mItemEventCount > 0;
        int lastEvent = isItem ? mItemEventCount : mEventCount;
        if (number > lastEvent && !mIsEndless) {
            end(run, () -> deliver(run.mHost, new Input.TargetEnd(run.mCall.call())));
            return;
        }
        String version = mVersion.isEmpty() ? "" : "@" + mVersion;
        String data = run.mRequest + "-" + number + version + "x".repeat(mPaddingBytes);
        String text = "id: " + number + "\ndata: " + data + "\n\n";
        boolean hasItsEvents = number > run.mResumeAfter + mEventsBeforeCrash;
        if (holdsCrashingPart(run) || crashesOn(run) && hasItsEvents) {
            chunk(run, text.substring(0, text.length() / 2));
            crash();
            return;
        }
        if (!mFiller.isEmpty() && number >= mFillerFrom) {
            chunk(run, mFiller);
            mFleet.after(mEventIntervalNanos, () -> event(run, number));
            return;
        }
        if (mClosesAtEvent == number) {
            mClosesAtEvent = 0;
            chunk(run, text.substring(0, mCharsBeforeClose));
            end(run, () -> deliver(run.mHost, new Input.TargetEnd(run.mCall.call(), true)));
            return;
        }
        if (mCutAtEvent == number) {
            mCutAtEvent = 0;
            chunk(run, text.substring(0, text.length() / 2));
            cutAnswer(run);
            return;
        }
        chunk(run, text);
        if (number == lastEvent && !mIsEndless) {
            end(run, () -> deliver(run.mHost, new Input.TargetEnd(run.mCall.call())));
        } else {
            mFleet.after(mEventIntervalNanos, () -> event(run, number + 1));
        }
    }

    private boolean holdsCrashingPart(Run run) {
        return !mCrashingPart.isEmpty()
                && PlatformHeaders.value(run.mCall.headers(), "Prompt-Prefix")
                        .filter(parts -> parts.contains(mCrashingPart + ":"))
                        .isPresent();
    }

    private boolean crashesOn(Run run) {
        return run.mCall.path().equals(mCrashingPath);
    }

    private void crash(Run run) {
        if (!run.mIsFinished) {
            crash();
        }
    }

    private void cutAnswer(Run run) {
        end(run, () -> fail(run.mHost, run.mCall.call(), ErrorKind.ANSWER_CUT, Ran.MAYBE));
    }

    private void end(Run run, Runnable last) {
        if (!run.mIsFinished) {
            last.run();
            mOpenCalls.remove(new CallKey(run.mHost, run.mCall.call()));
            finish(run);
        }
    }

    private void finish(Run run) {
        if (!run.mIsFinished && mRuns.contains(run)) {
            mRunningCount--;
        }
        run.mIsFinished = true;
        startNext();
    }

    /** Ends a call whose sender has closed the connection. */
    void cancel(HostId host, long call) {
        mFleet.after(
                LINK_NANOS,
                () -> {
                    Run run = mOpenCalls.remove(new CallKey(host, call));
                    if (run != null) {
                        finish(run);
                    }
                });
    }

    /** Ends the calls of a host whose process has ended, together with its connections. */
    void callerEnded(HostId host) {
        for (CallKey key : List.copyOf(mOpenCalls.keySet())) {
            if (key.host().equals(host)) {
                finish(mOpenCalls.remove(key));
            }
        }
    }

    /** Stops the target and cuts all calls in flight. */
    void crash() {
        mIsDown = true;
        for (Run run : List.copyOf(mOpenCalls.values())) {
            if (run.mHasHead) {
                end(run, () -> fail(run, ErrorKind.ANSWER_CUT, Ran.YES));
            } else {
                end(run, () -> fail(run, ErrorKind.TARGET_FAILED, Ran.MAYBE));
            }
        }
        mOnCrash.run();
    }

    private void answer(Run run, int status, List<Header> headers, String body) {
        head(run, status, headers);
        chunk(run, body);
        deliver(run.mHost, new Input.TargetEnd(run.mCall.call()));
    }

    private void head(Run run, int status, List<Header> extraHeaders) {
        List<Header> headers = new ArrayList<>(extraHeaders);
        headers.add(Header.of("Request-Id", run.mRequest));
        if (mSaysLeaving) {
            headers.add(Header.of("Server-Leaving", "1"));
        }
        if (mSaysCold && mFleet.now() < mColdUntil) {
            long leftMillis = (mColdUntil - mFleet.now()) / MILLI_NANOS;
            headers.add(Header.of("Cold-Ms", Long.toString(leftMillis)));
        }
        if (mRequestsPerSecond > 0) {
            headers.add(Header.of("Server-Limit", Double.toString(mRequestsPerSecond)));
        }
        if (!mIsUnsigned) {
            headers.add(Header.of("Server-Stamp", mId));
        }
        headers.add(
                Header.of(
                        "Server-Load",
                        mRunningCount + "," + mWaitingRuns.size() + "," + mSlots + mSpeed));
        deliver(run.mHost, new Input.TargetHead(run.mCall.call(), status, headers));
    }

    private void chunk(Run run, String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        deliver(run.mHost, new Input.TargetChunk(run.mCall.call(), bytes));
    }

    private void fail(HostId host, long call, ErrorKind kind, Ran ran) {
        deliver(host, new Input.TargetFailed(call, kind, ran, "the target failed"));
    }

    private void fail(Run run, ErrorKind kind, Ran ran) {
        fail(run.mHost, run.mCall.call(), kind, ran);
    }

    private void deliver(HostId host, Input input) {
        mFleet.after(LINK_NANOS, () -> mFleet.deliver(host, input));
    }
}
