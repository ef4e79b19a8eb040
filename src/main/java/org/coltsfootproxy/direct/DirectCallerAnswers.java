package org.coltsfootproxy.direct;

import java.util.List;
import java.util.concurrent.TimeUnit;
import org.coltsfootproxy.base.ErrorKind;
import org.coltsfootproxy.base.EventCode;
import org.coltsfootproxy.base.Metric;
import org.coltsfootproxy.base.Ran;
import org.coltsfootproxy.base.TrafficClass;
import org.coltsfootproxy.entry.Failure;
import org.coltsfootproxy.message.Header;
import org.coltsfootproxy.node.Effect;
import org.coltsfootproxy.node.Effects;
import org.coltsfootproxy.node.LogField;
import org.coltsfootproxy.node.Problem;
import org.coltsfootproxy.node.RetryAfter;

/** Sends answers to callers, and logs and measures how each request ended. */
final class DirectCallerAnswers {
    private static final double NANOS_PER_SECOND = 1e9;
    private static final String TRAFFIC_CLASS = TrafficClass.ONLINE.name();

    /**
     * The retry-after time is at most the time until the deadline divided by this number, which
     * leaves time for the retry.
     */
    private static final int RETRY_AFTER_DIVISOR = 3;

    private final RetryAfter mRetryAfter;

    DirectCallerAnswers(RetryAfter retryAfter) {
        mRetryAfter = retryAfter;
    }

    /** Forwards the head of a target's answer. */
    void head(DirectRequest request, TargetAnswer answer, long now, Effects out) {
        List<Header> headers = answer.headers();
        if (request.hasEventStream()) {
            // Another target may continue the stream, so its length is not known.
            headers =
                    headers.stream()
                            .filter(h -> !h.name().equalsIgnoreCase("content-length"))
                            .toList();
        }
        out.add(new Effect.HttpHead(request.call().call(), answer.status(), headers));
        measure(Metric.FIRST_BYTE_SECONDS, request, now, out);
    }

    /** Ends a complete answer. */
    void complete(DirectRequest request, long now, Effects out) {
        out.add(new Effect.HttpEnd(request.call().call()));
        measure(Metric.REQUEST_SECONDS, request, now, out);
        logEnd(EventCode.CALL_ANSWERED, request, "whole", now, out);
    }

    /** Aborts an answer in a way that the caller can't mistake for its regular end. */
    void abort(DirectRequest request, String why, long now, Effects out) {
        out.add(new Effect.HttpAbort(request.call().call()));
        measureRefusal(request.organisation().id().value(), ErrorKind.ANSWER_CUT, out);
        logEnd(EventCode.CALL_CUT, request, why, now, out);
    }

    /** Answers with a failure of this system. */
    void failure(DirectRequest request, Failure failure, long now, Effects out) {
        long maxRetryAfter =
                TimeUnit.NANOSECONDS.toMillis(request.deadline() - now) / RETRY_AFTER_DIVISOR;
        Problem.of(failure.kind(), failure.ran(), failure.detail())
                .withRetryAfterMillis(
                        Math.max(0, Math.min(failure.retryAfterMillis(), maxRetryAfter)))
                .answer(request.call().call(), mRetryAfter, out);
        measureRefusal(request.organisation().id().value(), failure.kind(), out);
        EventCode code = failure.ran() == Ran.NO ? EventCode.CALL_REFUSED : EventCode.CALL_FAILED;
        logEnd(code, request, failure.kind().label() + ": " + failure.detail(), now, out);
    }

    /** Refuses a call for which no {@link DirectRequest} exists. */
    void refuse(long call, String name, Problem problem, Effects out) {
        problem.answer(call, mRetryAfter, out);
        measureRefusal("", problem.kind(), out);
        out.log(
                EventCode.CALL_REFUSED,
                LogField.of("request", name),
                LogField.of("why", problem.kind().label() + ": " + problem.detail()));
    }

    private static void logEnd(
            EventCode code, DirectRequest request, String why, long now, Effects out) {
        out.log(
                code,
                LogField.of("request", request.name()),
                LogField.of("organisation", request.organisation().id()),
                LogField.of("route", request.route().id()),
                LogField.of("why", why),
                LogField.of("sends", request.budget().sends()),
                LogField.of("mayHaveRun", request.hasPossiblyRun()),
                LogField.of("millis", TimeUnit.NANOSECONDS.toMillis(now - request.arrived())));
    }

    private static void measureRefusal(String organisation, ErrorKind kind, Effects out) {
        out.measure(Metric.REFUSALS, organisation, kind.label(), 1);
    }

    private static void measure(Metric metric, DirectRequest request, long now, Effects out) {
        double seconds = (now - request.arrived()) / NANOS_PER_SECOND;
        out.measure(metric, request.organisation().id().value(), TRAFFIC_CLASS, seconds);
    }
}
