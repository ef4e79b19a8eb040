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
 * The online requests at one agent: each runs at most once, and an entry whose connection broke
 * finds its answer again.
 */
final class OnlineCalls {
    /** Longest time to live of a request that is taken, in nanoseconds. */
    static final long MAX_TIME_TO_LIVE_NANOS = TimeUnit.MINUTES.toNanos(10);

    /** Most request ids remembered. */
    private static final int MAX_IDS = 200_000;

    private static final int MAX_ORIGINS = 10_000;

    /** How long a finished answer is kept for an entry that asks. */
    private static final long KEEP_ANSWER_NANOS = TimeUnit.SECONDS.toNanos(10);

    /** Most finished answers kept. */
    private static final int MAX_KEPT_ANSWERS = 64;

    /** How long requests of an entry that can't be reached go on. */
    private static final long ORPHAN_NANOS = TimeUnit.SECONDS.toNanos(5);

    private final Dispatcher mDispatcher;
    private final SeenRequests mSeen;
    private final Map<RequestId, OnlineRun> mActive = new HashMap<>();
    private final LinkedHashMap<RequestId, OnlineRun> mFinished = new LinkedHashMap<>();
    private final Timers<RequestId> mForget = Timers.create();
    private final Timers<HostId> mOrphans = Timers.create();
    private boolean mDraining;

    private OnlineCalls(Dispatcher dispatcher, Incarnation incarnation) {
        mDispatcher = dispatcher;
        mSeen = SeenRequests.create(incarnation, MAX_IDS, MAX_ORIGINS, MAX_TIME_TO_LIVE_NANOS);
    }

    static OnlineCalls create(Dispatcher dispatcher, Incarnation incarnation) {
        return new OnlineCalls(dispatcher, incarnation);
    }

    boolean isEmpty() {
        return mActive.isEmpty();
    }

    /** Takes no requests from now on and gives back those that wait. */
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
            case COPY -> out.send(entry, new CallMessage.Received(request));
            // An earlier life may have run a copy of a request that was meant for it.
            case ENDED, TOO_LATE, OTHER_LIFE ->
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
        mForget.set(request, now + KEEP_ANSWER_NANOS);
        if (mFinished.size() > MAX_KEPT_ANSWERS) {
            RequestId oldest = mFinished.keySet().iterator().next();
            mFinished.remove(oldest);
            mForget.clear(oldest);
        }
    }

    private static void refuse(
            HostId entry, RequestId request, ErrorKind kind, Ran ran, Effects out) {
        out.send(entry, new CallMessage.Failed(request, kind, ran, kind.title(), 0));
    }

    void ask(HostId entry, CallMessage.Ask ask, long now, Effects out) {
        RequestId request = ask.request();
        Optional<OnlineRun> run = find(request);
        if (run.isPresent() && run.get().entry().equals(entry)) {
            run.get().resume(ask, entry, out);
            return;
        }
        switch (mSeen.asked(request, ask.incarnation(), now)) {
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
                .ifPresent(run -> withdraw(run, now, out));
    }

    private void withdraw(OnlineRun run, long now, Effects out) {
        mDispatcher.cancel(run.work().call(), now, out);
        run.cancelled(now);
    }

    void entryUp(HostId entry) {
        mOrphans.clear(entry);
    }

    void entryLost(HostId entry, long now) {
        if (mActive.values().stream().anyMatch(run -> run.entry().equals(entry))) {
            mOrphans.set(entry, now + ORPHAN_NANOS);
        }
    }

    void tick(long now, Effects out) {
        Optional<HostId> entry = mOrphans.pollDue(now);
        while (entry.isPresent()) {
            withdrawAll(entry.get(), now, out);
            entry = mOrphans.pollDue(now);
        }
        Optional<RequestId> request = mForget.pollDue(now);
        while (request.isPresent()) {
            mFinished.remove(request.get());
            request = mForget.pollDue(now);
        }
    }

    /** What may not be repeated goes on to its end, as half a run helps nobody. */
    private void withdrawAll(HostId entry, long now, Effects out) {
        List<OnlineRun> orphans =
                mActive.values().stream()
                        .filter(run -> run.entry().equals(entry) && run.isRepeatable())
                        .toList();
        orphans.forEach(run -> withdraw(run, now, out));
    }

    long nextTickNanos() {
        return Math.min(mOrphans.next(), mForget.next());
    }
}
