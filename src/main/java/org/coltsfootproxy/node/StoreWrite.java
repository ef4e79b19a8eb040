package org.coltsfootproxy.node;

import java.util.List;

/**
 * One write to the store of a replicated log's group.
 *
 * @param term current term, or -1 to leave term and vote as they are
 * @param vote host voted for in that term, or empty for none
 * @param firstIndex index of the first entry in {@code entries}; entries from there on are replaced
 * @param entries encoded entries to append, may be empty
 * @param snapshot snapshot to install before appending, or null for none
 */
public record StoreWrite(
        long term, String vote, long firstIndex, List<Entry> entries, Snapshot snapshot) {
    /** Copies the entries. */
    public StoreWrite {
        entries = List.copyOf(entries);
    }

    /** One entry of the log. */
    public record Entry(long index, long term, byte[] command) {}

    /**
     * State of the group as of an index.
     *
     * @param members encoded member list as of that index
     */
    public record Snapshot(long index, long term, byte[] members, byte[] state) {}
}
