package org.coltsfootproxy.storage;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.zip.CRC32C;
import org.coltsfootproxy.base.ProxyException;
import org.coltsfootproxy.node.LogWrite;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;

/**
 * The frame of a snapshot, written piece by piece.
 *
 * <p>The bytes are those that {@link Frames#write} gives for a {@link
 * SegmentRecord.SnapshotRecord}. The state may be a large part of the heap, so it is not copied as
 * a whole: the record is encoded with an empty state, which is its last component, and the state
 * follows with a header of its own.
 */
final class SnapshotFrame {
    private static final int PIECE_BYTES = 64 << 10;
    private static final byte[] EMPTY = {};

    private final byte[] mHead;
    private final byte[] mState;

    private SnapshotFrame(byte[] head, byte[] state) {
        mHead = head;
        mState = state;
    }

    /** Returns the frame of a group's snapshot. */
    static SnapshotFrame of(int group, LogWrite.Snapshot snapshot) {
        byte[] record =
                Frames.encode(
                        new SegmentRecord.SnapshotRecord(
                                FileLogStore.FORMAT,
                                group,
                                snapshot.index(),
                                snapshot.term(),
                                snapshot.members(),
                                EMPTY));
        byte[] stateHeader = binaryHeader(snapshot.state().length);
        int emptyBytes = binaryHeader(0).length;
        ByteBuffer body =
                ByteBuffer.allocate(Long.BYTES + record.length - emptyBytes + stateHeader.length)
                        .putLong(0)
                        .put(record, 0, record.length - emptyBytes)
                        .put(stateHeader);
        CRC32C crc = new CRC32C();
        crc.update(body.array());
        crc.update(snapshot.state());
        byte[] head =
                ByteBuffer.allocate(Frames.HEADER_BYTES + body.capacity())
                        .putInt(body.capacity() + snapshot.state().length)
                        .putInt((int) crc.getValue())
                        .put(body.array())
                        .array();
        return new SnapshotFrame(head, snapshot.state());
    }

    private static byte[] binaryHeader(int length) {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            packer.packBinaryHeader(length);
            return packer.toByteArray();
        } catch (IOException e) {
            throw new UncheckedIOException("can't encode a length", e);
        }
    }

    /** Appends the frame to a file. */
    void appendTo(DiskFile file) throws ProxyException {
        file.append(mHead);
        for (int from = 0; from < mState.length; from += PIECE_BYTES) {
            int end = Math.min(mState.length, from + PIECE_BYTES);
            file.append(Arrays.copyOfRange(mState, from, end));
        }
    }
}
