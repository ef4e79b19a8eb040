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
import org.coltsfootproxy.routing.FailedAttempt;
import org.coltsfootproxy.routing.Outcome;
import org.coltsfootproxy.routing.RetryPolicy;

/**
 * Handles the online requests at one entry, from the caller's call to the end of its answer.
 *
 * <p>A request is assigned to one agent at a time. When the agent stops responding, it is asked
 * about the request by its id. The request goes to another agent only if it is known not to have
 * run or may safely run more than once.
 */
final class OnlineRequests {
    /** Retry-after time for a caller whose request no target could accept, in milliseconds. */
    private static final long RETRY_AFTER_MILLIS = 1_000;

    private final EntrySettings mSettings;

    /** Random part of this incarnation's request ids. */
    private final long mOrigin;

    private final AgentPool mAgents;
    private final RetryPolicy mRetries;
    private final Map<RequestId, Request> mRequests = new HashMap<>();

    /** The requests by the number of their HTTP call. */
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
     * Returns a handler without requests.
     *
     * @param origin random part of the request ids, which must differ between incarnations
     */
    static OnlineRequests create(
            EntrySettings settings, long origin, AgentPool agents, RetryPolicy retries) {
        return new OnlineRequests(settings, origin, agents, retries);
    }

    /**
     * Sets the limiter, which must be done before the first request. It can't be passed to {@link
     * #create} because the limiter needs this object as its listener.
     */
    void useLimiter(Limiter limiter) {
        mLimiter = limiter;
    }

    void configure(ConfigView view) {
        mView = view;
    }

    boolean isEmpty() {
        return mRequests.isEmpty();
    }

    /** Begins a request whose route and organisation have been checked. */
    void begin(Input.HttpCall call, Route route, Organisation organisation, long now, Effects out) {
        RequestId id = RequestId.of(mOrigin, ++mLastSequence);
        long deadline = call.begunNanos(now) + TimeUnit.MILLISECONDS.toNanos(route.timeoutMillis());
        Request request = Request.of(id, call, route, organisation, now, deadline);
        mRequests.put(id, request);
        mByCall.put(call.call(), request);
        mTimers.set(id, deadline);
        if (route.open()) {
            onAdmitted(request, now, out);
        } else {
            onDecision(
                    call.call(),
                    mLimiter.tryAcquire(organisation.id(), call.call(), now, out),
                    now,
                    out);
        }
    }

    /** Handles the limiter's decision on a call; ignores calls that no longer wait for it. */
    void onDecision(long call, Decision decision, long now, Effects out) {
        Request request = mByCall.get(call);
        if (request == null || !request.isIn(RequestState.ADMITTING)) {
            return;
        }
        switch (decision.verdict()) {
            case WAIT -> mTimers.set(request.id(), request.deadlineNanos());
            case ADMITTED -> onAdmitted(request, now, out);
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

    private void onAdmitted(Request request, long now, Effects out) {
        mRetries.recordFirstAttempt();
        String detail = "no target of " + request.route().service() + " can take the request";
        send(request, Failure.notRun(ErrorKind.NO_TARGET, detail, RETRY_AFTER_MILLIS), now, out);
    }

    /**
     * Sends a request to an agent.
     *
     * @param noAgentFailure failure returned to the caller if no agent can accept the request
     */
    private void send(Request request, Failure noAgentFailure, long now, Effects out) {
        Optional<AgentChooser> chooser = mAgents.chooser(request.route().service());
        OptionalLong prefix = ForwardMessages.prefixHash(request, mView);
        Optional<HostId> agent = chooser.flatMap(c -> c.choose(prefix, request.tried(), now));
        Optional<Incarnation> incarnation =
                agent.flatMap(a -> chooser.flatMap(c -> c.incarnation(a)));
        if (incarnation.isEmpty()) {
            fail(request, noAgentFailure, out);
            return;
        }
        chooser.get().sent(agent.get(), now);
        request.recordSend(agent.get(), incarnation.get(), now);
        out.send(agent.get(), ForwardMessages.of(request, now));
        mTimers.set(request.id(), now + mSettings.ackTimeoutNanos());
    }

    /**
     * Handles an agent's message about a request; ignores it unless the agent is assigned to it.
     */
    void handle(HostId agent, CallMessage message, long now, Effects out) {
        Request request = mRequests.get(message.request());
        if (request == null) {
            return;
        }
        if (!request.isAssignedTo(agent)) {
            return;
        }
        request.recordActivity(now);
        if (message instanceof CallMessage.Received
                || message instanceof CallMessage.RequestKnown) {
            request.transition(RequestState.Event.RECEIVED);
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
            request.transition(RequestState.Event.HEAD);
            CallerAnswers.head(request, head, now, out);
            schedule(request, now);
        }
    }

    private void chunk(Request request, CallMessage.AnswerChunk chunk, long now, Effects out) {
        if (!request.headSeen() || chunk.sequence() > request.nextChunk()) {
            onMissingMessage(request, now, out);
        } else if (chunk.sequence() == request.nextChunk()) {
            request.chunkArrived();
            request.transition(RequestState.Event.CHUNK);
            CallerAnswers.chunk(request, chunk.bytes(), out);
            schedule(request, now);
        }
    }

    private void end(Request request, CallMessage.AnswerEnd end, long now, Effects out) {
        if (!request.headSeen() || end.chunks() != request.nextChunk()) {
            onMissingMessage(request, now, out);
            return;
        }
        CallerAnswers.end(request, now, out);
        finish(request, Outcome.ANSWERED, now);
    }

    private void neverSeen(Request request, long now, Effects out) {
        String detail = "the request did not reach the target's agent";
        Failure failure = Failure.notRun(ErrorKind.NO_TARGET, detail, RETRY_AFTER_MILLIS);
        attemptFailed(request, failure, now, out);
    }

    private void failed(Request request, CallMessage.Failed failed, long now, Effects out) {
        Failure failure =
                new Failure(
                        failed.kind(), failed.ran(), failed.detail(), failed.retryAfterMillis());
        attemptFailed(request, failure, now, out);
    }

    private void attemptFailed(Request request, Failure failure, long now, Effects out) {
        FailedAttempt attempt =
                new FailedAttempt(
                        failure.kind(),
                        failure.ran(),
                        request.isRepeatable(),
                        request.headSeen(),
                        request.attempts(),
                        request.deadlineNanos() - now);
        boolean hasNotRun = failure.ran() == Ran.NO;
        reportToChooser(request, hasNotRun ? Outcome.REFUSED : Outcome.FAILED, now);
        if (!hasNotRun) {
            request.markMayHaveRun();
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

    /** Asks the agent about a request for which an expected message is missing. */
    private void onMissingMessage(Request request, long now, Effects out) {
        if (request.transition(RequestState.Event.QUIET)) {
            request.startAsking(now);
        }
        ask(request, now, out);
    }

    private void ask(Request request, long now, Effects out) {
        request.agent()
                .ifPresent(
                        agent ->
                                out.send(
                                        agent,
                                        new CallMessage.StateQuery(
                                                request.id(),
                                                request.incarnation(),
                                                request.headSeen(),
                                                request.nextChunk())));
        mTimers.set(request.id(), now + mSettings.askIntervalNanos());
    }

    /** Sets a request's timer to the end of the silence timeout, or earlier when it expires. */
    private void schedule(Request request, long now) {
        long silenceEndNanos = now + mSettings.silenceTimeoutNanos();
        long expiryNanos = request.deadlineNanos() + mSettings.deadlineGraceNanos();
        mTimers.set(request.id(), Math.min(silenceEndNanos, expiryNanos));
    }

    void tick(long now, Effects out) {
        Optional<RequestId> due = mTimers.pollDue(now);
        while (due.isPresent()) {
            Optional.ofNullable(mRequests.get(due.get())).ifPresent(r -> onTimer(r, now, out));
            due = mTimers.pollDue(now);
        }
    }

    private void onTimer(Request request, long now, Effects out) {
        boolean isAdmitting = request.isIn(RequestState.ADMITTING);
        long expiryNanos =
                request.deadlineNanos() + (isAdmitting ? 0 : mSettings.deadlineGraceNanos());
        if (now >= expiryNanos) {
            expire(request, now, out);
            return;
        }
        switch (request.state()) {
            case ADMITTING -> mTimers.set(request.id(), expiryNanos);
            case SENT, RUNNING, ANSWERING -> onMissingMessage(request, now, out);
            case ASKING, RESUMING -> askAgain(request, now, out);
            default -> throw new AssertionError(request.state());
        }
    }

    private void askAgain(Request request, long now, Effects out) {
        if (now - request.askingSinceNanos() < mSettings.askTimeoutNanos()) {
            ask(request, now, out);
            return;
        }
        String detail = "the target's agent stopped responding";
        attemptFailed(request, Failure.mayHaveRun(ErrorKind.ANSWER_LOST, detail), now, out);
    }

    private void expire(Request request, long now, Effects out) {
        if (request.isIn(RequestState.ADMITTING)) {
            mLimiter.cancel(request.organisation().id(), request.call().call());
            String detail =
                    "the organisation's rate limit did not admit the request before the deadline";
            Failure failure =
                    Failure.notRun(ErrorKind.DEADLINE_EXCEEDED, detail, RETRY_AFTER_MILLIS);
            fail(request, failure, out);
            return;
        }
        cancelIfRepeatable(request, out);
        reportToChooser(request, Outcome.FAILED, now);
        if (request.headSeen()) {
            cut(request, out);
        } else {
            String detail = "the target did not answer before the deadline";
            fail(request, Failure.mayHaveRun(ErrorKind.TARGET_TIMEOUT, detail), out);
        }
    }

    /** Handles the disconnection of the caller of an HTTP call. */
    void callerDisconnected(long call, long now, Effects out) {
        Request request = mByCall.get(call);
        if (request == null) {
            return;
        }
        if (request.isIn(RequestState.ADMITTING)) {
            mLimiter.cancel(request.organisation().id(), call);
        }
        cancelIfRepeatable(request, out);
        finish(request, Outcome.CANCELLED, now);
    }

    /**
     * Cancels the request at its agent if it is repeatable. A request that is not repeatable runs
     * to its end, because a partial run is of no use.
     */
    private void cancelIfRepeatable(Request request, Effects out) {
        if (request.isRepeatable()) {
            request.agent().ifPresent(a -> out.send(a, new CallMessage.Cancel(request.id())));
        }
    }

    /** Handles a new connection to an agent: repeats pending questions at once. */
    void agentUp(HostId agent, long now, Effects out) {
        requestsAssignedTo(agent).stream()
                .filter(r -> r.isIn(RequestState.ASKING) || r.isIn(RequestState.RESUMING))
                .forEach(request -> ask(request, now, out));
    }

    /**
     * Handles the loss of the connection to an agent. Requests sent to it may have arrived, so the
     * agent is asked about them.
     */
    void agentLost(HostId agent, long now, Effects out) {
        requestsAssignedTo(agent).forEach(request -> onMissingMessage(request, now, out));
    }

    private List<Request> requestsAssignedTo(HostId agent) {
        return mRequests.values().stream()
                .filter(request -> request.isAssignedTo(agent))
                .sorted(java.util.Comparator.comparing(Request::id))
                .toList();
    }

    private void fail(Request request, Failure failure, Effects out) {
        CallerAnswers.failure(request, failure.withPossibleRun(request.hasPossiblyRun()), out);
        remove(request);
    }

    private void cut(Request request, Effects out) {
        CallerAnswers.cut(request, out);
        remove(request);
    }

    private void finish(Request request, Outcome outcome, long now) {
        reportToChooser(request, outcome, now);
        remove(request);
    }

    private void reportToChooser(Request request, Outcome outcome, long now) {
        request.agent()
                .ifPresent(
                        agent ->
                                mAgents.chooser(request.route().service())
                                        .ifPresent(c -> c.ended(agent, outcome, now)));
    }

    private void remove(Request request) {
        request.transition(RequestState.Event.END);
        mRequests.remove(request.id());
        mByCall.remove(request.call().call());
        mTimers.clear(request.id());
    }

    long nextTickNanos() {
        return mTimers.next();
    }
}
