package org.coltsfootproxy.consensus;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.ArrayList;
import java.util.List;
import org.coltsfootproxy.message.LogEntry;

/**
 * The entries of a log that are in memory: all after a base index, whose entry is known by its term
 * only.
 */
final class RaftLog {
    private final List<LogEntry> mEntries = new ArrayList<>();
    private long mBaseIndex;
    private long mBaseTerm;

    /** Returns the index before the first entry. */
    long baseIndex() {
        return mBaseIndex;
    }

    long lastIndex() {
        return mBaseIndex + mEntries.size();
    }

    long lastTerm() {
        return term(lastIndex());
    }

    /** Returns the entry's term, or -1 if it is not known. */
    long term(long index) {
        if (index == mBaseIndex) {
            return mBaseTerm;
        }
        return index < mBaseIndex || index > lastIndex() ? -1 : entry(index).term();
    }

    LogEntry entry(long index) {
        checkArgument(index > mBaseIndex && index <= lastIndex(), "no entry %s", index);
        return mEntries.get((int) (index - mBaseIndex - 1));
    }

    /** Adds an entry at the end. */
    void append(LogEntry entry) {
        checkArgument(entry.index() == lastIndex() + 1, "entry %s leaves a gap", entry.index());
        mEntries.add(entry);
    }

    /** Removes the entries from {@code index} on. */
    void truncateFrom(long index) {
        mEntries.subList((int) (index - mBaseIndex - 1), mEntries.size()).clear();
    }

    /** Forgets the entries up to and including {@code index}. */
    void compactTo(long index) {
        if (index > mBaseIndex) {
            long term = term(index);
            mEntries.subList(0, (int) (index - mBaseIndex)).clear();
            mBaseIndex = index;
            mBaseTerm = term;
        }
    }

    /** Forgets all entries and goes on after {@code index}. */
    void reset(long index, long term) {
        mEntries.clear();
        mBaseIndex = index;
        mBaseTerm = term;
    }

    /** Returns the entries from {@code index} on, at least one if there is one, up to a size. */
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

    /** Tells whether a log that ends with this index and term is at least as recent as this. */
    boolean isUpToDate(long index, long term) {
        return term > lastTerm() || term == lastTerm() && index >= lastIndex();
    }

    /**
     * Returns the index that a leader should try next when the entry before did not match: the
     * first of this log's entries in the term that conflicts.
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
