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
import org.coltsfootproxy.message.Header;
import org.coltsfootproxy.node.Effect;
import org.coltsfootproxy.node.Input;
import org.coltsfootproxy.node.VirtualFleet;

/**
 * A target of the platform in virtual time: slots, a queue in order of arrival, events that may be
 * resumed, and the ways in which it fails.
 */
final class FakeEngine {
    private static final long MILLI = 1_000_000;
    private static final long LINK_NANOS = MILLI;

    final String mId;
    final String mService;
    final String mAddress;
    final String mZone;
    final List<Run> mRuns = new ArrayList<>();
    int mSlots = 8;
    int mQueue = 24;
    int mEvents = 10;
    long mEventNanos = 20 * MILLI;
    boolean mIsPlain;
    boolean mIsLeaving;
    boolean mIsDown;
    boolean mIsSilent;

    /** Status with which the next requests fail, 0 for none. */
    int mStatus;

    /** Event within which the next stream breaks off, 0 for none. */
    int mBreakAt;

    /** Whether answers lack the signature. */
    boolean mIsUnsigned;

    /** Whether the next stream breaks off at its start, after it has begun to run. */
    boolean mLosesAnswer;

    private final VirtualFleet mFleet;
    private final Map<Key, Run> mOpen = new LinkedHashMap<>();
    private final Deque<Run> mWaiting = new ArrayDeque<>();
    private int mRunning;

    private record Key(HostId host, long call) {}

    /** One call that ran here. */
    static final class Run {
        final String mRequest;
        final String mTenant;
        final long mAt;
        final int mFrom;
        final Effect.TargetCall mCall;
        final HostId mHost;
        private boolean mHasHead;
        boolean mIsOver;

        Run(HostId host, Effect.TargetCall call, long at) {
            mHost = host;
            mCall = call;
            mAt = at;
            mRequest = Wire.value(call.headers(), "Request-Id").orElse("");
            mTenant = Wire.value(call.headers(), "Tenant").orElse("");
            mFrom = Wire.value(call.headers(), "Last-Event-Id").map(Integer::parseInt).orElse(0);
        }
    }

    FakeEngine(VirtualFleet fleet, String id, String service, String zone, String address) {
        mFleet = fleet;
        mId = id;
        mService = service;
        mZone = zone;
        mAddress = address;
    }

    int running() {
        return mRunning;
    }

    void call(HostId host, Effect.TargetCall call) {
        mFleet.after(LINK_NANOS, () -> arrive(host, call));
        mFleet.after(
                call.timeoutNanos(),
                () -> {
                    Run run = mOpen.remove(new Key(host, call.call()));
                    if (run != null) {
                        over(run);
                        fail(host, call.call(), ErrorKind.TARGET_TIMEOUT, Ran.MAYBE);
                    }
                });
    }

    private void arrive(HostId host, Effect.TargetCall call) {
        Run run = new Run(host, call, mFleet.now());
        if (mIsDown) {
            fail(host, call.call(), ErrorKind.TARGET_FAILED, Ran.NO);
        } else if (mIsSilent) {
            mOpen.put(new Key(host, call.call()), run);
        } else if (!Wire.value(call.headers(), "Target-Instance").orElse(mId).equals(mId)) {
            refuse(run, 421);
        } else if (mRunning >= mSlots && mWaiting.size() >= mQueue) {
            refuse(run, 503);
        } else {
            mOpen.put(new Key(host, call.call()), run);
            mWaiting.add(run);
            startNext();
        }
    }

    private void refuse(Run run, int status) {
        answer(run, status, List.of(Header.of("Not-Run", "1")), "");
    }

    private void startNext() {
        while (mRunning < mSlots && !mWaiting.isEmpty()) {
            Run run = mWaiting.remove();
            if (!run.mIsOver) {
                start(run);
            }
        }
    }

    private void start(Run run) {
        mRunning++;
        mRuns.add(run);
        if (mStatus != 0) {
            int status = mStatus;
            mFleet.after(mEventNanos, () -> end(run, () -> answer(run, status, List.of(), "no")));
        } else if (mLosesAnswer) {
            mLosesAnswer = false;
            mFleet.after(mEventNanos, () -> breakOff(run));
        } else if (mIsPlain) {
            mFleet.after(mEventNanos, () -> end(run, () -> answer(run, 200, List.of(), "card")));
        } else {
            mFleet.after(mEventNanos, () -> event(run, run.mFrom + 1));
        }
    }

    private void event(Run run, int number) {
        if (run.mIsOver) {
            return;
        }
        if (!run.mHasHead) {
            run.mHasHead = true;
            head(run, 200, List.of(Header.of("Content-Type", "text/event-stream")));
        }
        String text = "id: " + number + "\ndata: " + run.mRequest + "-" + number + "\n\n";
        if (mBreakAt == number) {
            mBreakAt = 0;
            chunk(run, text.substring(0, text.length() / 2));
            breakOff(run);
            return;
        }
        chunk(run, text);
        if (number == mEvents) {
            end(run, () -> deliver(run.mHost, new Input.TargetEnd(run.mCall.call())));
        } else {
            mFleet.after(mEventNanos, () -> event(run, number + 1));
        }
    }

    private void breakOff(Run run) {
        end(run, () -> fail(run.mHost, run.mCall.call(), ErrorKind.ANSWER_CUT, Ran.MAYBE));
    }

    private void end(Run run, Runnable last) {
        if (!run.mIsOver) {
            last.run();
            mOpen.remove(new Key(run.mHost, run.mCall.call()));
            over(run);
        }
    }

    private void over(Run run) {
        if (!run.mIsOver && mRuns.contains(run)) {
            mRunning--;
        }
        run.mIsOver = true;
        startNext();
    }

    /** The caller has closed the connection. */
    void cancel(HostId host, long call) {
        mFleet.after(
                LINK_NANOS,
                () -> {
                    Run run = mOpen.remove(new Key(host, call));
                    if (run != null) {
                        over(run);
                    }
                });
    }

    /** Ends the engine with all that runs there. */
    void crash() {
        mIsDown = true;
        for (Run run : List.copyOf(mOpen.values())) {
            breakOff(run);
        }
    }

    private void answer(Run run, int status, List<Header> headers, String body) {
        head(run, status, headers);
        chunk(run, body);
        deliver(run.mHost, new Input.TargetEnd(run.mCall.call()));
    }

    private void head(Run run, int status, List<Header> more) {
        List<Header> headers = new ArrayList<>(more);
        headers.add(Header.of("Request-Id", run.mRequest));
        if (!mIsUnsigned) {
            headers.add(Header.of("Server-Stamp", mId));
        }
        headers.add(Header.of("Server-Load", mRunning + "," + mWaiting.size() + "," + mSlots));
        deliver(run.mHost, new Input.TargetHead(run.mCall.call(), status, headers));
    }

    private void chunk(Run run, String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        deliver(run.mHost, new Input.TargetChunk(run.mCall.call(), bytes));
    }

    private void fail(HostId host, long call, ErrorKind kind, Ran ran) {
        deliver(host, new Input.TargetFailed(call, kind, ran, "the engine failed"));
    }

    private void deliver(HostId host, Input input) {
        mFleet.after(LINK_NANOS, () -> mFleet.deliver(host, input));
    }
}
