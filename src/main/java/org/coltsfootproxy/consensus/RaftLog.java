package org.coltsfootproxy.consensus;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.ArrayList;
import java.util.List;
import org.coltsfootproxy.message.LogEntry;

/**
 * The part of the log held in memory: all entries after a base index. Of the entry at the base
 * index, only the term is known.
 */
final class RaftLog {
    private final List<LogEntry> mEntries = new ArrayList<>();
    private long mBaseIndex;
    private long mBaseTerm;
    private long mBytes;

    /** Returns the index before the first entry in memory. */
    long baseIndex() {
        return mBaseIndex;
    }

    long lastIndex() {
        return mBaseIndex + mEntries.size();
    }

    long lastTerm() {
        return term(lastIndex());
    }

    /** Returns the term of the entry at {@code index}, or -1 if it is not known. */
    long term(long index) {
        if (index == mBaseIndex) {
            return mBaseTerm;
        }
        return index < mBaseIndex || index > lastIndex() ? -1 : entry(index).term();
    }

    LogEntry entry(long index) {
        checkArgument(
                index > mBaseIndex && index <= lastIndex(),
                "no log entry with index %s in memory",
                index);
        return mEntries.get((int) (index - mBaseIndex - 1));
    }

    /** Returns the size in bytes of the entries in memory. */
    long bytes() {
        return mBytes;
    }

    /** Appends an entry. */
    void append(LogEntry entry) {
        checkArgument(
                entry.index() == lastIndex() + 1,
                "log entry %s does not follow the last entry",
                entry.index());
        mEntries.add(entry);
        mBytes += entry.bytes();
    }

    /** Removes the entries from {@code index} on. */
    void truncateFrom(long index) {
        remove(mEntries.subList((int) (index - mBaseIndex - 1), mEntries.size()));
    }

    /**
     * Drops the entries up to and including {@code index}, except for the last ones that exceed
     * neither {@code maxEntries} nor {@code maxBytes}.
     */
    void compact(long index, int maxEntries, long maxBytes) {
        long base = index;
        long bytes = 0;
        while (base > mBaseIndex && index - base < maxEntries) {
            bytes += entry(base).bytes();
            if (bytes > maxBytes) {
                break;
            }
            base--;
        }
        if (base > mBaseIndex) {
            long term = term(base);
            remove(mEntries.subList(0, (int) (base - mBaseIndex)));
            mBaseIndex = base;
            mBaseTerm = term;
        }
    }

    private void remove(List<LogEntry> entries) {
        mBytes -= entries.stream().mapToLong(LogEntry::bytes).sum();
        entries.clear();
    }

    /** Drops all entries and continues after {@code index}. */
    void reset(long index, long term) {
        mEntries.clear();
        mBytes = 0;
        mBaseIndex = index;
        mBaseTerm = term;
    }

    /** Returns the entries from {@code index} on that fit {@code maxBytes}, at least one if any. */
    List<LogEntry> slice(long index, int maxBytes) {
        List<LogEntry> slice = new ArrayList<>();
        int bytes = 0;
        for (long i = index; i <= lastIndex(); i++) {
            LogEntry entry = entry(i);
            bytes += entry.bytes();
            if (!slice.isEmpty() && bytes > maxBytes) {
                break;
            }
            slice.add(entry);
        }
        return slice;
    }

    /**
     * Returns whether a log that ends with this index and term is at least as recent as this one.
     */
    boolean isUpToDate(long index, long term) {
        return term > lastTerm() || term == lastTerm() && index >= lastIndex();
    }

    /**
     * Returns the index from which the leader should retry when the entry at {@code prevIndex} did
     * not match: the first entry in this log of the conflicting term, or the one after the last if
     * this log ends earlier.
     */
    long retryIndex(long prevIndex) {
        if (prevIndex > lastIndex()) {
            return lastIndex() + 1;
        }
        long term = term(prevIndex);
        long index = prevIndex;
        while (index > mBaseIndex + 1 && term(index - 1) == term) {
            index--;
        }
        return Math.max(index, mBaseIndex + 1);
    }
}
