package org.coltsfootproxy.agent;

import java.io.ByteArrayOutputStream;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.coltsfootproxy.admission.Shed;
import org.coltsfootproxy.admission.Work;
import org.coltsfootproxy.base.OrganisationId;
import org.coltsfootproxy.base.Ran;
import org.coltsfootproxy.base.TrafficClass;
import org.coltsfootproxy.job.ItemReports;
import org.coltsfootproxy.message.Header;
import org.coltsfootproxy.message.ItemReport;
import org.coltsfootproxy.message.LeaseRef;
import org.coltsfootproxy.message.LeasedItem;
import org.coltsfootproxy.node.Effect;
import org.coltsfootproxy.node.Effects;
import org.coltsfootproxy.node.Input;

/** One run of a batch item at the agent; its complete answer is collected and reported. */
final class BatchRun implements Run {
    private static final String CONTENT_TYPE = "application/json";

    private final LeasedItem mItem;
    private final Work mWork;
    private final Reporter mReporter;
    private final ByteArrayOutputStream mBody = new ByteArrayOutputStream();
    private RunState mState = RunState.CHART.initial();
    private long mStarted;
    private int mStatus;

    /** Called once, when the run has ended. */
    @FunctionalInterface
    interface Reporter {
        void ended(BatchRun run, ItemReport report, long nowNanos, Effects out);
    }

    private BatchRun(LeasedItem item, long call, double weight, long now, Reporter reporter) {
        mItem = item;
        mReporter = reporter;
        mWork =
                new Work(
                        call,
                        TrafficClass.BATCH,
                        OrganisationId.of(item.organisation()),
                        weight,
                        item.body().length,
                        now + TimeUnit.MILLISECONDS.toNanos(item.timeoutMillis()));
    }

    static BatchRun of(LeasedItem item, long call, double weight, long now, Reporter reporter) {
        return new BatchRun(item, call, weight, now, reporter);
    }

    LeaseRef lease() {
        return mItem.lease();
    }

    @Override
    public Work work() {
        return mWork;
    }

    @Override
    public boolean isStoppable() {
        return mItem.repeatable();
    }

    @Override
    public Effect.TargetCall start(long nowNanos, Effects out) {
        mState = mState.after(RunState.Event.START);
        mStarted = nowNanos;
        return new Effect.TargetCall(
                mWork.call(),
                TrafficClass.BATCH,
                mItem.method(),
                mItem.path(),
                headers(),
                mItem.body(),
                TimeUnit.MILLISECONDS.toNanos(mItem.timeoutMillis()));
    }

    /**
     * Returns the headers. The idempotency key is the same for each run of the item, so that a
     * target can detect a repeated run.
     */
    private List<Header> headers() {
        LeaseRef lease = mItem.lease();
        String key = "item-" + lease.job() + "-" + lease.item();
        return List.of(
                Header.of("Content-Type", CONTENT_TYPE),
                Header.of("Idempotency-Key", key),
                Header.of("X-Organisation", mItem.organisation()),
                Header.of("X-Request-Id", key + "-" + lease.fence()));
    }

    @Override
    public void head(Input.TargetHead head, long nowNanos, Effects out) {
        mState = mState.after(RunState.Event.HEAD);
        mStatus = head.status();
    }

    @Override
    public void chunk(Input.TargetChunk chunk, long nowNanos, Effects out) {
        // One byte over the limit is enough to report that the answer is too large.
        int remainingBytes = ItemReports.MAX_RESULT_BYTES + 1 - mBody.size();
        mBody.write(chunk.bytes(), 0, Math.min(remainingBytes, chunk.bytes().length));
    }

    @Override
    public void completed(long nowNanos, Effects out) {
        byte[] body = mBody.toByteArray();
        end(ItemReports.ofAnswer(mItem, mStatus, body, runMillis(nowNanos)), nowNanos, out);
    }

    @Override
    public void failed(Input.TargetFailed failure, long nowNanos, Effects out) {
        boolean isCut = mState == RunState.ANSWERING;
        Ran ran = isCut ? Ran.YES : failure.ran();
        ItemReport report =
                ItemReports.ofFailure(
                        mItem, failure.kind(), ran, failure.detail(), runMillis(nowNanos));
        end(report, nowNanos, out);
    }

    @Override
    public void shed(Shed shed, long nowNanos, Effects out) {
        end(ItemReports.ofStopped(mItem, Ran.NO), nowNanos, out);
    }

    @Override
    public void stopped(long nowNanos, Effects out) {
        end(ItemReports.ofStopped(mItem, Ran.MAYBE), nowNanos, out);
    }

    private long runMillis(long now) {
        return TimeUnit.NANOSECONDS.toMillis(now - mStarted);
    }

    private void end(ItemReport report, long now, Effects out) {
        mState = mState.after(RunState.Event.END);
        mReporter.ended(this, report, now, out);
    }
}
