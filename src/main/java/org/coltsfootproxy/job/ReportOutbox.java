package org.coltsfootproxy.job;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Stream;
import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.base.Incarnation;
import org.coltsfootproxy.message.ItemReport;
import org.coltsfootproxy.message.JobMessage;
import org.coltsfootproxy.message.LeaseRef;
import org.coltsfootproxy.node.Effects;

/**
 * An agent's reports that have not been acknowledged yet.
 *
 * <p>One message is in flight at a time. Further reports accumulate meanwhile, so that messages
 * grow with the load.
 */
final class ReportOutbox {
    private static final long RESEND_TIMEOUT_NANOS = 2_000 * EpochClock.NANOS_PER_MILLI;
    private static final long MAX_MESSAGE_BYTES = 768 << 10;

    private final int mGroup;
    private final Incarnation mIncarnation;
    private final Map<LeaseRef, ItemReport> mReports = new LinkedHashMap<>();
    private final Set<LeaseRef> mInFlight = new LinkedHashSet<>();
    private long mSentNanos;
    private long mBytes;

    ReportOutbox(int group, Incarnation incarnation) {
        mGroup = group;
        mIncarnation = incarnation;
    }

    void add(ItemReport report) {
        if (mReports.putIfAbsent(report.lease(), report) == null) {
            mBytes += report.body().length;
        }
    }

    void acknowledge(JobMessage.Reported reported) {
        for (JobMessage.Reported.Settled settled : reported.settled()) {
            ItemReport report = mReports.remove(settled.lease());
            mInFlight.remove(settled.lease());
            mBytes -= report == null ? 0 : report.body().length;
        }
    }

    void resendAll() {
        mInFlight.clear();
    }

    /** Sends reports if no message is in flight or the last one was not acknowledged in time. */
    void send(HostId control, long nowNanos, Effects out) {
        if (mReports.isEmpty()
                || (!mInFlight.isEmpty() && nowNanos - mSentNanos < RESEND_TIMEOUT_NANOS)) {
            return;
        }
        mInFlight.clear();
        List<ItemReport> batch = new ArrayList<>();
        long bytes = 0;
        for (ItemReport report : mReports.values()) {
            if (bytes > MAX_MESSAGE_BYTES) {
                break;
            }
            bytes += report.body().length;
            batch.add(report);
            mInFlight.add(report.lease());
        }
        mSentNanos = nowNanos;
        out.send(control, new JobMessage.Report(mGroup, mIncarnation, batch));
    }

    Stream<LeaseRef> leases() {
        return mReports.keySet().stream();
    }

    boolean isEmpty() {
        return mReports.isEmpty();
    }

    long bytes() {
        return mBytes;
    }

    long nextSendNanos() {
        return mInFlight.isEmpty() ? Long.MAX_VALUE : mSentNanos + RESEND_TIMEOUT_NANOS;
    }
}
