package org.coltsfootproxy.consensus;

import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import org.coltsfootproxy.message.LogEntry;
import org.coltsfootproxy.node.Effect;
import org.coltsfootproxy.node.LogWrite;

/** Rebuilds the state that a store would recover from the writes that a host in a test synced. */
public final class StoredWrites {
    private StoredWrites() {}

    /** Returns the state of a group after the given writes, applied in order. */
    public static RecoveredState recovered(int group, List<Effect.Persist> stored) {
        LogWrite.Vote vote = LogWrite.Vote.NONE;
        Optional<LogWrite.Snapshot> snapshot = Optional.empty();
        TreeMap<Long, LogEntry> entries = new TreeMap<>();
        for (Effect.Persist persist : stored) {
            if (persist.group() != group) {
                continue;
            }
            vote = persist.write().vote().orElse(vote);
            if (persist.write().snapshot().isPresent()) {
                snapshot = persist.write().snapshot();
                entries.clear();
            }
            for (LogEntry entry : persist.write().entries()) {
                entries.tailMap(entry.index(), true).clear();
                entries.put(entry.index(), entry);
            }
        }
        return new RecoveredState(vote, snapshot, List.copyOf(entries.values()));
    }
}
