package org.coltsfootproxy.direct;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.coltsfootproxy.base.ErrorKind;
import org.coltsfootproxy.base.Metric;
import org.coltsfootproxy.base.OrganisationId;
import org.coltsfootproxy.base.Ran;
import org.coltsfootproxy.base.SoftwareVersion;
import org.coltsfootproxy.base.Timers;
import org.coltsfootproxy.base.TrafficClass;
import org.coltsfootproxy.entry.Failure;
import org.coltsfootproxy.limit.Decision;
import org.coltsfootproxy.limit.Limiter;
import org.coltsfootproxy.node.Effect;
import org.coltsfootproxy.node.Effects;
import org.coltsfootproxy.node.Input;
import org.coltsfootproxy.quarantine.CrashQuarantine;
import org.coltsfootproxy.quarantine.CutCall;

/**
 * Runs online requests at an entry that calls targets directly, from the caller's call to the end
 * of the answer.
 *
 * <p>A request is at one target at a time. It is sent to another target only if it has not run or
 * if it is repeatable. An interrupted event stream that is resumable continues at another target
 * after its last complete event.
 */
final class DirectCalls {
    /**
     * Minimum time until the deadline for another attempt: enough to connect and to receive a short
     * answer.
     */
    private static final long MIN_REMAINING_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

    /**
     * Delay after a send before the target's slots are checked again. By then, other hosts have
     * reported the calls that they started there at the same time.
     */
    private static final long SLOT_RECHECK_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

    /** Retry-after time for a caller whose request no target could accept. */
    private static final long RETRY_AFTER_MILLIS = 250;

    private static final String ALL_FULL = "no target has a free slot";

    private final DirectCallerAnswers mAnswers;
    private final TargetProtocol mProtocol;
    private final TargetCalls mCalls;
    private final Targets mTargets;
    private final LoadExchange mLoadExchange;
    private final LoadShedder mLoadShedder;
    private final CrashQuarantine mQuarantine;
    private final StreamVersions mVersions;
    private final SendCheck mCheck;
    private final TargetChoice mChoice;
    private final Limiter mLimiter;
    private final Map<Long, DirectRequest> mRequests = new HashMap<>();
    private final Timers<Long> mTimers = Timers.create();
    private final UnfinishedEvents mUnfinishedEvents = UnfinishedEvents.ofHeap();

    /** {@link CrashQuarantine#version} for which the requests in flight were checked. */
    private long mCheckedQuarantine;

    DirectCalls(
            DirectCallerAnswers answers,
            TargetProtocol protocol,
            TargetCalls calls,
            Targets targets,
            LoadExchange loadExchange,
            LoadShedder loadShedder,
            CrashQuarantine quarantine,
            StreamVersions versions,
            Limiter limiter) {
        mAnswers = answers;
        mProtocol = protocol;
        mCalls = calls;
        mTargets = targets;
        mLoadExchange = loadExchange;
        mLoadShedder = loadShedder;
        mQuarantine = quarantine;
        mVersions = versions;
        mCheck = new SendCheck(quarantine, versions, targets);
        mChoice = new TargetChoice(targets);
        mLimiter = limiter;
    }

    boolean isEmpty() {
        return mRequests.isEmpty();
    }

    /** Starts a request whose route and key have been checked. */
    void begin(DirectRequest request, long now, Effects out) {
        mRequests.put(request.call().call(), request);
        Optional<Failure> failure =
                mCheck.quarantineFailure(request)
                        .or(() -> mCheck.regionFailure(request))
                        .or(() -> mCheck.evacuationFailure(request))
                        .or(() -> mCheck.resumptionFailure(request, now))
                        .or(() -> mChoice.estimate(request, out));
        if (failure.isPresent()) {
            fail(request, failure.get(), now, out);
            return;
        }
        if (request.isOpen()) {
            sendUnlessOverloaded(request, now, out);
            return;
        }
        OrganisationId organisation = request.organisation().id();
        Decision decision = mLimiter.tryAcquire(organisation, request.call().call(), now, out);
        if (decision.verdict() == Decision.Verdict.ADMITTED) {
            sendUnlessOverloaded(request, now, out);
        } else {
            ErrorKind kind = decision.errorKind();
            long retry = decision.retryAfterMillis();
            fail(request, Failure.notRun(kind, kind.title(), retry), now, out);
        }
    }

    private void sendUnlessOverloaded(DirectRequest request, long now, Effects out) {
        Optional<Failure> refusal = mLoadShedder.refusal(request, heldRequests(request), now, out);
        if (refusal.isPresent()) {
            fail(request, refusal.get(), now, out);
            return;
        }
        String detail = "no target of " + request.service() + " can take the request";
        send(request, Failure.notRun(ErrorKind.NO_TARGET, detail, RETRY_AFTER_MILLIS), now, out);
    }

    /**
     * Sends a request to a target, for the first time or again.
     *
     * @param noTargetFailure the answer to the caller if no target may get the request or can
     *     accept it
     */
    private void send(DirectRequest request, Failure noTargetFailure, long now, Effects out) {
        Optional<Failure> quarantined = mCheck.quarantineFailure(request);
        if (quarantined.isPresent()) {
            giveUp(request, quarantined.get(), now, out);
            return;
        }
        boolean maySend = maySend(request, now);
        Optional<Target> target = maySend ? mChoice.choose(request, now) : Optional.empty();
        if (target.isEmpty() && maySend && hold(request, now, out)) {
            return;
        }
        if (target.isEmpty()) {
            giveUp(request, noTargetFailure, now, out);
            return;
        }
        long remaining = request.deadline() - now;
        boolean hasFreeSlot = target.get().inFlight(now) < target.get().slots();
        if (!hasFreeSlot) {
            mLoadExchange.preemptBatchItem(target.get(), out);
        }
        long call = mCalls.nextCall();
        boolean isSuspect = mQuarantine.isSuspect(request.content());
        request.sentTo(target.get(), call, hasFreeSlot, isSuspect, now);
        mChoice.sent(request, target.get(), call, now);
        mCalls.start(
                target.get().listed().address(),
                OnlineTargetCall.of(request, target.get(), call, remaining, mProtocol),
                new Answer(request),
                out);
        setTimer(request, now);
        DirectCallLog.sent(request, target.get(), mTargets.listing().number(), remaining, out);
    }

    /** Returns the number of other requests for the same service that wait for a target's limit. */
    private long heldRequests(DirectRequest request) {
        return mRequests.values().stream()
                .filter(other -> other != request && other.target().isEmpty())
                .filter(other -> other.service().equals(request.service()))
                .count();
    }

    /** Lets a request wait for the limit of a target, if that will allow it soon enough. */
    private boolean hold(DirectRequest request, long now, Effects out) {
        OptionalLong until = mChoice.heldUntil(request, now);
        until.ifPresent(
                nanos -> {
                    mTimers.set(request.call().call(), nanos);
                    DirectCallLog.held(request, nanos - now, out);
                });
        return until.isPresent();
    }

    /** Handles one target's answer to one request. */
    private final class Answer implements TargetCalls.Handler {
        private final DirectRequest mRequest;
        private boolean mIsSuccess;

        Answer(DirectRequest request) {
            mRequest = request;
        }

        @Override
        public void head(Input.TargetHead head, long now, Effects out) {
            TargetAnswer answer = mProtocol.read(head);
            Target target = mRequest.target().orElseThrow();
            mRequest.noteActivity(now);
            mIsSuccess = answer.isSuccess();
            mChoice.answerBegun(mRequest, now);
            answer.load().ifPresent(load -> mTargets.updateLoad(target, load, now));
            if (answer.verdict() != TargetAnswer.Verdict.OTHER_TARGET) {
                mTargets.limitNamed(
                        target, answer.requestsPerSecond(), mRequest.sentAt(), now, out);
                answer.coldMillis().ifPresent(cold -> mTargets.coldNamed(target, cold, now, out));
            }
            if (answer.isLeaving()) {
                mTargets.saidLeaving(target, now, out);
            }
            if (answer.verdict() == TargetAnswer.Verdict.UNSIGNED) {
                mCalls.ignore(mRequest.targetCall(), target::callFailed);
                String why = "the target's success answer lacks its signature";
                attemptFailed(mRequest, ErrorKind.ANSWER_LOST, Ran.MAYBE, why, now, out);
            } else if (answer.verdict() != TargetAnswer.Verdict.RAN) {
                attemptRefused(mRequest, answer, now, out);
            } else if (mRequest.isIn(DirectState.RESUMING)) {
                answerResumed(mRequest, answer, now, out);
            } else if (answer.isServerError() && mayRetry(mRequest, now)) {
                retryAfterAnswer(mRequest, answer, now, out);
            } else {
                target.callSucceeded();
                answerStarted(mRequest, answer, now, out);
            }
        }

        @Override
        public void chunk(byte[] bytes, long now, Effects out) {
            boolean hadProgressed = mRequest.hasProgressed();
            byte[] complete = mRequest.append(bytes, now);
            if (!hadProgressed && mRequest.hasProgressed()) {
                noteVersion(mRequest, now);
                mQuarantine.answerProgressed(mRequest.content(), now, out);
            }
            if (complete.length > 0) {
                out.add(new Effect.HttpChunk(mRequest.call().call(), complete));
            }
            Optional<String> fault = mUnfinishedEvents.fault(mRequest.events(), mRequests.values());
            if (fault.isPresent()) {
                mCalls.cancel(mRequest.targetCall(), out);
                attemptFailed(mRequest, ErrorKind.ANSWER_CUT, Ran.YES, fault.get(), now, out);
            }
        }

        @Override
        public void ended(Input.TargetEnd end, long now, Effects out) {
            if (mRequest.hasEventStream() && mRequest.events().endsTooEarly(end.isByClose())) {
                noteCut(mRequest, now, out);
                String why = "the stream ended within an event or before the first one";
                attemptFailed(mRequest, ErrorKind.ANSWER_CUT, Ran.YES, why, now, out);
                return;
            }
            if (!mRequest.hasProgressed()) {
                mQuarantine.answerProgressed(mRequest.content(), now, out);
            }
            mQuarantine.answerCompleted(mRequest.content(), now, out);
            mLoadShedder.completed(mRequest, now);
            mChoice.completed(mRequest, mIsSuccess, now, out);
            releaseTarget(mRequest);
            mAnswers.complete(mRequest, now, out);
            remove(mRequest);
        }

        @Override
        public void failed(Input.TargetFailed failure, long now, Effects out) {
            if (failure.ran() != Ran.NO && failure.kind() != ErrorKind.TARGET_TIMEOUT) {
                noteCut(mRequest, now, out);
            }
            attemptFailed(mRequest, failure.kind(), failure.ran(), failure.detail(), now, out);
        }
    }

    /** Notes which version has begun a stream that may have to go on elsewhere. */
    private void noteVersion(DirectRequest request, long now) {
        if (request.isResumable() && request.version().isEmpty()) {
            SoftwareVersion version = request.target().orElseThrow().listed().version();
            request.setVersion(version);
            mVersions.begun(request, version, now);
        }
    }

    /** Reports a target that closed the connection before its answer was complete. */
    private void noteCut(DirectRequest request, long now, Effects out) {
        var cut =
                new CutCall(
                        request.target().orElseThrow().listed().id(),
                        request.name(),
                        request.content(),
                        request.hasHead() && !request.hasProgressed(),
                        request.isSuspect());
        mQuarantine.callCut(cut, now, out);
    }

    private void attemptRefused(DirectRequest request, TargetAnswer answer, long now, Effects out) {
        Target target = request.target().orElseThrow();
        if (answer.verdict() == TargetAnswer.Verdict.OTHER_TARGET) {
            target.addressMoved(now);
        } else {
            target.refused(now);
        }
        mCalls.ignore(request.targetCall(), target::callFailed);
        releaseTarget(request);
        DirectCallLog.attemptEnded(request, target, "refused with " + answer.status(), Ran.NO, out);
        Failure failure =
                request.budget().allowsSend()
                        ? Failure.notRun(ErrorKind.OVERLOADED, ALL_FULL, RETRY_AFTER_MILLIS)
                        : mLoadShedder.refusedByTargets(request, ALL_FULL, now);
        send(request, failure, now, out);
    }

    /** Returns whether the budget and the deadline of a request allow that it is sent now. */
    private static boolean maySend(DirectRequest request, long now) {
        return request.budget().allowsSend() && request.deadline() - now >= MIN_REMAINING_NANOS;
    }

    private boolean mayRetry(DirectRequest request, long now) {
        return request.isRepeatable()
                && maySend(request, now)
                && mCheck.quarantineFailure(request).isEmpty()
                && (mChoice.choose(request, now).isPresent()
                        || mChoice.heldUntil(request, now).isPresent());
    }

    private void retryElsewhere(DirectRequest request, String why, long now, Effects out) {
        request.notePossiblyRun();
        out.measure(
                Metric.RETRIES, request.organisation().id().value(), TrafficClass.ONLINE.name(), 1);
        send(request, Failure.mayHaveRun(ErrorKind.ANSWER_LOST, why), now, out);
    }

    private void answerStarted(DirectRequest request, TargetAnswer answer, long now, Effects out) {
        request.answerBegun();
        request.setEventStream(answer.isSuccess() && answer.isEventStream());
        mAnswers.head(request, answer, now, out);
        setTimer(request, now);
    }

    /**
     * Continues the stream. The caller already has the first target's head, so the head of this
     * answer is only checked for being a successful event stream.
     */
    private void answerResumed(DirectRequest request, TargetAnswer answer, long now, Effects out) {
        if (answer.isSuccess() && answer.isEventStream()) {
            request.target().orElseThrow().callSucceeded();
            request.answerBegun();
            setTimer(request, now);
            return;
        }
        retryAfterAnswer(request, answer, now, out);
    }

    /** Sends a request elsewhere whose target has run it and answered what its caller can't use. */
    private void retryAfterAnswer(
            DirectRequest request, TargetAnswer answer, long now, Effects out) {
        String why = "the target answered " + answer.status();
        Target target = request.target().orElseThrow();
        DirectCallLog.attemptEnded(request, target, why, Ran.YES, out);
        mCalls.ignore(request.targetCall(), target::callFailed);
        releaseTarget(request);
        retryElsewhere(request, why, now, out);
    }

    /** Handles an attempt that ended without a complete answer. */
    private void attemptFailed(
            DirectRequest request, ErrorKind kind, Ran ran, String why, long now, Effects out) {
        Target target = request.target().orElseThrow();
        target.callFailed(now);
        releaseTarget(request);
        DirectCallLog.attemptEnded(request, target, kind.label() + ": " + why, ran, out);
        boolean isAnswering = request.isIn(DirectState.ANSWERING);
        if (ran == Ran.NO) {
            request.budget().lastSendNotWritten();
            send(request, Failure.notRun(ErrorKind.NO_TARGET, why, RETRY_AFTER_MILLIS), now, out);
        } else if (isAnswering && !(request.isResumable() && request.hasEventStream())) {
            abortAnswer(request, why, now, out);
        } else if (mayRetry(request, now)) {
            retryElsewhere(request, why, now, out);
        } else {
            request.notePossiblyRun();
            giveUp(request, Failure.mayHaveRun(ErrorKind.ANSWER_LOST, why), now, out);
        }
    }

    /** Notes that the request has no call in flight at its target. */
    private void releaseTarget(DirectRequest request) {
        mChoice.released(request);
        request.leftTarget();
    }

    /**
     * Sets the timer of a request to its deadline, the silence timeout of its target or the slot
     * recheck, whichever comes first; before the deadline, at least {@link #MIN_REMAINING_NANOS}
     * from now.
     */
    private void setTimer(DirectRequest request, long now) {
        long silenceTimeout = request.silenceTimeoutNanos();
        boolean mayRetryElsewhere =
                silenceTimeout > 0 && request.isRepeatable() && request.budget().allowsSend();
        long due = mayRetryElsewhere ? request.lastActivity() + silenceTimeout : request.deadline();
        if (request.needsSlotRecheck()) {
            due = Math.min(due, request.sentAt() + SLOT_RECHECK_DELAY_NANOS);
        }
        long earliest = now + MIN_REMAINING_NANOS;
        mTimers.set(request.call().call(), Math.min(request.deadline(), Math.max(due, earliest)));
    }

    void tick(long now, Effects out) {
        if (mCheckedQuarantine != mQuarantine.version()) {
            mCheckedQuarantine = mQuarantine.version();
            cancelQuarantined(now, out);
        }
        Optional<Long> due = mTimers.pollDue(now);
        while (due.isPresent()) {
            Optional.ofNullable(mRequests.get(due.get()))
                    .ifPresent(r -> checkProgress(r, now, out));
            due = mTimers.pollDue(now);
        }
    }

    /** Cancels the calls with quarantined content that wait at a target. */
    private void cancelQuarantined(long now, Effects out) {
        List<DirectRequest> waiting =
                mRequests.values().stream()
                        .filter(request -> request.target().isPresent() && !request.hasHead())
                        .filter(request -> mCheck.quarantineFailure(request).isPresent())
                        .toList();
        for (DirectRequest request : waiting) {
            mCalls.cancel(request.targetCall(), out);
            Target target = request.target().orElseThrow();
            releaseTarget(request);
            request.notePossiblyRun();
            Failure failure = mCheck.quarantineFailure(request).orElseThrow();
            DirectCallLog.attemptEnded(request, target, failure.detail(), Ran.MAYBE, out);
            giveUp(request, failure, now, out);
        }
    }

    /**
     * Has a batch item preempted if the target has more calls than slots, because other hosts
     * started calls there at the same time.
     */
    private void recheckSlot(DirectRequest request, long now, Effects out) {
        Target target = request.target().orElseThrow();
        boolean isOverfull = target.inFlight(now) > target.slots();
        if (isOverfull) {
            mLoadExchange.preemptBatchItem(target, out);
        }
        request.slotRechecked(isOverfull);
    }

    private void checkProgress(DirectRequest request, long now, Effects out) {
        if (request.target().isEmpty()) {
            Failure failure =
                    Failure.notRun(
                            ErrorKind.OVERLOADED,
                            "the limits of the targets of " + request.service() + " are used up",
                            RETRY_AFTER_MILLIS);
            send(request, failure, now, out);
            return;
        }
        if (request.needsSlotRecheck() && now - request.sentAt() >= SLOT_RECHECK_DELAY_NANOS) {
            recheckSlot(request, now, out);
        }
        long silenceTimeout = request.silenceTimeoutNanos();
        boolean isSilent = silenceTimeout > 0 && now - request.lastActivity() >= silenceTimeout;
        if (now >= request.deadline()) {
            expire(request, now, out);
        } else if (isSilent && mayRetry(request, now)) {
            mCalls.cancel(request.targetCall(), out);
            attemptFailed(
                    request,
                    ErrorKind.TARGET_TIMEOUT,
                    Ran.MAYBE,
                    "the target sent nothing before the silence timeout",
                    now,
                    out);
        } else {
            setTimer(request, now);
        }
    }

    private void expire(DirectRequest request, long now, Effects out) {
        request.target()
                .ifPresent(
                        target ->
                                DirectCallLog.attemptEnded(
                                        request,
                                        target,
                                        "the request's deadline has passed",
                                        Ran.MAYBE,
                                        out));
        mCalls.cancel(request.targetCall(), out);
        releaseTarget(request);
        request.notePossiblyRun();
        giveUp(
                request,
                Failure.mayHaveRun(
                        ErrorKind.TARGET_TIMEOUT, "no complete answer before the deadline"),
                now,
                out);
    }

    /** Ends the request of a caller that has disconnected. */
    void callerDisconnected(long call, long now, Effects out) {
        DirectRequest request = mRequests.get(call);
        if (request == null) {
            return;
        }
        mCalls.cancel(request.targetCall(), out);
        releaseTarget(request);
        DirectCallLog.callerGone(request, now, out);
        remove(request);
    }

    /** Ends a request that no target will answer: by a failure, or by aborting a begun answer. */
    private void giveUp(DirectRequest request, Failure failure, long now, Effects out) {
        if (request.isIn(DirectState.ANSWERING) || request.isIn(DirectState.RESUMING)) {
            abortAnswer(request, failure.detail(), now, out);
        } else {
            fail(request, failure, now, out);
        }
    }

    private void fail(DirectRequest request, Failure failure, long now, Effects out) {
        mAnswers.failure(request, failure.asAnswerLost(request.hasPossiblyRun()), now, out);
        remove(request);
    }

    private void abortAnswer(DirectRequest request, String why, long now, Effects out) {
        mAnswers.abort(request, why, now, out);
        remove(request);
    }

    private void remove(DirectRequest request) {
        request.transition(DirectState.Event.END);
        mRequests.remove(request.call().call());
        mTimers.clear(request.call().call());
    }

    long nextTickNanos() {
        return mTimers.next();
    }
}
