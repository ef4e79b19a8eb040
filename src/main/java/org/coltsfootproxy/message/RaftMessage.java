package org.coltsfootproxy.message;

import java.util.List;
import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.base.Incarnation;
import org.coltsfootproxy.base.WireCode;

/**
 * Messages between the members of one replicated log.
 *
 * <p>Each carries the number of the log's group, the sender's incarnation and term. Messages with a
 * component {@code to} are meant for that incarnation of the receiving host only.
 */
public sealed interface RaftMessage extends Message {
    @Override
    default Lane lane() {
        return Lane.CONTROL;
    }

    /** Returns the group of the log. */
    int group();

    /** Returns the sender's incarnation. */
    Incarnation from();

    /** Returns the term that the message is about. */
    long term();

    /**
     * A candidate asks for a vote.
     *
     * @param pre whether it only asks if it would get the vote; nothing is recorded then
     * @param transfer whether the leader itself asked the sender to take over
     * @param lastIndex index of the candidate's last entry
     * @param lastTerm term of the candidate's last entry
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
     * Answer to a {@link VoteRequest}.
     *
     * @param term the term that was asked about if granted, else the sender's term
     */
    @WireCode(201)
    record VoteAnswer(int group, Incarnation from, long term, boolean pre, boolean granted)
            implements RaftMessage {}

    /**
     * A leader's entries, or a heartbeat if there are none.
     *
     * @param entries consecutive entries from {@code prevIndex + 1}
     * @param commitIndex last index that the leader knows to be committed
     * @param sentAtNanos leader's clock when it sent this; comes back in the answer
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
     * Answer to leader's messages.
     *
     * @param matched whether the previous entry was there
     * @param index if matched: last index that is synced and equal to the leader's; else the index
     *     that the leader should try next
     * @param sentAtNanos that of the latest message in this term
     */
    @WireCode(203)
    record AppendAnswer(
            int group, Incarnation from, long term, boolean matched, long index, long sentAtNanos)
            implements RaftMessage {}

    /**
     * A piece of a snapshot.
     *
     * @param index last index that the snapshot covers
     * @param indexTerm term of the entry at that index
     * @param members encoded members as of that index
     * @param size bytes of the whole state
     * @param offset bytes before this piece
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
     * Answer to a {@link SnapshotPiece}.
     *
     * @param nextOffset offset of the piece that is missing next
     */
    @WireCode(205)
    record SnapshotAnswer(
            int group, Incarnation from, long term, long index, long nextOffset, long sentAtNanos)
            implements RaftMessage {}

    /** The leader has given up its term and asks the receiver to take over. */
    @WireCode(206)
    record TakeOver(int group, Incarnation from, long term, Incarnation to)
            implements RaftMessage {}

    /** A replica asks the leader up to which index it must apply to be current. */
    @WireCode(207)
    record ReadRequest(int group, Incarnation from, long term, long number)
            implements RaftMessage {}

    /**
     * Answer to a {@link ReadRequest}.
     *
     * @param confirmed whether a quorum confirmed the leader after the request arrived
     */
    @WireCode(208)
    record ReadAnswer(
            int group, Incarnation from, long term, long number, boolean confirmed, long index)
            implements RaftMessage {}

    /**
     * A host without state asks the others for theirs.
     *
     * @param hosts the hosts that are to found the group, as in the sender's settings
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
     * Answer to a {@link Probe}.
     *
     * @param blank whether the sender has no state either and its settings name the same hosts
     */
    @WireCode(210)
    record ProbeAnswer(int group, Incarnation from, long term, Incarnation to, boolean blank)
            implements RaftMessage {}
}
