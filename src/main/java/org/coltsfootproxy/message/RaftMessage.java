package org.coltsfootproxy.message;

import java.util.List;
import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.base.Incarnation;
import org.coltsfootproxy.base.WireCode;

/**
 * Messages of the Raft protocol between the members of one replicated log.
 *
 * <p>Each carries the number of the log's group, the sender's incarnation and a term. A message
 * with a component {@code to} is meant only for that incarnation of the receiving host.
 */
public sealed interface RaftMessage extends Message {
    @Override
    default Lane lane() {
        return Lane.CONTROL;
    }

    /** Returns the number of the log's group. */
    int group();

    /** Returns the sender's incarnation. */
    Incarnation from();

    /** Returns the sender's term unless the message says otherwise. */
    long term();

    /**
     * Candidate to voter: asks for a vote or, before an election, a pre-vote.
     *
     * @param term the term of the election, which for a pre-vote is the sender's next term
     * @param pre whether this is a pre-vote, which asks whether the vote would be granted and
     *     records nothing
     * @param transfer whether the leader asked the sender to take over, so that voters don't wait
     *     for the leader's lease to expire
     * @param lastIndex index of the candidate's last log entry, 0 for an empty log
     * @param lastTerm term of the candidate's last log entry, 0 for an empty log
     */
    @WireCode(200)
    record VoteRequest(
            int group,
            Incarnation from,
            long term,
            Incarnation to,
            boolean pre,
            boolean transfer,
            long lastIndex,
            long lastTerm)
            implements RaftMessage {}

    /**
     * Voter to candidate: answers a {@link VoteRequest}.
     *
     * @param term the requested term if granted, else the voter's term
     * @param pre whether this answers a pre-vote
     */
    @WireCode(201)
    record VoteAnswer(int group, Incarnation from, long term, boolean pre, boolean granted)
            implements RaftMessage {}

    /**
     * Leader to follower: log entries to append, or a heartbeat if there are none.
     *
     * @param prevIndex index of the entry before {@code entries}, 0 if they start the log
     * @param prevTerm term of the entry at {@code prevIndex}, 0 if there is none
     * @param commitIndex last index that the leader knows to be committed
     * @param sentAtNanos time of sending by the leader's monotonic clock, which the answer repeats
     * @param entries consecutive entries from {@code prevIndex + 1}; may be empty
     */
    @WireCode(202)
    record Append(
            int group,
            Incarnation from,
            long term,
            Incarnation to,
            long prevIndex,
            long prevTerm,
            long commitIndex,
            long sentAtNanos,
            List<LogEntry> entries)
            implements RaftMessage {
        /** Copies the entries. */
        public Append {
            entries = List.copyOf(entries);
        }
    }

    /**
     * Follower to leader: answers {@link Append} and snapshot messages.
     *
     * @param matched whether the follower's log contains the leader's previous entry
     * @param index if {@code matched}, the last index that is synced to the follower's disk and
     *     equal to the leader's log; otherwise the index that the leader should try next
     * @param sentAtNanos {@code sentAtNanos} of the latest message from the leader in this term
     */
    @WireCode(203)
    record AppendAnswer(
            int group, Incarnation from, long term, boolean matched, long index, long sentAtNanos)
            implements RaftMessage {}

    /**
     * Leader to follower: a chunk of a snapshot, sent if the leader no longer has the entries that
     * the follower needs.
     *
     * @param index last log index that the snapshot covers
     * @param indexTerm term of the entry at that index
     * @param members encoded member list as of that index
     * @param size size of the complete state in bytes
     * @param offset offset of this chunk in the state, in bytes
     * @param bytes content of the chunk
     * @param sentAtNanos time of sending by the leader's monotonic clock, which the answer repeats
     */
    @WireCode(204)
    record SnapshotPiece(
            int group,
            Incarnation from,
            long term,
            Incarnation to,
            long index,
            long indexTerm,
            byte[] members,
            long size,
            long offset,
            byte[] bytes,
            long sentAtNanos)
            implements RaftMessage {}

    /**
     * Follower to leader: answers a {@link SnapshotPiece}.
     *
     * @param index last log index that the snapshot covers
     * @param nextOffset offset of the next chunk that the follower needs, in bytes
     * @param sentAtNanos {@code sentAtNanos} of the latest message from the leader in this term
     */
    @WireCode(205)
    record SnapshotAnswer(
            int group, Incarnation from, long term, long index, long nextOffset, long sentAtNanos)
            implements RaftMessage {}

    /**
     * Leader to follower: start an election at once. The leader has stopped leading in this term,
     * to transfer its leadership to the receiver.
     */
    @WireCode(206)
    record TimeoutNow(int group, Incarnation from, long term, Incarnation to)
            implements RaftMessage {}

    /**
     * Replica to leader: asks for the index that the replica must have applied to serve
     * linearizable reads.
     *
     * @param number number of the request, which the answer repeats
     */
    @WireCode(207)
    record ReadRequest(int group, Incarnation from, long term, long number)
            implements RaftMessage {}

    /**
     * Leader to replica: answers a {@link ReadRequest}.
     *
     * @param number number of the request
     * @param confirmed whether a quorum confirmed the leadership after the request arrived
     * @param index index up to which the replica must apply the log; 0 unless confirmed
     */
    @WireCode(208)
    record ReadAnswer(
            int group, Incarnation from, long term, long number, boolean confirmed, long index)
            implements RaftMessage {}

    /**
     * Host without state to the other initial hosts: asks whether they have none either.
     *
     * @param hosts initial members of the group according to the sender's settings
     */
    @WireCode(209)
    record Probe(int group, Incarnation from, long term, List<HostId> hosts)
            implements RaftMessage {
        /** Copies the hosts. */
        public Probe {
            hosts = List.copyOf(hosts);
        }
    }

    /**
     * Answers a {@link Probe}. Once all others have answered that they are blank, the first of the
     * initial hosts creates the log.
     *
     * @param blank whether the sender has no state either and its settings name the same hosts
     */
    @WireCode(210)
    record ProbeAnswer(int group, Incarnation from, long term, Incarnation to, boolean blank)
            implements RaftMessage {}
}
