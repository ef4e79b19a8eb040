package org.coltsfootproxy.job;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import org.coltsfootproxy.message.JobItem;

/**
 * Packs an item into one array: the caller's id, a status and a content.
 *
 * <p>The content is the body of the call until the item ends, and then the body of the result.
 */
final class ItemPayload {
    private static final int HEAD_BYTES = Byte.BYTES + Short.BYTES;
    private static final int MAX_ID_BYTES = 255;

    private ItemPayload() {}

    /** Returns whether an id has at most {@value #MAX_ID_BYTES} bytes. */
    static boolean isValidId(String id) {
        return id.getBytes(StandardCharsets.UTF_8).length <= MAX_ID_BYTES;
    }

    /** Returns the payload of a new item. */
    static byte[] of(JobItem item) {
        byte[] id = item.id().getBytes(StandardCharsets.UTF_8);
        return pack(id, 0, item.body());
    }

    /** Returns a copy of the payload with another status and content. */
    static byte[] withContent(byte[] payload, int status, byte[] content) {
        return pack(idBytes(payload), status, content);
    }

    private static byte[] pack(byte[] id, int status, byte[] content) {
        return ByteBuffer.allocate(HEAD_BYTES + id.length + content.length)
                .put((byte) id.length)
                .putShort((short) status)
                .put(id)
                .put(content)
                .array();
    }

    private static byte[] idBytes(byte[] payload) {
        return Arrays.copyOfRange(payload, HEAD_BYTES, contentStart(payload));
    }

    /** Returns the caller's id of the item. */
    static String id(byte[] payload) {
        return new String(idBytes(payload), StandardCharsets.UTF_8);
    }

    /** Returns the HTTP status of the target's answer, or 0 if there is none. */
    static int status(byte[] payload) {
        return ByteBuffer.wrap(payload).getShort(Byte.BYTES);
    }

    static byte[] content(byte[] payload) {
        return Arrays.copyOfRange(payload, contentStart(payload), payload.length);
    }

    private static int contentStart(byte[] payload) {
        return HEAD_BYTES + Byte.toUnsignedInt(payload[0]);
    }
}
