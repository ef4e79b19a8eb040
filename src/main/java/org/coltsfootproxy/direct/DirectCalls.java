package org.coltsfootproxy.direct;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.coltsfootproxy.base.ErrorKind;
import org.coltsfootproxy.base.EventCode;
import org.coltsfootproxy.base.Metric;
import org.coltsfootproxy.base.OrganisationId;
import org.coltsfootproxy.base.Ran;
import org.coltsfootproxy.base.Timers;
import org.coltsfootproxy.base.TrafficClass;
import org.coltsfootproxy.entry.CallerCheck;
import org.coltsfootproxy.entry.Failure;
import org.coltsfootproxy.limit.Decision;
import org.coltsfootproxy.limit.Limiter;
import org.coltsfootproxy.message.Header;
import org.coltsfootproxy.node.Effect;
import org.coltsfootproxy.node.Effects;
import org.coltsfootproxy.node.Input;
import org.coltsfootproxy.node.LogField;

/**
 * The online requests at an entry that calls targets itself, from the caller's call to the end of
 * its answer.
 *
 * <p>A request is at one target at a time. It goes to another only if it has not run, or if it may
 * be repeated; a broken series of events that may be resumed goes on after its last whole event.
 */
final class DirectCalls {
    /** Sends of one request that no target has run: one to each of a few targets that are full. */
    private static final int MAX_SENDS = 6;

    /** Least time left for another try: a connection and a short answer. */
    private static final long MIN_LEFT_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

    /** Part of the goal for a first event after which a silent target is given up. */
    private static final double EVENT_PATIENCE = 0.8;

    /** Part of the goal for a whole answer after which a silent target is given up. */
    private static final double ANSWER_PATIENCE = 1.5;

    /** Part of the longest pause between events after which a silent target is given up. */
    private static final double GAP_PATIENCE = 0.75;

    /**
     * Time after a send at which a silent target is looked at again: hosts have told by then what
     * they began there at the same moment.
     */
    private static final long LOOK_AGAIN_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

    /** When a caller may come back after no target could take its request. */
    private static final long RETRY_AFTER_MILLIS = 250;

    private final CallerAnswers mAnswers;
    private final TargetProtocol mProtocol;
    private final TargetCalls mCalls;
    private final Targets mTargets;
    private final LoadBoard mLoads;
    private final Overload mOverload;
    private final Limiter mLimiter;
    private final Map<Long, DirectRequest> mRequests = new HashMap<>();
    private final Timers<Long> mTimers = Timers.create();

    DirectCalls(
            CallerAnswers answers,
            TargetProtocol protocol,
            TargetCalls calls,
            Targets targets,
            LoadBoard loads,
            Overload overload,
            Limiter limiter) {
        mAnswers = answers;
        mProtocol = protocol;
        mCalls = calls;
        mTargets = targets;
        mLoads = loads;
        mOverload = overload;
        mLimiter = limiter;
    }

    boolean isEmpty() {
        return mRequests.isEmpty();
    }

    /** Begins a request whose route and key were checked. */
    void begin(DirectRequest request, long now, Effects out) {
        mRequests.put(request.call().call(), request);
        if (request.isOpen()) {
            admitted(request, now, out);
            return;
        }
        OrganisationId organisation = request.organisation().id();
        Decision decision = mLimiter.tryAcquire(organisation, request.call().call(), now, out);
        if (decision.verdict() == Decision.Verdict.ADMITTED) {
            admitted(request, now, out);
        } else {
            ErrorKind kind = decision.errorKind();
            long retry = decision.retryAfterMillis();
            fail(request, Failure.notRun(kind, kind.title(), retry), now, out);
        }
    }

    private void admitted(DirectRequest request, long now, Effects out) {
        OptionalLong comeBack = mOverload.refusal(request, now);
        if (comeBack.isPresent()) {
            String full = "no target of " + request.service() + " has a place in time";
            Failure failure = Failure.notRun(ErrorKind.OVERLOADED, full, comeBack.getAsLong());
            fail(request, failure, now, out);
            return;
        }
        String detail = "no target of " + request.service() + " can take the request";
        Failure none = Failure.notRun(ErrorKind.NO_TARGET, detail, RETRY_AFTER_MILLIS);
        send(request, none, now, out);
    }

    /**
     * Sends a request to a target.
     *
     * @param otherwise what to answer if no target can take it
     */
    private void send(DirectRequest request, Failure otherwise, long now, Effects out) {
        Optional<Target> target = mTargets.choose(request.service(), request.tried(), now);
        long left = request.deadline() - now;
        if (target.isEmpty() || left < MIN_LEFT_NANOS) {
            giveUp(request, otherwise, now, out);
            return;
        }
        boolean hasPlace = target.get().inFlight(now) < target.get().slots();
        if (!hasPlace) {
            mLoads.makeRoom(target.get(), out);
        }
        long call = mCalls.nextCall();
        Optional<String> resumeAfter = request.events().lastId();
        request.sentTo(target.get(), call, hasPlace, now);
        mTargets.began(target.get(), TrafficClass.ONLINE);
        mCalls.start(
                target.get().listed().address(),
                targetCall(request, target.get(), call, left),
                new Answer(request),
                out);
        setTimer(request, now);
        out.log(
                EventCode.CALL_SENT,
                LogField.of("request", request.name()),
                LogField.of("route", request.route().id()),
                LogField.of("organisation", request.organisation().id()),
                LogField.of("target", target.get().listed().id()),
                LogField.of("online", target.get().online()),
                LogField.of("batch", target.get().batch()),
                LogField.of("listing", mTargets.listing().number()),
                LogField.of("send", request.sends()),
                LogField.of("after", resumeAfter.orElse("")),
                LogField.of("leftMillis", TimeUnit.NANOSECONDS.toMillis(left)));
    }

    private Effect.TargetCall targetCall(
            DirectRequest request, Target target, long call, long left) {
        Optional<OrganisationId> organisation =
                Optional.of(request.organisation().id()).filter(id -> !request.isOpen());
        TargetRequest extra =
                new TargetRequest(
                        target.listed().id(),
                        organisation,
                        TimeUnit.NANOSECONDS.toMillis(left),
                        request.events().lastId());
        List<Header> headers = CallerCheck.withoutKeys(request.call().headers());
        return new Effect.TargetCall(
                call,
                TrafficClass.ONLINE,
                request.call().method(),
                request.call().path(),
                mProtocol.headers(headers, extra),
                request.call().body(),
                left);
    }

    /** What one target says about one request. */
    private final class Answer implements TargetCalls.Handler {
        private final DirectRequest mRequest;

        Answer(DirectRequest request) {
            mRequest = request;
        }

        @Override
        public void head(Input.TargetHead head, long now, Effects out) {
            TargetAnswer answer = mProtocol.read(head);
            Target target = mRequest.target().orElseThrow();
            mRequest.heardNow(now);
            answer.load().ifPresent(load -> target.told(load, now));
            if (answer.verdict() == TargetAnswer.Verdict.UNSIGNED) {
                mCalls.ignore(mRequest.targetCall());
                String why = "a success without the target's signature";
                broken(mRequest, ErrorKind.ANSWER_LOST, Ran.MAYBE, why, now, out);
            } else if (answer.verdict() != TargetAnswer.Verdict.RAN) {
                refused(mRequest, answer, now, out);
            } else if (mRequest.isIn(DirectState.RESUMING)) {
                resumed(mRequest, answer, now, out);
            } else if (answer.isServerError() && mayRepeat(mRequest, now)) {
                mCalls.ignore(mRequest.targetCall());
                leave(mRequest);
                again(mRequest, "the target answered " + answer.status(), now, out);
            } else {
                target.answered();
                begun(mRequest, answer, now, out);
            }
        }

        @Override
        public void chunk(byte[] bytes, long now, Effects out) {
            mRequest.heardNow(now);
            byte[] whole = mRequest.hasEvents() ? mRequest.events().take(bytes) : bytes;
            if (whole.length > 0) {
                out.add(new Effect.HttpChunk(mRequest.call().call(), whole));
            }
        }

        @Override
        public void ended(long now, Effects out) {
            if (mRequest.hasEvents() && mRequest.events().isInEvent()) {
                broken(mRequest, ErrorKind.ANSWER_CUT, Ran.YES, "ended within an event", now, out);
                return;
            }
            mOverload.ran(mRequest, now);
            leave(mRequest);
            mAnswers.whole(mRequest, now, out);
            remove(mRequest);
        }

        @Override
        public void failed(Input.TargetFailed failure, long now, Effects out) {
            broken(mRequest, failure.kind(), failure.ran(), failure.detail(), now, out);
        }
    }

    private void refused(DirectRequest request, TargetAnswer answer, long now, Effects out) {
        Target target = request.target().orElseThrow();
        if (answer.verdict() == TargetAnswer.Verdict.OTHER_TARGET) {
            target.moved(now);
        } else {
            target.refused(now);
        }
        mCalls.ignore(request.targetCall());
        leave(request);
        request.notRun();
        logTry(request, target, "refused with " + answer.status(), Ran.NO, out);
        Failure failure =
                Failure.notRun(
                        ErrorKind.OVERLOADED, "no target has a free place", RETRY_AFTER_MILLIS);
        next(request, failure, now, out);
    }

    /** Tries another target, unless the request has been to too many. */
    private void next(DirectRequest request, Failure failure, long now, Effects out) {
        if (request.sends() < MAX_SENDS) {
            send(request, failure, now, out);
        } else {
            giveUp(request, failure, now, out);
        }
    }

    private boolean mayRepeat(DirectRequest request, long now) {
        return request.isRepeatable()
                && request.hasRunsLeft()
                && request.deadline() - now >= MIN_LEFT_NANOS
                && mTargets.choose(request.service(), request.tried(), now).isPresent();
    }

    private void again(DirectRequest request, String why, long now, Effects out) {
        request.mayHaveRun();
        out.measure(
                Metric.RETRIES, request.organisation().id().value(), TrafficClass.ONLINE.name(), 1);
        next(request, Failure.mayHaveRun(ErrorKind.ANSWER_LOST, why), now, out);
    }

    private void begun(DirectRequest request, TargetAnswer answer, long now, Effects out) {
        request.move(DirectState.Event.HEAD);
        request.hasEvents(answer.isSuccess() && answer.isEvents());
        mAnswers.head(request, answer, now, out);
        setTimer(request, now);
    }

    /** The first target's head stands; the other one's must only be as good. */
    private void resumed(DirectRequest request, TargetAnswer answer, long now, Effects out) {
        if (answer.isSuccess() && answer.isEvents()) {
            request.target().orElseThrow().answered();
            request.move(DirectState.Event.HEAD);
            setTimer(request, now);
            return;
        }
        mCalls.ignore(request.targetCall());
        leave(request);
        again(request, "the target answered " + answer.status(), now, out);
    }

    /** The target gave no whole answer. */
    private void broken(
            DirectRequest request, ErrorKind kind, Ran ran, String why, long now, Effects out) {
        Target target = request.target().orElseThrow();
        target.broke(now);
        leave(request);
        logTry(request, target, kind.label() + ": " + why, ran, out);
        boolean isAnswering = request.isIn(DirectState.ANSWERING);
        if (ran == Ran.NO) {
            request.notRun();
            next(request, Failure.notRun(ErrorKind.NO_TARGET, why, RETRY_AFTER_MILLIS), now, out);
        } else if (isAnswering && !(request.isResumable() && request.hasEvents())) {
            cut(request, why, now, out);
        } else if (mayRepeat(request, now)) {
            again(request, why, now, out);
        } else {
            request.mayHaveRun();
            giveUp(request, Failure.mayHaveRun(ErrorKind.ANSWER_LOST, why), now, out);
        }
    }

    /** Nothing of the request is at its target any more. */
    private void leave(DirectRequest request) {
        request.target().ifPresent(target -> mTargets.ended(target, TrafficClass.ONLINE));
        request.leftTarget();
    }

    private static void logTry(
            DirectRequest request, Target target, String why, Ran ran, Effects out) {
        out.log(
                EventCode.CALL_TRY_ENDED,
                LogField.of("request", request.name()),
                LogField.of("target", target.listed().id()),
                LogField.of("why", why),
                LogField.of("ran", ran.label()),
                LogField.of("after", request.events().lastId().orElse("")));
    }

    /** Sets when to look at a request again: its deadline, or the end of a target's patience. */
    private void setTimer(DirectRequest request, long now) {
        long patience = patienceNanos(request);
        boolean mayLeave = patience > 0 && request.isRepeatable() && request.hasRunsLeft();
        long due = mayLeave ? request.heard() + patience : request.deadline();
        if (mayLackPlace(request)) {
            due = Math.min(due, request.sentAt() + LOOK_AGAIN_NANOS);
        }
        long earliest = now + MIN_LEFT_NANOS;
        mTimers.set(request.call().call(), Math.min(request.deadline(), Math.max(due, earliest)));
    }

    /** Returns how long a silent target is waited for, 0 for as long as the request lasts. */
    private static long patienceNanos(DirectRequest request) {
        var policy = request.route().policy();
        boolean isStream = request.isResumable();
        double millis;
        if (request.isIn(DirectState.SENT) && !request.hasPlace()) {
            millis = 0;
        } else if (request.isIn(DirectState.ANSWERING)) {
            millis = isStream ? GAP_PATIENCE * policy.eventGapMillis() : 0;
        } else {
            millis = (isStream ? EVENT_PATIENCE : ANSWER_PATIENCE) * policy.goalMillis();
        }
        return (long) (millis * TimeUnit.MILLISECONDS.toNanos(1));
    }

    void tick(long now, Effects out) {
        Optional<Long> due = mTimers.pollDue(now);
        while (due.isPresent()) {
            Optional.ofNullable(mRequests.get(due.get())).ifPresent(r -> look(r, now, out));
            due = mTimers.pollDue(now);
        }
    }

    /** Tells whether a target that was thought to have a place may have none after all. */
    private static boolean mayLackPlace(DirectRequest request) {
        return request.hasPlace() && !request.isPlaceChecked() && request.isIn(DirectState.SENT);
    }

    /** Asks for room if others have begun at the target at the same moment. */
    private void checkPlace(DirectRequest request, long now, Effects out) {
        Target target = request.target().orElseThrow();
        boolean isOverfull = target.inFlight(now) > target.slots();
        if (isOverfull) {
            mLoads.makeRoom(target, out);
        }
        request.placeChecked(isOverfull);
    }

    private void look(DirectRequest request, long now, Effects out) {
        if (mayLackPlace(request) && now - request.sentAt() >= LOOK_AGAIN_NANOS) {
            checkPlace(request, now, out);
        }
        long patience = patienceNanos(request);
        boolean isSilent = patience > 0 && now - request.heard() >= patience;
        if (now >= request.deadline()) {
            expire(request, now, out);
        } else if (isSilent && mayRepeat(request, now)) {
            mCalls.cancel(request.targetCall(), out);
            broken(request, ErrorKind.TARGET_TIMEOUT, Ran.MAYBE, "the target is silent", now, out);
        } else {
            setTimer(request, now);
        }
    }

    private void expire(DirectRequest request, long now, Effects out) {
        request.target().ifPresent(target -> logTry(request, target, "time is up", Ran.MAYBE, out));
        mCalls.cancel(request.targetCall(), out);
        leave(request);
        request.mayHaveRun();
        giveUp(
                request,
                Failure.mayHaveRun(ErrorKind.TARGET_TIMEOUT, "no whole answer in time"),
                now,
                out);
    }

    /** The caller of an HTTP call is gone. */
    void gone(long call, long now, Effects out) {
        DirectRequest request = mRequests.get(call);
        if (request == null) {
            return;
        }
        mCalls.cancel(request.targetCall(), out);
        leave(request);
        out.log(
                EventCode.CALLER_GONE,
                LogField.of("request", request.name()),
                LogField.of("afterMillis", millisSince(request.arrived(), now)));
        remove(request);
    }

    private static long millisSince(long then, long now) {
        return TimeUnit.NANOSECONDS.toMillis(now - then);
    }

    /** Ends a request that no target will answer, by a failure or by breaking its answer off. */
    private void giveUp(DirectRequest request, Failure failure, long now, Effects out) {
        boolean isBegun = request.isIn(DirectState.ANSWERING) || request.isIn(DirectState.RESUMING);
        if (isBegun) {
            cut(request, failure.detail(), now, out);
        } else {
            fail(request, failure, now, out);
        }
    }

    private void fail(DirectRequest request, Failure failure, long now, Effects out) {
        mAnswers.failure(request, failure.lostIf(request.hasMaybeRun()), now, out);
        remove(request);
    }

    private void cut(DirectRequest request, String why, long now, Effects out) {
        mAnswers.cut(request, why, now, out);
        remove(request);
    }

    private void remove(DirectRequest request) {
        request.move(DirectState.Event.END);
        mRequests.remove(request.call().call());
        mTimers.clear(request.call().call());
    }

    long nextTickNanos() {
        return mTimers.next();
    }
}
