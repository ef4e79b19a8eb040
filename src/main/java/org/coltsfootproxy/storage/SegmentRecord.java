package org.coltsfootproxy.storage;

import java.util.Optional;
import org.coltsfootproxy.base.Member;
import org.coltsfootproxy.base.WireCode;
import org.coltsfootproxy.message.LogEntry;
import org.coltsfootproxy.node.StoreWrite;

/** What a log's files hold, one record after another. */
sealed interface SegmentRecord {
    /**
     * First record of a segment.
     *
     * @param candidate who got the vote in {@code term}, or null
     */
    @WireCode(1)
    record Header(int format, int group, long term, Member candidate) implements SegmentRecord {
        StoreWrite.Vote vote() {
            return new StoreWrite.Vote(term, Optional.ofNullable(candidate));
        }
    }

    /**
     * A vote that replaces earlier ones.
     *
     * @param candidate who got the vote in {@code term}, or null
     */
    @WireCode(2)
    record VoteRecord(long term, Member candidate) implements SegmentRecord {
        static VoteRecord of(StoreWrite.Vote vote) {
            return new VoteRecord(vote.term(), vote.candidate().orElse(null));
        }

        StoreWrite.Vote vote() {
            return new StoreWrite.Vote(term, Optional.ofNullable(candidate));
        }
    }

    /** An entry that replaces earlier ones from its index on. */
    @WireCode(3)
    record EntryRecord(LogEntry entry) implements SegmentRecord {}

    /** All entries before were replaced by the snapshot at this index. */
    @WireCode(4)
    record Reset(long index, long term) implements SegmentRecord {}

    /** Content of a snapshot file. */
    @WireCode(5)
    record SnapshotRecord(
            int format, int group, long index, long term, byte[] members, byte[] state)
            implements SegmentRecord {}
}
