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
 * Reports that the ledger has not acknowledged yet.
 *
 * <p>One message is on its way at a time; reports gather meanwhile, so that messages grow with the
 * load.
 */
final class ReportOutbox {
    private static final long RESEND_NANOS = 2_000 * EpochClock.NANOS_PER_MILLI;
    private static final long MAX_MESSAGE_BYTES = 768 << 10;

    private final int mGroup;
    private final Incarnation mIncarnation;
    private final Map<LeaseRef, ItemReport> mReports = new LinkedHashMap<>();
    private final Set<LeaseRef> mSent = new LinkedHashSet<>();
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
            mSent.remove(settled.lease());
            mBytes -= report == null ? 0 : report.body().length;
        }
    }

    void sendAgain() {
        mSent.clear();
    }

    /** Sends what waits if nothing is on its way, or what was not answered in time. */
    void send(HostId control, long nowNanos, Effects out) {
        if (mReports.isEmpty() || (!mSent.isEmpty() && nowNanos - mSentNanos < RESEND_NANOS)) {
            return;
        }
        mSent.clear();
        List<ItemReport> batch = new ArrayList<>();
        long bytes = 0;
        for (ItemReport report : mReports.values()) {
            if (bytes > MAX_MESSAGE_BYTES) {
                break;
            }
            bytes += report.body().length;
            batch.add(report);
            mSent.add(report.lease());
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
        return mSent.isEmpty() ? Long.MAX_VALUE : mSentNanos + RESEND_NANOS;
    }
}
