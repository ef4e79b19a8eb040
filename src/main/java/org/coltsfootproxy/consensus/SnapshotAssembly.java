package org.coltsfootproxy.consensus;

import java.io.ByteArrayOutputStream;
import org.coltsfootproxy.message.RaftMessage;
import org.coltsfootproxy.node.LogWrite;

/** A snapshot that is being received, assembled from its pieces in order. */
final class SnapshotAssembly {
    private final RaftMessage.SnapshotPiece mFirst;
    private final ByteArrayOutputStream mBytes = new ByteArrayOutputStream();

    private SnapshotAssembly(RaftMessage.SnapshotPiece first) {
        mFirst = first;
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
        if (piece.offset() == mBytes.size()) {
            mBytes.writeBytes(piece.bytes());
        }
    }

    long size() {
        return mBytes.size();
    }

    boolean isComplete() {
        return mBytes.size() == mFirst.size();
    }

    LogWrite.Snapshot snapshot() {
        return new LogWrite.Snapshot(
                mFirst.index(), mFirst.indexTerm(), mFirst.members(), mBytes.toByteArray());
    }
}
