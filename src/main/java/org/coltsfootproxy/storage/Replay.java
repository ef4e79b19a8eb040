package org.coltsfootproxy.storage;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.coltsfootproxy.base.ProxyException;
import org.coltsfootproxy.consensus.RecoveredState;
import org.coltsfootproxy.message.LogEntry;
import org.coltsfootproxy.node.StoreWrite;

/** The effect of the records of all segments, one after another. */
final class Replay {
    private final int mGroup;
    private final List<LogEntry> mEntries = new ArrayList<>();
    private StoreWrite.Vote mVote = StoreWrite.Vote.NONE;
    private boolean mDropped;

    Replay(int group) {
        mGroup = group;
    }

    /** Tells whether a segment was begun for a snapshot that never came into force. */
    boolean isUnfinished(List<SegmentRecord> records, long snapshotIndex) {
        return records.stream()
                .anyMatch(
                        record ->
                                record instanceof SegmentRecord.Reset reset
                                        && reset.index() > snapshotIndex);
    }

    /** Takes the records of the next segment; returns the highest index in it, or 0. */
    long add(String name, List<SegmentRecord> records) throws ProxyException {
        if (!(records.get(0) instanceof SegmentRecord.Header header)
                || header.format() != FileLogStore.FORMAT
                || header.group() != mGroup) {
            throw Frames.damaged(name, 0, "no header of group " + mGroup);
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
            int place = (int) Math.max(0, entry.index() - first);
            if (place > mEntries.size()) {
                throw Frames.damaged(name, 0, "entries before " + entry.index() + " are missing");
            }
            mEntries.subList(place, mEntries.size()).clear();
        }
        mEntries.add(entry);
    }

    /**
     * Returns the state with the latest snapshot.
     *
     * @throws ProxyException if entries between the snapshot and the log are missing
     */
    RecoveredState finish(String folder, Optional<StoreWrite.Snapshot> snapshot)
            throws ProxyException {
        snapshot.ifPresent(this::keepAfter);
        long covered = snapshot.map(StoreWrite.Snapshot::index).orElse(0L);
        if (!mEntries.isEmpty() && mEntries.get(0).index() != covered + 1) {
            String detail = "entries after " + covered + " are missing";
            throw Frames.damaged(folder, 0, detail);
        }
        return new RecoveredState(mVote, snapshot, mEntries);
    }

    /**
     * Keeps the entries after the snapshot only if they go on from it: a crash may have come after
     * the snapshot that replaces them was written and before that was recorded.
     */
    private void keepAfter(StoreWrite.Snapshot snapshot) {
        boolean fits =
                mEntries.isEmpty()
                        || mEntries.get(0).index() > snapshot.index()
                        || mEntries.stream().anyMatch(entry -> isLast(entry, snapshot));
        mDropped = !fits;
        mEntries.removeIf(entry -> !fits || entry.index() <= snapshot.index());
    }

    private static boolean isLast(LogEntry entry, StoreWrite.Snapshot snapshot) {
        return entry.index() == snapshot.index() && entry.term() == snapshot.term();
    }

    /** Tells whether entries were dropped that the segments still hold. */
    boolean hasDropped() {
        return mDropped;
    }
}
