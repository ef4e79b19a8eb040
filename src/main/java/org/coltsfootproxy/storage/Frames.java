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
 * The framing of records in a file. A frame is the length of its body (4 bytes), the CRC-32C of the
 * body (4 bytes), and the body: the number of bytes of the file that were synced when the record
 * was written (8 bytes), then the encoded record.
 *
 * <p>The synced length distinguishes a torn tail from damage: an unreadable record is damage if a
 * later record shows that it was synced, and may be the torn tail of an interrupted write
 * otherwise.
 */
final class Frames {
    /** Bytes before the body: its length and its checksum. */
    static final int HEADER_BYTES = 2 * Integer.BYTES;

    private static final int MIN_BODY_BYTES = Long.BYTES + Short.BYTES;
    private static final RecordCodec<SegmentRecord> CODEC = RecordCodec.of(SegmentRecord.class);

    /** A decoded frame; {@code end} is the offset of the next one. */
    private record Frame(SegmentRecord record, long syncedBytes, int end) {}

    /**
     * The intact records of a file.
     *
     * @param length total length of these records in the file, in bytes
     */
    record Content(List<SegmentRecord> records, int length) {}

    private Frames() {}

    /** Returns the encoding of a record, without a frame. */
    static byte[] encode(SegmentRecord record) {
        return CODEC.encode(record);
    }

    /** Appends the frame of a record to {@code out}. */
    static void write(SegmentRecord record, long syncedBytes, ByteArrayOutputStream out) {
        byte[] encoded = encode(record);
        ByteBuffer frame = ByteBuffer.allocate(HEADER_BYTES + Long.BYTES + encoded.length);
        frame.position(HEADER_BYTES);
        frame.putLong(syncedBytes).put(encoded);
        int bodyBytes = frame.position() - HEADER_BYTES;
        frame.putInt(0, bodyBytes);
        frame.putInt(Integer.BYTES, checksum(frame.array(), HEADER_BYTES, bodyBytes));
        out.writeBytes(frame.array());
    }

    private static int checksum(byte[] bytes, int offset, int length) {
        CRC32C crc = new CRC32C();
        crc.update(bytes, offset, length);
        return (int) crc.getValue();
    }

    /**
     * Returns the intact records of a file, without a torn tail.
     *
     * @param mayBeTorn whether the file may have been written to when the host stopped
     * @throws ProxyException of kind {@link ErrorKind#STORAGE_DAMAGED}, naming file and offset, if
     *     synced data is damaged
     */
    static Content read(String name, byte[] bytes, boolean mayBeTorn) throws ProxyException {
        List<SegmentRecord> records = new ArrayList<>();
        int offset = 0;
        while (offset < bytes.length) {
            Optional<Frame> frame = frameAt(name, bytes, offset);
            if (frame.isEmpty()) {
                checkTornTail(name, bytes, offset, mayBeTorn);
                break;
            }
            records.add(frame.get().record());
            offset = frame.get().end();
        }
        return new Content(records, offset);
    }

    private static Optional<Frame> frameAt(String name, byte[] bytes, int offset)
            throws ProxyException {
        if (!isIntact(bytes, offset)) {
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

    private static boolean isIntact(byte[] bytes, int offset) {
        int available = bytes.length - offset - HEADER_BYTES;
        if (available < MIN_BODY_BYTES) {
            return false;
        }
        ByteBuffer header = ByteBuffer.wrap(bytes, offset, HEADER_BYTES);
        int length = header.getInt();
        return length >= MIN_BODY_BYTES
                && length <= available
                && header.getInt() == checksum(bytes, offset + HEADER_BYTES, length);
    }

    private static SegmentRecord decode(String name, int offset, byte[] encoded)
            throws ProxyException {
        try {
            return CODEC.decode(encoded);
        } catch (ProxyException e) {
            throw damaged(name, offset, "unknown record: " + e.getMessage());
        }
    }

    private static void checkTornTail(String name, byte[] bytes, int offset, boolean mayBeTorn)
            throws ProxyException {
        if (!mayBeTorn) {
            throw damaged(name, offset, "a record is damaged in a file that was completely synced");
        }
        for (int i = offset + 1; i < bytes.length; i++) {
            if (isIntact(bytes, i) && syncedBytes(bytes, i) > offset) {
                throw damaged(name, offset, "a synced record is damaged");
            }
        }
    }

    private static long syncedBytes(byte[] bytes, int offset) {
        return ByteBuffer.wrap(bytes).getLong(offset + HEADER_BYTES);
    }

    /** Returns a {@link ErrorKind#STORAGE_DAMAGED} error for an offset of a file. */
    static ProxyException damaged(String name, long offset, String detail) {
        String text = "file " + name + " offset " + offset + ": " + detail;
        return ProxyException.of(ErrorKind.STORAGE_DAMAGED, text);
    }
}
