package org.coltsfootproxy.consensus;

import java.util.List;
import java.util.Optional;
import org.coltsfootproxy.message.LogEntry;
import org.coltsfootproxy.node.LogWrite;

/**
 * The state that a member recovers from its store at start-up.
 *
 * @param entries consecutive entries; the first one leaves no gap after the snapshot
 */
public record RecoveredState(
        LogWrite.Vote vote, Optional<LogWrite.Snapshot> snapshot, List<LogEntry> entries) {
    /** Copies the entries. */
    public RecoveredState {
        entries = List.copyOf(entries);
    }

    /** Returns the state of an empty store. */
    public static RecoveredState blank() {
        return new RecoveredState(LogWrite.Vote.NONE, Optional.empty(), List.of());
    }

    /** Returns whether nothing was ever written to the store. */
    public boolean isBlank() {
        return vote.term() == 0 && snapshot.isEmpty() && entries.isEmpty();
    }
}
