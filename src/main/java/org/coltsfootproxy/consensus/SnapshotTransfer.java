package org.coltsfootproxy.consensus;

import java.util.Arrays;
import org.coltsfootproxy.base.Member;
import org.coltsfootproxy.message.RaftMessage;
import org.coltsfootproxy.node.LogWrite;

/** The transfer of a snapshot to one member, one piece at a time. */
final class SnapshotTransfer {
    private final LogWrite.Snapshot mSnapshot;
    private long mOffset;
    private long mSentNanos;

    SnapshotTransfer(LogWrite.Snapshot snapshot) {
        mSnapshot = snapshot;
    }

    LogWrite.Snapshot snapshot() {
        return mSnapshot;
    }

    long index() {
        return mSnapshot.index();
    }

    /** Returns when the last piece was sent. */
    long sentNanos() {
        return mSentNanos;
    }

    /** Moves to {@code offset}; returns false if that is the current offset or out of range. */
    boolean moveTo(long offset) {
        boolean moved = offset != mOffset && offset >= 0 && offset <= mSnapshot.state().length;
        if (moved) {
            mOffset = offset;
        }
        return moved;
    }

    /** Returns whether the member has received all pieces; it may not have synced them yet. */
    boolean isComplete() {
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
