package org.coltsfootproxy.entry;

import org.coltsfootproxy.base.ErrorKind;
import org.coltsfootproxy.base.Metric;
import org.coltsfootproxy.base.TrafficClass;
import org.coltsfootproxy.message.CallMessage;
import org.coltsfootproxy.node.Effect;
import org.coltsfootproxy.node.Effects;
import org.coltsfootproxy.node.Problem;

/** Sends answers to callers and records their metrics. */
final class CallerAnswers {
    private static final double NANOS_PER_SECOND = 1e9;
    private static final String CLASS = TrafficClass.ONLINE.name();

    private CallerAnswers() {}

    static void head(Request request, CallMessage.AnswerHead head, long now, Effects out) {
        out.add(new Effect.HttpHead(request.call().call(), head.status(), head.headers()));
        measureSeconds(Metric.FIRST_BYTE_SECONDS, request, now, out);
    }

    static void chunk(Request request, byte[] bytes, Effects out) {
        out.add(new Effect.HttpChunk(request.call().call(), bytes));
    }

    static void end(Request request, long now, Effects out) {
        out.add(new Effect.HttpEnd(request.call().call()));
        measureSeconds(Metric.REQUEST_SECONDS, request, now, out);
    }

    static void cut(Request request, Effects out) {
        out.add(new Effect.HttpAbort(request.call().call()));
        countRefusal(request.organisation().id().value(), ErrorKind.ANSWER_CUT, out);
    }

    static void failure(Request request, Failure failure, Effects out) {
        Problem.of(failure.kind(), failure.ran(), failure.detail())
                .withRetryAfterMillis(failure.retryAfterMillis())
                .answer(request.call().call(), out);
        countRefusal(request.organisation().id().value(), failure.kind(), out);
    }

    /** Refuses a call for which no request was created. */
    static void refuse(long call, Problem problem, Effects out) {
        problem.answer(call, out);
        countRefusal("", problem.kind(), out);
    }

    private static void countRefusal(String organisation, ErrorKind kind, Effects out) {
        out.measure(Metric.REFUSALS, organisation, kind.label(), 1);
    }

    private static void measureSeconds(Metric metric, Request request, long now, Effects out) {
        double seconds = (now - request.arrivedNanos()) / NANOS_PER_SECOND;
        out.measure(metric, request.organisation().id().value(), CLASS, seconds);
    }
}
