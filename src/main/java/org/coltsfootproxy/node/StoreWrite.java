package org.coltsfootproxy.node;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.List;
import java.util.Optional;
import org.coltsfootproxy.base.Member;
import org.coltsfootproxy.message.LogEntry;

/**
 * One write to the store of a replicated log's group: a snapshot alone, or a vote and entries.
 *
 * @param vote term and vote to record, or empty to leave them as they are
 * @param snapshot snapshot to keep; entries up to its index are no longer needed, and if the entry
 *     at its index is missing or of another term, all entries are dropped
 * @param entries entries to append; entries from the first one's index on are replaced
 */
public record StoreWrite(Optional<Vote> vote, Optional<Snapshot> snapshot, List<LogEntry> entries) {
    /** Copies the entries. */
    public StoreWrite {
        entries = List.copyOf(entries);
        checkArgument(
                vote.isPresent() || snapshot.isPresent() || !entries.isEmpty(), "write of nothing");
        checkArgument(
                snapshot.isEmpty() || vote.isEmpty() && entries.isEmpty(),
                "a snapshot is written together with others");
    }

    /** Returns a write of a vote alone. */
    public static StoreWrite of(Vote vote) {
        return new StoreWrite(Optional.of(vote), Optional.empty(), List.of());
    }

    /** Returns a write of a vote and entries. */
    public static StoreWrite of(Vote vote, List<LogEntry> entries) {
        return new StoreWrite(Optional.of(vote), Optional.empty(), entries);
    }

    /** Returns a write of entries alone. */
    public static StoreWrite of(List<LogEntry> entries) {
        return new StoreWrite(Optional.empty(), Optional.empty(), entries);
    }

    /** Returns a write of a snapshot alone. */
    public static StoreWrite of(Snapshot snapshot) {
        return new StoreWrite(Optional.empty(), Optional.of(snapshot), List.of());
    }

    /**
     * A member's term and the vote that it gave in it.
     *
     * @param candidate who got the vote, or empty if nobody did
     */
    public record Vote(long term, Optional<Member> candidate) {
        /** The vote of a member that has no state. */
        public static final Vote NONE = new Vote(0, Optional.empty());
    }

    /**
     * State of the group as of an index.
     *
     * @param members encoded member list as of that index
     */
    public record Snapshot(long index, long term, byte[] members, byte[] state) {}
}
