package org.coltsfootproxy.entry;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.coltsfootproxy.base.ErrorKind;
import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.base.Incarnation;
import org.coltsfootproxy.base.Metric;
import org.coltsfootproxy.base.Ran;
import org.coltsfootproxy.base.RequestId;
import org.coltsfootproxy.base.Timers;
import org.coltsfootproxy.base.TrafficClass;
import org.coltsfootproxy.config.ConfigView;
import org.coltsfootproxy.config.Organisation;
import org.coltsfootproxy.config.Route;
import org.coltsfootproxy.limit.Decision;
import org.coltsfootproxy.limit.Limiter;
import org.coltsfootproxy.message.CallMessage;
import org.coltsfootproxy.node.Effects;
import org.coltsfootproxy.node.Input;
import org.coltsfootproxy.routing.AgentChooser;
import org.coltsfootproxy.routing.FailedTry;
import org.coltsfootproxy.routing.Outcome;
import org.coltsfootproxy.routing.RetryPolicy;

/**
 * The online requests at one entry, from the caller's call to the end of its answer.
 *
 * <p>A request goes to one agent at a time. When the agent falls silent it is asked by request id;
 * only an answer that the request has not run, or one that may be repeated, lets it go to another.
 */
final class OnlineRequests {
    /** When a caller may come back after no target could take its request, in milliseconds. */
    private static final long RETRY_AFTER_MILLIS = 1_000;

    private final EntrySettings mSettings;
    private final long mOrigin;
    private final AgentPool mAgents;
    private final RetryPolicy mRetries;
    private final Map<RequestId, Request> mRequests = new HashMap<>();
    private final Map<Long, Request> mByCall = new HashMap<>();
    private final Timers<RequestId> mTimers = Timers.create();
    private ConfigView mView = ConfigView.empty();
    private Limiter mLimiter;
    private long mLastSequence;

    private OnlineRequests(
            EntrySettings settings, long origin, AgentPool agents, RetryPolicy retries) {
        mSettings = settings;
        mOrigin = origin;
        mAgents = agents;
        mRetries = retries;
    }

    /**
     * Returns the requests of an entry that has none yet.
     *
     * @param origin random number of this life of the entry
     */
    static OnlineRequests create(
            EntrySettings settings, long origin, AgentPool agents, RetryPolicy retries) {
        return new OnlineRequests(settings, origin, agents, retries);
    }

    /** Names the limiter, which in turn tells this object its decisions. */
    void limitedBy(Limiter limiter) {
        mLimiter = limiter;
    }

    void configure(ConfigView view) {
        mView = view;
    }

    boolean isEmpty() {
        return mRequests.isEmpty();
    }

    /** Begins a request whose route and organisation were checked. */
    void begin(Input.HttpCall call, Route route, Organisation organisation, long now, Effects out) {
        RequestId id = RequestId.of(mOrigin, ++mLastSequence);
        long deadline = now + TimeUnit.MILLISECONDS.toNanos(route.timeoutMillis());
        Request request = Request.of(id, call, route, organisation, now, deadline);
        mRequests.put(id, request);
        mByCall.put(call.call(), request);
        mTimers.set(id, deadline);
        if (route.open()) {
            admitted(request, now, out);
        } else {
            decided(
                    call.call(),
                    mLimiter.tryAcquire(organisation.id(), call.call(), now, out),
                    now,
                    out);
        }
    }

    /** Takes the limiter's decision on a call. */
    void decided(long call, Decision decision, long now, Effects out) {
        Request request = mByCall.get(call);
        if (request == null || !request.isIn(RequestState.ADMITTING)) {
            return;
        }
        switch (decision.verdict()) {
            case WAIT -> mTimers.set(request.id(), request.deadline());
            case ADMITTED -> admitted(request, now, out);
            case REFUSED, UNAVAILABLE ->
                    fail(
                            request,
                            Failure.notRun(
                                    decision.errorKind(),
                                    decision.errorKind().title(),
                                    decision.retryAfterMillis()),
                            out);
            default -> throw new AssertionError(decision);
        }
    }

    private void admitted(Request request, long now, Effects out) {
        mRetries.firstTry();
        String detail = "no target of " + request.route().service() + " can take the request";
        send(request, Failure.notRun(ErrorKind.NO_TARGET, detail, RETRY_AFTER_MILLIS), now, out);
    }

    /**
     * Sends a request to an agent.
     *
     * @param otherwise what to answer if no agent can take it
     */
    private void send(Request request, Failure otherwise, long now, Effects out) {
        Optional<AgentChooser> chooser = mAgents.chooser(request.route().service());
        OptionalLong prefix = ForwardMessages.prefixHash(request, mView);
        Optional<HostId> agent = chooser.flatMap(c -> c.choose(prefix, request.tried(), now));
        Optional<Incarnation> incarnation =
                agent.flatMap(a -> chooser.flatMap(c -> c.incarnation(a)));
        if (incarnation.isEmpty()) {
            fail(request, otherwise, out);
            return;
        }
        chooser.get().sent(agent.get(), now);
        request.sentTo(agent.get(), incarnation.get(), now);
        out.send(agent.get(), ForwardMessages.of(request, now));
        mTimers.set(request.id(), now + mSettings.receiptNanos());
    }

    /** Handles what an agent says about a request. */
    void handle(HostId agent, CallMessage message, long now, Effects out) {
        Request request = mRequests.get(message.request());
        if (request == null) {
            return;
        }
        if (!request.isAt(agent)) {
            return;
        }
        request.heardNow(now);
        if (message instanceof CallMessage.Received || message instanceof CallMessage.Have) {
            request.move(RequestState.Event.RECEIVED);
            schedule(request, now);
        } else if (message instanceof CallMessage.AnswerHead head) {
            head(request, head, now, out);
        } else if (message instanceof CallMessage.AnswerChunk chunk) {
            chunk(request, chunk, now, out);
        } else if (message instanceof CallMessage.AnswerEnd end) {
            end(request, end, now, out);
        } else if (message instanceof CallMessage.Failed failed) {
            failed(request, failed, now, out);
        } else if (message instanceof CallMessage.NeverSeen) {
            neverSeen(request, now, out);
        }
    }

    private void head(Request request, CallMessage.AnswerHead head, long now, Effects out) {
        if (!request.headSeen()) {
            request.headArrived();
            request.move(RequestState.Event.HEAD);
            CallerAnswers.head(request, head, now, out);
            schedule(request, now);
        }
    }

    private void chunk(Request request, CallMessage.AnswerChunk chunk, long now, Effects out) {
        if (!request.headSeen() || chunk.sequence() > request.nextChunk()) {
            quiet(request, now, out);
        } else if (chunk.sequence() == request.nextChunk()) {
            request.chunkArrived();
            request.move(RequestState.Event.CHUNK);
            CallerAnswers.chunk(request, chunk.bytes(), out);
            schedule(request, now);
        }
    }

    private void end(Request request, CallMessage.AnswerEnd end, long now, Effects out) {
        if (!request.headSeen() || end.chunks() != request.nextChunk()) {
            quiet(request, now, out);
            return;
        }
        CallerAnswers.whole(request, now, out);
        forget(request, Outcome.ANSWERED, now);
    }

    private void neverSeen(Request request, long now, Effects out) {
        String detail = "the request did not reach the target's agent";
        Failure failure = Failure.notRun(ErrorKind.NO_TARGET, detail, RETRY_AFTER_MILLIS);
        tryFailed(request, failure, now, out);
    }

    private void failed(Request request, CallMessage.Failed failed, long now, Effects out) {
        Failure failure =
                new Failure(
                        failed.kind(), failed.ran(), failed.detail(), failed.retryAfterMillis());
        tryFailed(request, failure, now, out);
    }

    private void tryFailed(Request request, Failure failure, long now, Effects out) {
        FailedTry attempt =
                new FailedTry(
                        failure.kind(),
                        failure.ran(),
                        request.isRepeatable(),
                        request.headSeen(),
                        request.tries(),
                        request.deadline() - now);
        boolean hasNotRun = failure.ran() == Ran.NO;
        tellChooser(request, hasNotRun ? Outcome.REFUSED : Outcome.FAILED, now);
        if (!hasNotRun) {
            request.mayHaveRun();
        }
        RetryPolicy.Verdict verdict = mRetries.after(attempt);
        switch (verdict) {
            case RETRY -> retry(request, failure, now, out);
            case ANSWER -> fail(request, failure, out);
            case CUT -> cut(request, out);
            default -> throw new AssertionError(verdict);
        }
    }

    private void retry(Request request, Failure failure, long now, Effects out) {
        String organisation = request.organisation().id().value();
        out.measure(Metric.RETRIES, organisation, TrafficClass.ONLINE.name(), 1);
        send(request, failure, now, out);
    }

    /** Asks the agent what became of a request that it is silent about. */
    private void quiet(Request request, long now, Effects out) {
        if (request.move(RequestState.Event.QUIET)) {
            request.askingSince(now);
        }
        ask(request, now, out);
    }

    private void ask(Request request, long now, Effects out) {
        request.agent()
                .ifPresent(
                        agent ->
                                out.send(
                                        agent,
                                        new CallMessage.Ask(
                                                request.id(),
                                                request.incarnation(),
                                                request.headSeen(),
                                                request.nextChunk())));
        mTimers.set(request.id(), now + mSettings.askNanos());
    }

    /** Sets the next time to look at a request. */
    private void schedule(Request request, long now) {
        long quiet = now + mSettings.quietNanos();
        long overdue = request.deadline() + mSettings.graceNanos();
        mTimers.set(request.id(), Math.min(quiet, overdue));
    }

    void tick(long now, Effects out) {
        Optional<RequestId> due = mTimers.pollDue(now);
        while (due.isPresent()) {
            Optional.ofNullable(mRequests.get(due.get())).ifPresent(r -> look(r, now, out));
            due = mTimers.pollDue(now);
        }
    }

    private void look(Request request, long now, Effects out) {
        boolean isAdmitting = request.isIn(RequestState.ADMITTING);
        long overdue = request.deadline() + (isAdmitting ? 0 : mSettings.graceNanos());
        if (now >= overdue) {
            expire(request, now, out);
            return;
        }
        switch (request.state()) {
            case ADMITTING -> mTimers.set(request.id(), overdue);
            case SENT, RUNNING, ANSWERING -> quiet(request, now, out);
            case ASKING, RESUMING -> askAgain(request, now, out);
            default -> throw new AssertionError(request.state());
        }
    }

    private void askAgain(Request request, long now, Effects out) {
        if (now - request.askedSince() < mSettings.patienceNanos()) {
            ask(request, now, out);
            return;
        }
        String detail = "the agent of the target fell silent";
        tryFailed(request, Failure.mayHaveRun(ErrorKind.ANSWER_LOST, detail), now, out);
    }

    private void expire(Request request, long now, Effects out) {
        if (request.isIn(RequestState.ADMITTING)) {
            mLimiter.cancel(request.organisation().id(), request.call().call());
            String detail = "no token of the organisation's rate came in time";
            Failure failure =
                    Failure.notRun(ErrorKind.DEADLINE_EXCEEDED, detail, RETRY_AFTER_MILLIS);
            fail(request, failure, out);
            return;
        }
        withdraw(request, out);
        tellChooser(request, Outcome.FAILED, now);
        if (request.headSeen()) {
            cut(request, out);
        } else {
            String detail = "no answer came before the deadline";
            fail(request, Failure.mayHaveRun(ErrorKind.TARGET_TIMEOUT, detail), out);
        }
    }

    /** The caller of an HTTP call is gone. */
    void gone(long call, long now, Effects out) {
        Request request = mByCall.get(call);
        if (request == null) {
            return;
        }
        if (request.isIn(RequestState.ADMITTING)) {
            mLimiter.cancel(request.organisation().id(), call);
        }
        withdraw(request, out);
        forget(request, Outcome.CANCELLED, now);
    }

    /** What may not be repeated goes on to its end, as half a run helps nobody. */
    private void withdraw(Request request, Effects out) {
        if (request.isRepeatable()) {
            request.agent().ifPresent(a -> out.send(a, new CallMessage.Cancel(request.id())));
        }
    }

    /** The connection to an agent is ready: asks again at once what was open. */
    void agentUp(HostId agent, long now, Effects out) {
        requestsAt(agent).stream()
                .filter(r -> r.isIn(RequestState.ASKING) || r.isIn(RequestState.RESUMING))
                .forEach(request -> ask(request, now, out));
    }

    /** The connection to an agent was lost: what was sent may have arrived. */
    void agentLost(HostId agent, long now, Effects out) {
        requestsAt(agent).forEach(request -> quiet(request, now, out));
    }

    private List<Request> requestsAt(HostId agent) {
        return mRequests.values().stream()
                .filter(request -> request.isAt(agent))
                .sorted(java.util.Comparator.comparing(Request::id))
                .toList();
    }

    private void fail(Request request, Failure failure, Effects out) {
        CallerAnswers.failure(request, failure.knowing(request.hasMaybeRun()), out);
        remove(request);
    }

    private void cut(Request request, Effects out) {
        CallerAnswers.cut(request, out);
        remove(request);
    }

    private void forget(Request request, Outcome outcome, long now) {
        tellChooser(request, outcome, now);
        remove(request);
    }

    private void tellChooser(Request request, Outcome outcome, long now) {
        request.agent()
                .ifPresent(
                        agent ->
                                mAgents.chooser(request.route().service())
                                        .ifPresent(c -> c.ended(agent, outcome, now)));
    }

    private void remove(Request request) {
        request.move(RequestState.Event.END);
        mRequests.remove(request.id());
        mByCall.remove(request.call().call());
        mTimers.clear(request.id());
    }

    long nextTickNanos() {
        return mTimers.next();
    }
}
