package org.coltsfootproxy.consensus;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.List;
import java.util.Optional;
import org.coltsfootproxy.base.Member;
import org.coltsfootproxy.message.LogEntry;
import org.coltsfootproxy.node.StoreWrite;

/**
 * The way back after a quorum of a group's disks is lost for good.
 *
 * <p>What only the lost hosts had synced is gone. An operator decides this, on one survivor, while
 * all processes of the group are stopped.
 */
public final class SurvivorRecovery {
    private SurvivorRecovery() {}

    /**
     * Returns the write that makes a survivor the only voter.
     *
     * <p>The entry has a term of its own that is higher than any that the survivor has been in.
     *
     * @param state what the survivor's store holds
     * @param survivor the survivor in the life that its folder names
     * @throws IllegalArgumentException if the store holds nothing
     */
    public static StoreWrite soleVoter(RecoveredState state, Member survivor) {
        checkArgument(!state.isBlank(), "the store of %s holds nothing to go on from", survivor);
        long last =
                state.entries().isEmpty()
                        ? state.snapshot().map(StoreWrite.Snapshot::index).orElse(0L)
                        : state.entries().get(state.entries().size() - 1).index();
        long term = state.vote().term() + 1;
        byte[] members = Members.ofVoters(List.of(survivor)).encode();
        LogEntry entry = LogEntry.of(last + 1, term, LogEntry.Kind.MEMBERS, members);
        return StoreWrite.of(new StoreWrite.Vote(term, Optional.empty()), List.of(entry));
    }
}
