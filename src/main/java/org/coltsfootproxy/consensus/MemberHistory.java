package org.coltsfootproxy.consensus;

import java.util.Map;
import java.util.TreeMap;

/**
 * The member lists by the index of the entry that set each. The latest is in force, committed or
 * not.
 */
final class MemberHistory {
    private final TreeMap<Long, Members> mByIndex = new TreeMap<>();

    MemberHistory() {
        mByIndex.put(0L, Members.NONE);
    }

    Members current() {
        return mByIndex.lastEntry().getValue();
    }

    /** Returns the index of the entry that set the current list. */
    long currentIndex() {
        return mByIndex.lastKey();
    }

    /** Returns the list in force at {@code index}. */
    Members at(long index) {
        Map.Entry<Long, Members> entry = mByIndex.floorEntry(index);
        return entry == null ? Members.NONE : entry.getValue();
    }

    void set(long index, Members members) {
        mByIndex.put(index, members);
    }

    void truncateFrom(long index) {
        mByIndex.tailMap(index, true).clear();
    }

    /** Replaces all lists with the one in force at {@code index}. */
    void reset(long index, Members members) {
        mByIndex.clear();
        mByIndex.put(index, members);
    }
}
