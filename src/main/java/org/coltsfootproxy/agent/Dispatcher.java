package org.coltsfootproxy.agent;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.coltsfootproxy.admission.AdmissionQueue;
import org.coltsfootproxy.admission.Shed;
import org.coltsfootproxy.admission.Work;
import org.coltsfootproxy.base.Metric;
import org.coltsfootproxy.node.Effect;
import org.coltsfootproxy.node.Effects;
import org.coltsfootproxy.node.Input;

/** Sends runs to the target as the admission queue allows and passes the answers back to them. */
final class Dispatcher {
    private final AdmissionQueue mQueue;
    private final Map<Long, Run> mRuns = new HashMap<>();
    private long mLastCall;

    private Dispatcher(AdmissionQueue queue) {
        mQueue = checkNotNull(queue, "queue");
    }

    static Dispatcher create(AdmissionQueue queue) {
        return new Dispatcher(queue);
    }

    /** Returns a number for a new call. */
    long newCall() {
        return ++mLastCall;
    }

    AdmissionQueue queue() {
        return mQueue;
    }

    boolean isIdle() {
        return mRuns.isEmpty();
    }

    /** Queues a run and starts the runs that the queue allows. */
    void submit(Run run, long now, Effects out) {
        mRuns.put(run.work().call(), run);
        List<Shed> shed = mQueue.offer(run.work(), now);
        shed.forEach(s -> shed(s, now, out));
        pump(now, out);
    }

    /** Stops batch items whose slots online requests need and starts the runs that may start. */
    void pump(long now, Effects out) {
        mQueue.itemsToStop(now).forEach(call -> stop(call, now, out));
        Optional<Work> next = mQueue.poll(now);
        while (next.isPresent()) {
            out.add(mRuns.get(next.get().call()).start(now, out));
            next = mQueue.poll(now);
        }
    }

    /**
     * Stops a run. A run that may not be stopped continues; the queue counts its slot as about to
     * become free.
     */
    private void stop(long call, long now, Effects out) {
        if (find(call).filter(Run::isStoppable).isEmpty()) {
            return;
        }
        out.add(new Effect.TargetCancel(call));
        out.measure(Metric.BATCH_STOPPED, "", "", 1);
        remove(call, now).ifPresent(run -> run.stopped(now, out));
    }

    private Optional<Run> remove(long call, long now) {
        Optional<Run> run = Optional.ofNullable(mRuns.remove(call));
        run.ifPresent(r -> mQueue.finished(call, now));
        return run;
    }

    /** Cancels a run whose result is no longer needed, whether it is queued or at the target. */
    void cancel(long call, long now, Effects out) {
        if (mQueue.cancel(call)) {
            mRuns.remove(call);
        } else if (remove(call, now).isPresent()) {
            out.add(new Effect.TargetCancel(call));
            pump(now, out);
        }
    }

    void head(Input.TargetHead head, long now, Effects out) {
        find(head.call()).ifPresent(run -> run.head(head, now, out));
    }

    void chunk(Input.TargetChunk chunk, long now, Effects out) {
        find(chunk.call())
                .ifPresent(
                        run -> {
                            mQueue.recordChunk(chunk.call(), now);
                            run.chunk(chunk, now, out);
                        });
    }

    void end(Input.TargetEnd end, long now, Effects out) {
        remove(end.call(), now).ifPresent(run -> run.completed(now, out));
        pump(now, out);
    }

    void failed(Input.TargetFailed failure, long now, Effects out) {
        remove(failure.call(), now).ifPresent(run -> run.failed(failure, now, out));
        pump(now, out);
    }

    private Optional<Run> find(long call) {
        return Optional.ofNullable(mRuns.get(call));
    }

    /** Sheds queued runs whose deadline has passed. */
    void tick(long now, Effects out) {
        mQueue.expire(now).forEach(shed -> shed(shed, now, out));
        pump(now, out);
    }

    long nextTickNanos() {
        return mQueue.nextExpiryNanos();
    }

    /** Sheds all queued runs, because the agent is stopping. */
    void drain(long now, Effects out) {
        mQueue.drain().forEach(shed -> shed(shed, now, out));
    }

    private void shed(Shed shed, long now, Effects out) {
        Optional.ofNullable(mRuns.remove(shed.work().call()))
                .ifPresent(run -> run.shed(shed, now, out));
    }
}
