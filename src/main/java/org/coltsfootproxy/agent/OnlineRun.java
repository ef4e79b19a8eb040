package org.coltsfootproxy.agent;

import org.coltsfootproxy.admission.Shed;
import org.coltsfootproxy.admission.Work;
import org.coltsfootproxy.base.ErrorKind;
import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.base.Metric;
import org.coltsfootproxy.base.Ran;
import org.coltsfootproxy.base.RequestId;
import org.coltsfootproxy.base.TrafficClass;
import org.coltsfootproxy.message.CallMessage;
import org.coltsfootproxy.node.Effect;
import org.coltsfootproxy.node.Effects;
import org.coltsfootproxy.node.Input;

/** One online request at the agent; its answer messages are kept in an {@link AnswerBuffer}. */
final class OnlineRun implements Run {
    private static final double NANOS_PER_SECOND = 1e9;

    private final CallMessage.Forward mForward;
    private final HostId mEntry;
    private final Work mWork;
    private final long mArrived;
    private final EndListener mListener;
    private final AnswerBuffer mAnswer = new AnswerBuffer();
    private RunState mState = RunState.CHART.initial();

    /** Called once, when a run has ended. */
    @FunctionalInterface
    interface EndListener {
        void ended(OnlineRun run, long nowNanos);
    }

    private OnlineRun(
            CallMessage.Forward forward, HostId entry, long call, long now, EndListener listener) {
        mForward = forward;
        mEntry = entry;
        mArrived = now;
        mListener = listener;
        mWork =
                new Work(
                        call,
                        TrafficClass.ONLINE,
                        forward.organisation(),
                        forward.weight(),
                        forward.body().length,
                        now + forward.timeToLiveNanos());
    }

    /** Returns the run of a request that arrives now. */
    static OnlineRun of(
            CallMessage.Forward forward, HostId entry, long call, long now, EndListener listener) {
        return new OnlineRun(forward, entry, call, now, listener);
    }

    RequestId request() {
        return mForward.request();
    }

    HostId entry() {
        return mEntry;
    }

    boolean isRepeatable() {
        return mForward.repeatable();
    }

    boolean hasEnded() {
        return RunState.CHART.isTerminal(mState);
    }

    /** Sends the messages that an entry lacks after its connection was lost. */
    void resume(CallMessage.StateQuery query, HostId entry, Effects out) {
        var missing = mAnswer.since(query.headSeen(), query.nextChunk());
        if (missing.isEmpty()) {
            out.send(
                    entry,
                    failure(
                            ErrorKind.ANSWER_CUT,
                            Ran.YES,
                            "the missing part of the answer is no longer kept",
                            0));
            return;
        }
        out.send(entry, new CallMessage.RequestKnown(request()));
        missing.get().forEach(message -> out.send(entry, message));
    }

    @Override
    public Work work() {
        return mWork;
    }

    @Override
    public Effect.TargetCall start(long nowNanos, Effects out) {
        mState = mState.after(RunState.Event.START);
        out.measure(
                Metric.QUEUE_SECONDS,
                mForward.organisation().value(),
                TrafficClass.ONLINE.name(),
                (nowNanos - mArrived) / NANOS_PER_SECOND);
        return new Effect.TargetCall(
                mWork.call(),
                TrafficClass.ONLINE,
                mForward.method(),
                mForward.path(),
                mForward.headers(),
                mForward.body(),
                mWork.deadlineNanos() - nowNanos);
    }

    @Override
    public void head(Input.TargetHead head, long nowNanos, Effects out) {
        mState = mState.after(RunState.Event.HEAD);
        var message = new CallMessage.AnswerHead(request(), head.status(), head.headers());
        mAnswer.head(message);
        out.send(mEntry, message);
    }

    @Override
    public void chunk(Input.TargetChunk chunk, long nowNanos, Effects out) {
        var message = new CallMessage.AnswerChunk(request(), mAnswer.nextChunk(), chunk.bytes());
        mAnswer.chunk(message);
        out.send(mEntry, message);
    }

    @Override
    public void completed(long nowNanos, Effects out) {
        end(new CallMessage.AnswerEnd(request(), mAnswer.nextChunk()), nowNanos, out);
    }

    @Override
    public void failed(Input.TargetFailed failure, long nowNanos, Effects out) {
        boolean isCut = mState == RunState.ANSWERING;
        ErrorKind kind = isCut ? ErrorKind.ANSWER_CUT : failure.kind();
        Ran ran = isCut ? Ran.YES : failure.ran();
        end(failure(kind, ran, failure.detail(), 0), nowNanos, out);
    }

    @Override
    public void shed(Shed shed, long nowNanos, Effects out) {
        String detail = "removed from the queue of the target's agent";
        end(failure(shed.kind(), Ran.NO, detail, shed.retryAfterMillis()), nowNanos, out);
    }

    @Override
    public boolean isStoppable() {
        return false;
    }

    @Override
    public void stopped(long nowNanos, Effects out) {
        throw new IllegalStateException("online request " + request() + " can't be stopped");
    }

    /** Notes that the run was cancelled, so that its answer is not needed. */
    void cancelled(long nowNanos) {
        mState = mState.after(RunState.Event.END);
        mListener.ended(this, nowNanos);
    }

    private CallMessage failure(ErrorKind kind, Ran ran, String detail, long retryAfterMillis) {
        return new CallMessage.Failed(request(), kind, ran, detail, retryAfterMillis);
    }

    private void end(CallMessage message, long nowNanos, Effects out) {
        mState = mState.after(RunState.Event.END);
        mAnswer.end(message);
        out.send(mEntry, message);
        mListener.ended(this, nowNanos);
    }
}
