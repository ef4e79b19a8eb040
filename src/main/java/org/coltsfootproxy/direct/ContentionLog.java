package org.coltsfootproxy.direct;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;
import org.coltsfootproxy.admission.ContentionControl;
import org.coltsfootproxy.admission.ContentionVerdict;
import org.coltsfootproxy.admission.ReceivedShares;
import org.coltsfootproxy.base.EventCode;
import org.coltsfootproxy.base.Metric;
import org.coltsfootproxy.node.Effects;
import org.coltsfootproxy.node.LogField;

/**
 * Logs and measures decisions under contention: why a request was refused, and which requests were
 * admitted just before.
 */
final class ContentionLog {
    /** Number of admitted requests that a log line names. */
    private static final int NAMED_REQUESTS = 3;

    /** Number of organisations that a log line names. */
    private static final int NAMED_ORGANISATIONS = 3;

    private final ReceivedShares mShares;
    private final Deque<String> mAdmitted = new ArrayDeque<>();

    ContentionLog(ReceivedShares shares) {
        mShares = shares;
    }

    /** Notes a decision; one without contention is not logged. */
    void decided(
            DirectRequest request,
            ContentionControl.Request contender,
            ContentionControl.Load load,
            ContentionControl.Outcome outcome,
            long nowNanos,
            Effects out) {
        ContentionVerdict verdict = outcome.verdict();
        if (verdict == ContentionVerdict.IDLE) {
            return;
        }
        out.measure(
                Metric.CONTENTION_DECISIONS, contender.organisation().value(), verdict.label(), 1);
        if (verdict.isAdmitted()) {
            mAdmitted.addLast(
                    request.name() + "/" + contender.organisation() + "/" + verdict.label());
            if (mAdmitted.size() > NAMED_REQUESTS) {
                mAdmitted.removeFirst();
            }
            return;
        }
        out.log(
                EventCode.CALL_SHED,
                LogField.of("request", request.name()),
                LogField.of("organisation", contender.organisation()),
                LogField.of("service", contender.service()),
                LogField.of("verdict", verdict.label()),
                LogField.of("rank", contender.rank()),
                LogField.of("waitMillis", millis(load.waitNanos())),
                LogField.of("maxWaitMillis", millis(outcome.maxWaitNanos())),
                LogField.of("reservedMillis", millis(outcome.reservedNanos())),
                LogField.of("shareRatio", Math.round(outcome.shareRatio() * 100) / 100.0),
                LogField.of("returnMillis", millis(outcome.returnNanos())),
                LogField.of("isReserved", outcome.isReserved()),
                LogField.of("admittedBefore", mAdmitted),
                LogField.of("received", mShares.largest(NAMED_ORGANISATIONS, nowNanos)));
    }

    private static long millis(double nanos) {
        return (long) (nanos / TimeUnit.MILLISECONDS.toNanos(1));
    }
}
