package org.coltsfootproxy.node;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.List;
import java.util.Optional;
import org.coltsfootproxy.base.Member;
import org.coltsfootproxy.message.LogEntry;

/**
 * One write to the storage of a replicated log: either a snapshot alone, or a vote, entries or
 * both.
 *
 * @param vote term and vote to record, or empty to keep the recorded ones
 * @param snapshot snapshot to keep, or empty. Entries up to its index are no longer needed; if the
 *     entry at its index is missing or has another term, all entries are discarded
 * @param entries entries to append, or empty. Entries from the first one's index on are replaced
 */
public record LogWrite(Optional<Vote> vote, Optional<Snapshot> snapshot, List<LogEntry> entries) {
    /** Copies the entries and checks the combination of components. */
    public LogWrite {
        entries = List.copyOf(entries);
        checkArgument(
                vote.isPresent() || snapshot.isPresent() || !entries.isEmpty(),
                "write has no vote, snapshot or entries");
        checkArgument(
                snapshot.isEmpty() || vote.isEmpty() && entries.isEmpty(),
                "snapshot is written together with a vote or entries");
    }

    /** Returns a write of a vote alone. */
    public static LogWrite of(Vote vote) {
        return new LogWrite(Optional.of(vote), Optional.empty(), List.of());
    }

    /** Returns a write of a vote and entries. */
    public static LogWrite of(Vote vote, List<LogEntry> entries) {
        return new LogWrite(Optional.of(vote), Optional.empty(), entries);
    }

    /** Returns a write of entries alone. */
    public static LogWrite of(List<LogEntry> entries) {
        return new LogWrite(Optional.empty(), Optional.empty(), entries);
    }

    /** Returns a write of a snapshot alone. */
    public static LogWrite of(Snapshot snapshot) {
        return new LogWrite(Optional.empty(), Optional.of(snapshot), List.of());
    }

    /**
     * A member's current term and its vote in that term.
     *
     * @param candidate the candidate that got the vote, or empty if none did
     */
    public record Vote(long term, Optional<Member> candidate) {
        /** The vote of a member without state: term 0 and no candidate. */
        public static final Vote NONE = new Vote(0, Optional.empty());
    }

    /**
     * A snapshot of the state machine.
     *
     * @param index last log index that the snapshot covers
     * @param term term of the entry at that index
     * @param members encoded member list as of that index
     * @param state encoded state of the state machine as of that index
     */
    public record Snapshot(long index, long term, byte[] members, byte[] state) {}
}
