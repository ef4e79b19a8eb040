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

/** Writes answers to callers, logs how each request ended and measures it. */
final class CallerAnswers {
    private static final double NANOS_PER_SECOND = 1e9;
    private static final String CLASS = TrafficClass.ONLINE.name();

    /** Part of the time left that a caller is told to wait at most, so that it can come back. */
    private static final int LEFT_PARTS = 3;

    private final RetryAfter mRetryAfter;

    CallerAnswers(RetryAfter retryAfter) {
        mRetryAfter = retryAfter;
    }

    /** Passes the head of a target's answer on. */
    void head(DirectRequest request, TargetAnswer answer, long now, Effects out) {
        List<Header> headers = answer.headers();
        if (request.hasEvents()) {
            // Another target may go on with the events, so their length isn't known.
            headers =
                    headers.stream()
                            .filter(h -> !h.name().equalsIgnoreCase("content-length"))
                            .toList();
        }
        out.add(new Effect.HttpHead(request.call().call(), answer.status(), headers));
        measure(Metric.FIRST_BYTE_SECONDS, request, now, out);
    }

    /** Ends a whole answer. */
    void whole(DirectRequest request, long now, Effects out) {
        out.add(new Effect.HttpEnd(request.call().call()));
        measure(Metric.REQUEST_SECONDS, request, now, out);
        logEnd(EventCode.CALL_ANSWERED, request, "whole", now, out);
    }

    /** Breaks an answer off so that nobody takes it for whole. */
    void cut(DirectRequest request, String why, long now, Effects out) {
        out.add(new Effect.HttpCut(request.call().call()));
        refusal(request.organisation().id().value(), ErrorKind.ANSWER_CUT, out);
        logEnd(EventCode.CALL_CUT, request, why, now, out);
    }

    /** Answers with a failure of the system. */
    void failure(DirectRequest request, Failure failure, long now, Effects out) {
        long most = TimeUnit.NANOSECONDS.toMillis(request.deadline() - now) / LEFT_PARTS;
        Problem.of(failure.kind(), failure.ran(), failure.detail())
                .withRetryAfterMillis(Math.max(0, Math.min(failure.retryAfterMillis(), most)))
                .answer(request.call().call(), mRetryAfter, out);
        refusal(request.organisation().id().value(), failure.kind(), out);
        EventCode code = failure.ran() == Ran.NO ? EventCode.CALL_REFUSED : EventCode.CALL_FAILED;
        logEnd(code, request, failure.kind().label() + ": " + failure.detail(), now, out);
    }

    /** Answers a call that never became a request. */
    void refuse(long call, String name, Problem problem, Effects out) {
        problem.answer(call, mRetryAfter, out);
        refusal("", problem.kind(), out);
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
                LogField.of("sends", request.sends()),
                LogField.of("mayHaveRun", request.hasMaybeRun()),
                LogField.of("millis", TimeUnit.NANOSECONDS.toMillis(now - request.arrived())));
    }

    private static void refusal(String organisation, ErrorKind kind, Effects out) {
        out.measure(Metric.REFUSALS, organisation, kind.label(), 1);
    }

    private static void measure(Metric metric, DirectRequest request, long now, Effects out) {
        double seconds = (now - request.arrived()) / NANOS_PER_SECOND;
        out.measure(metric, request.organisation().id().value(), CLASS, seconds);
    }
}
