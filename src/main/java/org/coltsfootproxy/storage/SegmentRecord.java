package org.coltsfootproxy.storage;

import java.util.Optional;
import org.coltsfootproxy.base.Member;
import org.coltsfootproxy.base.WireCode;
import org.coltsfootproxy.message.LogEntry;
import org.coltsfootproxy.node.LogWrite;

/** The records in segment files and snapshot files. */
sealed interface SegmentRecord {
    /**
     * First record of a segment; repeats the vote that is valid when the segment starts.
     *
     * @param candidate member that got this host's vote in {@code term}, or null
     */
    @WireCode(1)
    record Header(int format, int group, long term, Member candidate) implements SegmentRecord {
        LogWrite.Vote vote() {
            return new LogWrite.Vote(term, Optional.ofNullable(candidate));
        }
    }

    /**
     * A vote that replaces earlier ones.
     *
     * @param candidate member that got this host's vote in {@code term}, or null
     */
    @WireCode(2)
    record VoteRecord(long term, Member candidate) implements SegmentRecord {
        static VoteRecord of(LogWrite.Vote vote) {
            return new VoteRecord(vote.term(), vote.candidate().orElse(null));
        }

        LogWrite.Vote vote() {
            return new LogWrite.Vote(term, Optional.ofNullable(candidate));
        }
    }

    /** An entry that replaces all earlier entries at its index and above. */
    @WireCode(3)
    record EntryRecord(LogEntry entry) implements SegmentRecord {}

    /** Marks that the snapshot at this index replaced all entries recorded before. */
    @WireCode(4)
    record Reset(long index, long term) implements SegmentRecord {}

    /** The only record of a snapshot file. */
    @WireCode(5)
    record SnapshotRecord(
            int format, int group, long index, long term, byte[] members, byte[] state)
            implements SegmentRecord {}
}
