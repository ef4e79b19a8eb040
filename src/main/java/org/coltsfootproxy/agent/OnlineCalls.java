package org.coltsfootproxy.agent;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.coltsfootproxy.admission.SeenRequests;
import org.coltsfootproxy.base.ErrorKind;
import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.base.Incarnation;
import org.coltsfootproxy.base.Ran;
import org.coltsfootproxy.base.RequestId;
import org.coltsfootproxy.base.Timers;
import org.coltsfootproxy.message.CallMessage;
import org.coltsfootproxy.node.Effects;

/**
 * The online requests at one agent. Each runs at most once, and its answer is kept for an entry
 * whose connection was lost.
 */
final class OnlineCalls {
    /** Longest time to live of an accepted request, in nanoseconds. */
    static final long MAX_TIME_TO_LIVE_NANOS = TimeUnit.MINUTES.toNanos(10);

    /** Maximum number of request ids kept. */
    private static final int MAX_REQUEST_IDS = 200_000;

    private static final int MAX_ORIGINS = 10_000;

    /** How long a finished answer is kept for an entry that asks for it. */
    private static final long ANSWER_RETENTION_NANOS = TimeUnit.SECONDS.toNanos(10);

    /** Maximum number of finished answers kept. */
    private static final int MAX_KEPT_ANSWERS = 64;

    /** How long repeatable requests of a disconnected entry continue. */
    private static final long ORPHAN_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(5);

    private final Dispatcher mDispatcher;
    private final SeenRequests mSeen;
    private final Map<RequestId, OnlineRun> mActive = new HashMap<>();
    private final LinkedHashMap<RequestId, OnlineRun> mFinished = new LinkedHashMap<>();
    private final Timers<RequestId> mAnswerExpiry = Timers.create();
    private final Timers<HostId> mOrphanTimers = Timers.create();
    private boolean mDraining;

    private OnlineCalls(Dispatcher dispatcher, Incarnation incarnation) {
        mDispatcher = dispatcher;
        mSeen =
                SeenRequests.create(
                        incarnation, MAX_REQUEST_IDS, MAX_ORIGINS, MAX_TIME_TO_LIVE_NANOS);
    }

    static OnlineCalls create(Dispatcher dispatcher, Incarnation incarnation) {
        return new OnlineCalls(dispatcher, incarnation);
    }

    boolean isEmpty() {
        return mActive.isEmpty();
    }

    /** Refuses new requests from now on and sheds the queued ones. */
    void drain(long now, Effects out) {
        mDraining = true;
        mDispatcher.drain(now, out);
    }

    void forward(HostId entry, CallMessage.Forward forward, long now, Effects out) {
        RequestId request = forward.request();
        if (mDraining) {
            refuse(entry, request, ErrorKind.STOPPING, Ran.NO, out);
            return;
        }
        switch (mSeen.arrived(request, forward.incarnation(), now)) {
            case NEW -> admit(entry, forward, now, out);
            case DUPLICATE -> out.send(entry, new CallMessage.Received(request));
            // A request sent to an earlier incarnation of this agent may have run there.
            case ENDED, TOO_LATE, OTHER_INCARNATION ->
                    refuse(entry, request, ErrorKind.ANSWER_LOST, Ran.MAYBE, out);
            case REFUSED -> out.send(entry, new CallMessage.NeverSeen(request));
            case FULL -> refuse(entry, request, ErrorKind.OVERLOADED, Ran.NO, out);
            default -> throw new AssertionError(request);
        }
    }

    private void admit(HostId entry, CallMessage.Forward forward, long now, Effects out) {
        if (forward.timeToLiveNanos() > MAX_TIME_TO_LIVE_NANOS) {
            mSeen.ended(forward.request(), now);
            refuse(entry, forward.request(), ErrorKind.MALFORMED_REQUEST, Ran.NO, out);
            return;
        }
        out.send(entry, new CallMessage.Received(forward.request()));
        long call = mDispatcher.newCall();
        OnlineRun run = OnlineRun.of(forward, entry, call, now, this::ended);
        mActive.put(forward.request(), run);
        mDispatcher.submit(run, now, out);
    }

    private void ended(OnlineRun run, long now) {
        RequestId request = run.request();
        mActive.remove(request);
        mSeen.ended(request, now);
        mFinished.put(request, run);
        mAnswerExpiry.set(request, now + ANSWER_RETENTION_NANOS);
        if (mFinished.size() > MAX_KEPT_ANSWERS) {
            RequestId oldest = mFinished.keySet().iterator().next();
            mFinished.remove(oldest);
            mAnswerExpiry.clear(oldest);
        }
    }

    private static void refuse(
            HostId entry, RequestId request, ErrorKind kind, Ran ran, Effects out) {
        out.send(entry, new CallMessage.Failed(request, kind, ran, kind.title(), 0));
    }

    void answerQuery(HostId entry, CallMessage.StateQuery query, long now, Effects out) {
        RequestId request = query.request();
        Optional<OnlineRun> run = find(request);
        if (run.isPresent() && run.get().entry().equals(entry)) {
            run.get().resume(query, entry, out);
            return;
        }
        switch (mSeen.asked(request, query.incarnation(), now)) {
            case NEVER_SEEN -> out.send(entry, new CallMessage.NeverSeen(request));
            case HAVE, ENDED, MAYBE ->
                    refuse(entry, request, ErrorKind.ANSWER_LOST, Ran.MAYBE, out);
            default -> throw new AssertionError(request);
        }
    }

    private Optional<OnlineRun> find(RequestId request) {
        OnlineRun active = mActive.get(request);
        return Optional.ofNullable(active == null ? mFinished.get(request) : active);
    }

    void cancel(CallMessage.Cancel cancel, long now, Effects out) {
        Optional.ofNullable(mActive.get(cancel.request()))
                .ifPresent(run -> cancelRun(run, now, out));
    }

    private void cancelRun(OnlineRun run, long now, Effects out) {
        mDispatcher.cancel(run.work().call(), now, out);
        run.cancelled(now);
    }

    void entryUp(HostId entry) {
        mOrphanTimers.clear(entry);
    }

    void entryLost(HostId entry, long now) {
        if (mActive.values().stream().anyMatch(run -> run.entry().equals(entry))) {
            mOrphanTimers.set(entry, now + ORPHAN_TIMEOUT_NANOS);
        }
    }

    void tick(long now, Effects out) {
        Optional<HostId> entry = mOrphanTimers.pollDue(now);
        while (entry.isPresent()) {
            cancelOrphans(entry.get(), now, out);
            entry = mOrphanTimers.pollDue(now);
        }
        Optional<RequestId> request = mAnswerExpiry.pollDue(now);
        while (request.isPresent()) {
            mFinished.remove(request.get());
            request = mAnswerExpiry.pollDue(now);
        }
    }

    /**
     * Cancels an entry's repeatable requests. Others run to their end: a partial run is of no use.
     */
    private void cancelOrphans(HostId entry, long now, Effects out) {
        List<OnlineRun> orphans =
                mActive.values().stream()
                        .filter(run -> run.entry().equals(entry) && run.isRepeatable())
                        .toList();
        orphans.forEach(run -> cancelRun(run, now, out));
    }

    long nextTickNanos() {
        return Math.min(mOrphanTimers.next(), mAnswerExpiry.next());
    }
}
