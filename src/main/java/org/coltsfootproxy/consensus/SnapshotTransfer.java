package org.coltsfootproxy.consensus;

import java.util.Arrays;
import org.coltsfootproxy.base.Member;
import org.coltsfootproxy.message.RaftMessage;
import org.coltsfootproxy.node.StoreWrite;

/** A snapshot on its way to one member, a piece at a time. */
final class SnapshotTransfer {
    private final StoreWrite.Snapshot mSnapshot;
    private long mOffset;
    private long mSentNanos;

    SnapshotTransfer(StoreWrite.Snapshot snapshot) {
        mSnapshot = snapshot;
    }

    StoreWrite.Snapshot snapshot() {
        return mSnapshot;
    }

    long index() {
        return mSnapshot.index();
    }

    /** Returns when the last piece was sent. */
    long sentNanos() {
        return mSentNanos;
    }

    /** Goes on at {@code offset}; tells whether that is another piece than the last. */
    boolean moveTo(long offset) {
        boolean moved = offset != mOffset && offset >= 0 && offset <= mSnapshot.state().length;
        if (moved) {
            mOffset = offset;
        }
        return moved;
    }

    /** Tells whether the member has all pieces and is about to sync them. */
    boolean isWhole() {
        return mOffset == mSnapshot.state().length;
    }

    /** Returns the piece at the current offset. */
    RaftMessage.SnapshotPiece piece(Group group, Member to, long nowNanos) {
        mSentNanos = nowNanos;
        byte[] state = mSnapshot.state();
        int from = (int) mOffset;
        int end = Math.min(state.length, from + group.settings().snapshotPieceBytes());
        return new RaftMessage.SnapshotPiece(
                group.number(),
                group.incarnation(),
                group.term(),
                to.incarnation(),
                mSnapshot.index(),
                mSnapshot.term(),
                mSnapshot.members(),
                state.length,
                mOffset,
                Arrays.copyOfRange(state, from, end),
                nowNanos);
    }
}
