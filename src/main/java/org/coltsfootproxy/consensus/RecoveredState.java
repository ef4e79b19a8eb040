package org.coltsfootproxy.consensus;

import java.util.List;
import java.util.Optional;
import org.coltsfootproxy.message.LogEntry;
import org.coltsfootproxy.node.StoreWrite;

/**
 * What a member finds in its store at a start.
 *
 * @param entries consecutive entries; the first is not beyond the one after the snapshot
 */
public record RecoveredState(
        StoreWrite.Vote vote, Optional<StoreWrite.Snapshot> snapshot, List<LogEntry> entries) {
    /** Copies the entries. */
    public RecoveredState {
        entries = List.copyOf(entries);
    }

    /** Returns the state of a store that was never written to. */
    public static RecoveredState blank() {
        return new RecoveredState(StoreWrite.Vote.NONE, Optional.empty(), List.of());
    }

    /** Tells whether nothing was ever written to the store. */
    public boolean isBlank() {
        return vote.term() == 0 && snapshot.isEmpty() && entries.isEmpty();
    }
}
