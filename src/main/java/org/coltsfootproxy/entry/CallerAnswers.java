package org.coltsfootproxy.entry;

import org.coltsfootproxy.base.ErrorKind;
import org.coltsfootproxy.base.Metric;
import org.coltsfootproxy.base.TrafficClass;
import org.coltsfootproxy.message.CallMessage;
import org.coltsfootproxy.node.Effect;
import org.coltsfootproxy.node.Effects;
import org.coltsfootproxy.node.Problem;

/** Writes answers to callers and measures them. */
final class CallerAnswers {
    private static final double NANOS_PER_SECOND = 1e9;
    private static final String CLASS = TrafficClass.ONLINE.name();

    private CallerAnswers() {}

    static void head(Request request, CallMessage.AnswerHead head, long now, Effects out) {
        out.add(new Effect.HttpHead(request.call().call(), head.status(), head.headers()));
        measure(Metric.FIRST_BYTE_SECONDS, request, now, out);
    }

    static void chunk(Request request, byte[] bytes, Effects out) {
        out.add(new Effect.HttpChunk(request.call().call(), bytes));
    }

    static void whole(Request request, long now, Effects out) {
        out.add(new Effect.HttpEnd(request.call().call()));
        measure(Metric.REQUEST_SECONDS, request, now, out);
    }

    static void cut(Request request, Effects out) {
        out.add(new Effect.HttpCut(request.call().call()));
        refusal(request.organisation().id().value(), ErrorKind.ANSWER_CUT, out);
    }

    static void failure(Request request, Failure failure, Effects out) {
        Problem.of(failure.kind(), failure.ran(), failure.detail())
                .withRetryAfterMillis(failure.retryAfterMillis())
                .answer(request.call().call(), out);
        refusal(request.organisation().id().value(), failure.kind(), out);
    }

    /** Answers a call that never became a request. */
    static void refuse(long call, Problem problem, Effects out) {
        problem.answer(call, out);
        refusal("", problem.kind(), out);
    }

    private static void refusal(String organisation, ErrorKind kind, Effects out) {
        out.measure(Metric.REFUSALS, organisation, kind.label(), 1);
    }

    private static void measure(Metric metric, Request request, long now, Effects out) {
        double seconds = (now - request.arrived()) / NANOS_PER_SECOND;
        out.measure(metric, request.organisation().id().value(), CLASS, seconds);
    }
}
