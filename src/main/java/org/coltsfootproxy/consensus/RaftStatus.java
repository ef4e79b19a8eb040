package org.coltsfootproxy.consensus;

import java.util.List;
import java.util.Optional;
import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.base.Member;

/**
 * Status of a member of a group, as shown to operators.
 *
 * @param leaseValid whether this host leads with a valid lease, so that no other host can lead
 * @param lastIndex index of the last entry in this host's log
 * @param syncedIndex index of the last entry that is synced on this host
 * @param diskFull whether the last write failed because the disk is full
 * @param lags replication lag of the other members; empty unless this host leads
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

    /** Returns the status of a member of {@code group}. */
    static RaftStatus of(Group group, boolean leaseValid, List<Lag> lags) {
        return new RaftStatus(
                group.number(),
                group.self(),
                group.state(),
                group.term(),
                group.leader(),
                leaseValid,
                group.commitIndex(),
                group.appliedIndex(),
                group.log().lastIndex(),
                group.writes().syncedIndex(),
                group.writes().isDiskFull(),
                group.members(),
                lags);
    }

    /**
     * Replication lag of a member.
     *
     * @param voter whether the member is a voter
     * @param entries number of entries in the leader's log that the member has not synced
     * @param heard whether the member answered within the election timeout
     */
    public record Lag(Member member, boolean voter, long entries, boolean heard) {}
}
