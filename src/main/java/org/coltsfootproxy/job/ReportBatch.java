package org.coltsfootproxy.job;

import java.util.ArrayList;
import java.util.List;
import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.message.ItemReport;

/**
 * Reports that wait to be proposed in one command.
 *
 * <p>A command is proposed at once while few are in flight. Otherwise reports accumulate until one
 * is committed, so that batches grow with the load.
 */
final class ReportBatch {
    private static final int MAX_REPORTS = 2_048;
    private static final long MAX_COMMAND_BYTES = 1 << 20;
    private static final long MAX_WAITING_BYTES = 16L << 20;
    private static final int REPORT_OVERHEAD_BYTES = 64;

    private final List<Entry> mWaiting = new ArrayList<>();
    private long mBytes;

    /** A report and the agent that sent it. */
    record Entry(HostId agent, ItemReport report) {
        long bytes() {
            return report.body().length + report.error().length() + REPORT_OVERHEAD_BYTES;
        }
    }

    /**
     * Adds a report unless {@value #MAX_WAITING_BYTES} bytes would be exceeded; returns whether it
     * did.
     */
    boolean add(HostId agent, ItemReport report) {
        Entry entry = new Entry(agent, report);
        if (mBytes + entry.bytes() > MAX_WAITING_BYTES) {
            return false;
        }
        mWaiting.add(entry);
        mBytes += entry.bytes();
        return true;
    }

    boolean isEmpty() {
        return mWaiting.isEmpty();
    }

    void clear() {
        mWaiting.clear();
        mBytes = 0;
    }

    /** Removes and returns the reports for the next command. */
    List<Entry> take() {
        int count = 0;
        long bytes = 0;
        while (count < mWaiting.size() && count < MAX_REPORTS && bytes < MAX_COMMAND_BYTES) {
            bytes += mWaiting.get(count++).bytes();
        }
        List<Entry> head = mWaiting.subList(0, count);
        List<Entry> taken = List.copyOf(head);
        head.clear();
        mBytes -= bytes;
        return taken;
    }
}
