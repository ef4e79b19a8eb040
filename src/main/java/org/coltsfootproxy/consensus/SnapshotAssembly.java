package org.coltsfootproxy.consensus;

import java.io.ByteArrayOutputStream;
import org.coltsfootproxy.message.RaftMessage;
import org.coltsfootproxy.node.StoreWrite;

/** The pieces of one snapshot that have arrived so far. */
final class SnapshotAssembly {
    private final RaftMessage.SnapshotPiece mFirst;
    private final ByteArrayOutputStream mBytes = new ByteArrayOutputStream();

    private SnapshotAssembly(RaftMessage.SnapshotPiece first) {
        mFirst = first;
    }

    /** Returns the empty assembly of the snapshot that {@code piece} is of. */
    static SnapshotAssembly of(RaftMessage.SnapshotPiece piece) {
        return new SnapshotAssembly(piece);
    }

    /** Tells whether the piece is of the same snapshot of the same leader. */
    boolean isOf(RaftMessage.SnapshotPiece piece) {
        return piece.term() == mFirst.term()
                && piece.index() == mFirst.index()
                && piece.size() == mFirst.size();
    }

    /** Adds the piece if it is the next. */
    void add(RaftMessage.SnapshotPiece piece) {
        if (piece.offset() == mBytes.size()) {
            mBytes.writeBytes(piece.bytes());
        }
    }

    long size() {
        return mBytes.size();
    }

    boolean isWhole() {
        return mBytes.size() == mFirst.size();
    }

    StoreWrite.Snapshot snapshot() {
        return new StoreWrite.Snapshot(
                mFirst.index(), mFirst.indexTerm(), mFirst.members(), mBytes.toByteArray());
    }
}
