package org.coltsfootproxy.storage;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.zip.CRC32C;
import org.coltsfootproxy.base.ErrorKind;
import org.coltsfootproxy.base.ProxyException;
import org.coltsfootproxy.base.RecordCodec;

/**
 * The layout of records in a file: length of the body (4 bytes), CRC-32C of the body (4 bytes), and
 * the body: how much of the file was synced when the record was written (8 bytes), then the record.
 *
 * <p>The synced length tells a torn tail from damage: a bad record that a later one says was synced
 * is damage.
 */
final class Frames {
    private static final int HEAD_BYTES = 2 * Integer.BYTES;
    private static final int MIN_BODY_BYTES = Long.BYTES + Short.BYTES;
    private static final RecordCodec<SegmentRecord> CODEC = RecordCodec.of(SegmentRecord.class);

    /** A record and where the next one begins. */
    private record Frame(SegmentRecord record, long syncedBytes, int end) {}

    /**
     * The records of a file.
     *
     * @param length bytes of the file that are whole records
     */
    record Content(List<SegmentRecord> records, int length) {}

    private Frames() {}

    /** Appends the frame of a record to {@code out}. */
    static void write(SegmentRecord record, long syncedBytes, ByteArrayOutputStream out) {
        byte[] encoded = CODEC.encode(record);
        ByteBuffer frame = ByteBuffer.allocate(HEAD_BYTES + Long.BYTES + encoded.length);
        frame.position(HEAD_BYTES);
        frame.putLong(syncedBytes).put(encoded);
        int bodyBytes = frame.position() - HEAD_BYTES;
        frame.putInt(0, bodyBytes);
        frame.putInt(Integer.BYTES, checksum(frame.array(), HEAD_BYTES, bodyBytes));
        out.writeBytes(frame.array());
    }

    private static int checksum(byte[] bytes, int offset, int length) {
        CRC32C crc = new CRC32C();
        crc.update(bytes, offset, length);
        return (int) crc.getValue();
    }

    /**
     * Returns the whole records of a file up to its torn tail.
     *
     * @param mayBeTorn whether the file is the one that was being written
     * @throws ProxyException of kind {@link ErrorKind#STORAGE_DAMAGED}, naming file and offset, if
     *     something is damaged that was synced
     */
    static Content read(String name, byte[] bytes, boolean mayBeTorn) throws ProxyException {
        List<SegmentRecord> records = new ArrayList<>();
        int offset = 0;
        while (offset < bytes.length) {
            Optional<Frame> frame = frameAt(name, bytes, offset);
            if (frame.isEmpty()) {
                checkTorn(name, bytes, offset, mayBeTorn);
                break;
            }
            records.add(frame.get().record());
            offset = frame.get().end();
        }
        return new Content(records, offset);
    }

    private static Optional<Frame> frameAt(String name, byte[] bytes, int offset)
            throws ProxyException {
        if (!isWhole(bytes, offset)) {
            return Optional.empty();
        }
        ByteBuffer buffer = ByteBuffer.wrap(bytes, offset, bytes.length - offset);
        int length = buffer.getInt();
        buffer.getInt();
        long syncedBytes = buffer.getLong();
        byte[] encoded = new byte[length - Long.BYTES];
        buffer.get(encoded);
        return Optional.of(
                new Frame(decode(name, offset, encoded), syncedBytes, buffer.position()));
    }

    private static boolean isWhole(byte[] bytes, int offset) {
        int left = bytes.length - offset - HEAD_BYTES;
        if (left < MIN_BODY_BYTES) {
            return false;
        }
        ByteBuffer head = ByteBuffer.wrap(bytes, offset, HEAD_BYTES);
        int length = head.getInt();
        return length >= MIN_BODY_BYTES
                && length <= left
                && head.getInt() == checksum(bytes, offset + HEAD_BYTES, length);
    }

    private static SegmentRecord decode(String name, int offset, byte[] encoded)
            throws ProxyException {
        try {
            return CODEC.decode(encoded);
        } catch (ProxyException e) {
            throw damaged(name, offset, "unknown record: " + e.getMessage());
        }
    }

    private static void checkTorn(String name, byte[] bytes, int offset, boolean mayBeTorn)
            throws ProxyException {
        if (!mayBeTorn) {
            throw damaged(name, offset, "a record is damaged and later files exist");
        }
        for (int i = offset + 1; i < bytes.length; i++) {
            if (isWhole(bytes, i) && syncedBytes(bytes, i) > offset) {
                throw damaged(name, offset, "a record is damaged that was synced");
            }
        }
    }

    private static long syncedBytes(byte[] bytes, int offset) {
        return ByteBuffer.wrap(bytes).getLong(offset + HEAD_BYTES);
    }

    /** Returns the error for damage at an offset of a file. */
    static ProxyException damaged(String name, long offset, String detail) {
        String text = "file " + name + " offset " + offset + ": " + detail;
        return ProxyException.of(ErrorKind.STORAGE_DAMAGED, text);
    }
}
