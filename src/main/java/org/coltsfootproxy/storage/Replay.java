package org.coltsfootproxy.storage;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.coltsfootproxy.base.ProxyException;
import org.coltsfootproxy.consensus.RecoveredState;
import org.coltsfootproxy.message.LogEntry;
import org.coltsfootproxy.node.LogWrite;

/** Rebuilds the vote and the log from the records of all segments, added in order. */
final class Replay {
    private final int mGroup;
    private final List<LogEntry> mEntries = new ArrayList<>();
    private LogWrite.Vote mVote = LogWrite.Vote.NONE;
    private boolean mHasDropped;

    Replay(int group) {
        mGroup = group;
    }

    /** Returns whether a segment was started for a snapshot that was never committed. */
    boolean isUnfinished(List<SegmentRecord> records, long snapshotIndex) {
        return records.stream()
                .anyMatch(
                        record ->
                                record instanceof SegmentRecord.Reset reset
                                        && reset.index() > snapshotIndex);
    }

    /** Adds the records of the next segment; returns its highest entry index, or 0. */
    long add(String name, List<SegmentRecord> records) throws ProxyException {
        if (!(records.get(0) instanceof SegmentRecord.Header header)
                || header.format() != FileLogStore.FORMAT
                || header.group() != mGroup) {
            throw Frames.damaged(name, 0, "the segment has no valid header of group " + mGroup);
        }
        long highest = 0;
        for (SegmentRecord record : records) {
            highest = Math.max(highest, add(name, record));
        }
        return highest;
    }

    private long add(String name, SegmentRecord record) throws ProxyException {
        if (record instanceof SegmentRecord.Header header) {
            mVote = header.vote();
        } else if (record instanceof SegmentRecord.VoteRecord vote) {
            mVote = vote.vote();
        } else if (record instanceof SegmentRecord.Reset) {
            mEntries.clear();
        } else if (record instanceof SegmentRecord.EntryRecord entry) {
            add(name, entry.entry());
            return entry.entry().index();
        }
        return 0;
    }

    private void add(String name, LogEntry entry) throws ProxyException {
        if (!mEntries.isEmpty()) {
            long first = mEntries.get(0).index();
            int position = (int) Math.max(0, entry.index() - first);
            if (position > mEntries.size()) {
                throw Frames.damaged(name, 0, "entries before " + entry.index() + " are missing");
            }
            mEntries.subList(position, mEntries.size()).clear();
        }
        mEntries.add(entry);
    }

    /**
     * Returns the recovered state, given the latest snapshot.
     *
     * @throws ProxyException if entries between the snapshot and the log are missing
     */
    RecoveredState finish(String folder, Optional<LogWrite.Snapshot> snapshot)
            throws ProxyException {
        snapshot.ifPresent(this::dropCovered);
        long covered = snapshot.map(LogWrite.Snapshot::index).orElse(0L);
        if (!mEntries.isEmpty() && mEntries.get(0).index() != covered + 1) {
            String detail = "entries after " + covered + " are missing";
            throw Frames.damaged(folder, 0, detail);
        }
        return new RecoveredState(mVote, snapshot, mEntries);
    }

    /**
     * Drops the entries that the snapshot covers, and all entries if the log does not continue from
     * the snapshot. The latter happens if the host crashed after the snapshot was committed but
     * before the replacement of the entries was recorded.
     */
    private void dropCovered(LogWrite.Snapshot snapshot) {
        boolean matchesLog =
                mEntries.isEmpty()
                        || mEntries.get(0).index() > snapshot.index()
                        || mEntries.stream().anyMatch(entry -> isAtSnapshot(entry, snapshot));
        mHasDropped = !matchesLog;
        mEntries.removeIf(entry -> !matchesLog || entry.index() <= snapshot.index());
    }

    private static boolean isAtSnapshot(LogEntry entry, LogWrite.Snapshot snapshot) {
        return entry.index() == snapshot.index() && entry.term() == snapshot.term();
    }

    /** Returns whether entries were dropped that the segments still contain. */
    boolean hasDropped() {
        return mHasDropped;
    }
}
