package org.coltsfootproxy.direct;

import java.util.concurrent.TimeUnit;
import org.coltsfootproxy.base.EventCode;
import org.coltsfootproxy.base.Ran;
import org.coltsfootproxy.node.Effects;
import org.coltsfootproxy.node.LogField;
import org.coltsfootproxy.work.WorkEstimate;

/** The log lines of decisions on online requests between their arrival and their end. */
final class DirectCallLog {
    private DirectCallLog() {}

    /** Logs that a request is sent to a target, which is the request's current one. */
    static void sent(
            DirectRequest request, Target target, long listing, long remainingNanos, Effects out) {
        out.log(
                EventCode.CALL_SENT,
                LogField.of("request", request.name()),
                LogField.of("route", request.route().id()),
                LogField.of("organisation", request.organisation().id()),
                LogField.of("content", Long.toHexString(request.contentHash())),
                LogField.of("promptParts", request.content().parts()),
                LogField.of("target", target.listed().id()),
                LogField.of("version", target.listed().version()),
                LogField.of(
                        "resumes",
                        request.resumption().map(CallerCall.Resumption::firstRequest).orElse("")),
                LogField.of("online", target.online()),
                LogField.of("batch", target.batch()),
                LogField.of("expectedMillis", expectedMillis(request)),
                LogField.of("listing", listing),
                LogField.of("send", request.budget().sends()),
                LogField.of("targets", request.budget().targets()),
                LogField.of("maxTargets", request.budget().maxTargets()),
                LogField.of("after", lastEvent(request)),
                LogField.of("leftMillis", TimeUnit.NANOSECONDS.toMillis(remainingNanos)));
    }

    /** Returns the expected time in a slot of a target of usual speed; 0 if it is not estimated. */
    private static long expectedMillis(DirectRequest request) {
        boolean isEstimated = request.estimate() != WorkEstimate.UNKNOWN;
        return isEstimated ? Math.round(request.estimate().meanMillis()) : 0;
    }

    /** Logs that a request waits for the limit of a target. */
    static void held(DirectRequest request, long waitNanos, Effects out) {
        out.log(
                EventCode.CALL_HELD,
                LogField.of("request", request.name()),
                LogField.of("service", request.service()),
                LogField.of("millis", TimeUnit.NANOSECONDS.toMillis(waitNanos)));
    }

    /** Logs that an attempt at a target has ended without a complete answer. */
    static void attemptEnded(
            DirectRequest request, Target target, String why, Ran ran, Effects out) {
        out.log(
                EventCode.CALL_TRY_ENDED,
                LogField.of("request", request.name()),
                LogField.of("target", target.listed().id()),
                LogField.of("why", why),
                LogField.of("ran", ran.label()),
                LogField.of("hadHead", request.hasHead()),
                LogField.of("hadEvents", request.hasProgressed()),
                LogField.of("content", Long.toHexString(request.contentHash())),
                LogField.of("promptParts", request.content().parts()),
                LogField.of("after", lastEvent(request)));
    }

    /** Returns the last event that the caller has, from this answer or an earlier one. */
    private static String lastEvent(DirectRequest request) {
        return request.events()
                .lastId()
                .or(() -> request.resumption().map(CallerCall.Resumption::lastEvent))
                .orElse("");
    }

    /** Logs that a caller has disconnected. */
    static void callerGone(DirectRequest request, long nowNanos, Effects out) {
        out.log(
                EventCode.CALLER_GONE,
                LogField.of("request", request.name()),
                LogField.of(
                        "afterMillis",
                        TimeUnit.NANOSECONDS.toMillis(nowNanos - request.arrived())));
    }
}
