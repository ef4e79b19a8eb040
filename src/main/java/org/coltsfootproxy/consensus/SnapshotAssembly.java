package org.coltsfootproxy.consensus;

import org.coltsfootproxy.message.RaftMessage;
import org.coltsfootproxy.node.LogWrite;

/** A snapshot that is being received, assembled from its pieces in order. */
final class SnapshotAssembly {
    private final RaftMessage.SnapshotPiece mFirst;
    private final byte[] mState;
    private int mSize;

    private SnapshotAssembly(RaftMessage.SnapshotPiece first) {
        mFirst = first;
        mState = new byte[Math.toIntExact(first.size())];
    }

    /** Returns an empty assembly for the snapshot that {@code piece} belongs to. */
    static SnapshotAssembly of(RaftMessage.SnapshotPiece piece) {
        return new SnapshotAssembly(piece);
    }

    /** Returns whether the piece belongs to the same snapshot from the same leader. */
    boolean accepts(RaftMessage.SnapshotPiece piece) {
        return piece.term() == mFirst.term()
                && piece.index() == mFirst.index()
                && piece.size() == mFirst.size();
    }

    /** Adds the piece if it is the next one; ignores it otherwise. */
    void add(RaftMessage.SnapshotPiece piece) {
        byte[] bytes = piece.bytes();
        if (piece.offset() == mSize && bytes.length <= mState.length - mSize) {
            System.arraycopy(bytes, 0, mState, mSize, bytes.length);
            mSize += bytes.length;
        }
    }

    long size() {
        return mSize;
    }

    boolean isComplete() {
        return mSize == mState.length;
    }

    /** Returns the complete snapshot. */
    LogWrite.Snapshot snapshot() {
        return new LogWrite.Snapshot(mFirst.index(), mFirst.indexTerm(), mFirst.members(), mState);
    }
}
