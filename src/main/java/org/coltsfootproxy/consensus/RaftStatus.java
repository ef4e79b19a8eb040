package org.coltsfootproxy.consensus;

import java.util.List;
import java.util.Optional;
import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.base.Member;

/**
 * What operators are shown of a member of a group.
 *
 * @param leaseValid whether this host leads and no other can
 * @param lastIndex last entry of this host's log
 * @param syncedIndex last entry that is synced here
 * @param diskFull whether the last write failed because the disk is full
 * @param lags what the leader knows of the other members; empty elsewhere
 */
public record RaftStatus(
        int group,
        Member self,
        MemberState state,
        long term,
        Optional<HostId> leader,
        boolean leaseValid,
        long commitIndex,
        long appliedIndex,
        long lastIndex,
        long syncedIndex,
        boolean diskFull,
        Members members,
        List<Lag> lags) {
    /** Copies the list. */
    public RaftStatus {
        lags = List.copyOf(lags);
    }

    /**
     * How far a member is behind.
     *
     * @param voter whether it votes
     * @param entries entries of the leader's log that it has not synced yet
     * @param heard whether it answered within the election timeout
     */
    public record Lag(Member member, boolean voter, long entries, boolean heard) {}
}
