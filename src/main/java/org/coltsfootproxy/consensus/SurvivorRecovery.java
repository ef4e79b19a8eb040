package org.coltsfootproxy.consensus;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.List;
import java.util.Optional;
import org.coltsfootproxy.base.Member;
import org.coltsfootproxy.message.LogEntry;
import org.coltsfootproxy.node.LogWrite;

/**
 * Recovers a group after a quorum of its disks is permanently lost.
 *
 * <p>Entries that only the lost hosts had synced are lost. An operator runs this on one survivor
 * while all processes of the group are stopped.
 */
public final class SurvivorRecovery {
    private SurvivorRecovery() {}

    /**
     * Returns the write that makes the survivor the only voter.
     *
     * <p>The member list entry is written in a new term, higher than any the survivor has been in.
     *
     * @param state the state recovered from the survivor's store
     * @param survivor the survivor, with the incarnation stored in its data folder
     * @throws IllegalArgumentException if the store is empty
     */
    public static LogWrite soleVoter(RecoveredState state, Member survivor) {
        checkArgument(!state.isBlank(), "the store on %s holds no state to recover from", survivor);
        long last =
                state.entries().isEmpty()
                        ? state.snapshot().map(LogWrite.Snapshot::index).orElse(0L)
                        : state.entries().get(state.entries().size() - 1).index();
        long term = state.vote().term() + 1;
        byte[] members = Members.ofVoters(List.of(survivor)).encode();
        LogEntry entry = LogEntry.of(last + 1, term, LogEntry.Kind.MEMBERS, members);
        return LogWrite.of(new LogWrite.Vote(term, Optional.empty()), List.of(entry));
    }
}
