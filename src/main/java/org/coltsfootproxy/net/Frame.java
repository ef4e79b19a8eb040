package org.coltsfootproxy.net;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import java.util.Arrays;
import org.coltsfootproxy.base.ErrorKind;
import org.coltsfootproxy.base.ProxyException;

/**
 * A frame of the peer protocol.
 *
 * <p>On the wire: the length of the rest (4 bytes), the version (1 byte), the kind (1 byte) and the
 * payload.
 *
 * @param payload encoded record; empty for ping and pong
 */
record Frame(Kind kind, byte[] payload) {
    /** The only supported version of the protocol. */
    static final byte VERSION = 1;

    /** Size of everything before the payload, in bytes. */
    static final int HEADER_BYTES = Integer.BYTES + 2;

    /** Size of the length field, in bytes. */
    static final int LENGTH_BYTES = Integer.BYTES;

    /** Maximum size of a frame during the handshake, in bytes. */
    static final int MAX_HANDSHAKE_BYTES = 1024;

    private static final byte[] EMPTY = new byte[0];
    private static final Kind[] KINDS = Kind.values();

    /** The kind of the payload. The ordinal is the number on the wire. */
    enum Kind {
        HANDSHAKE,
        MESSAGE,
        PING,
        PONG
    }

    /** Returns an encoded frame. */
    static ByteBuf encode(Kind kind, byte[] payload) {
        ByteBuf frame = Unpooled.buffer(HEADER_BYTES + payload.length);
        write(kind, payload, frame);
        return frame;
    }

    /** Writes a frame to a buffer. */
    static void write(Kind kind, byte[] payload, ByteBuf out) {
        out.writeInt(payload.length + 2).writeByte(VERSION).writeByte(kind.ordinal());
        out.writeBytes(payload);
    }

    /** Returns an encoded frame without payload. */
    static ByteBuf encode(Kind kind) {
        return encode(kind, EMPTY);
    }

    /**
     * Decodes a frame.
     *
     * @param body the bytes after the length field
     * @throws ProxyException of kind {@link ErrorKind#MALFORMED_REQUEST} if the frame is too short
     *     or its version or kind is unknown
     */
    static Frame decode(ByteBuf body) throws ProxyException {
        if (body.readableBytes() < 2) {
            throw ProxyException.of(ErrorKind.MALFORMED_REQUEST, "frame without version and kind");
        }
        byte version = body.readByte();
        if (version != VERSION) {
            throw ProxyException.of(
                    ErrorKind.MALFORMED_REQUEST, "frame of unsupported version " + version);
        }
        int kind = body.readUnsignedByte();
        if (kind >= KINDS.length) {
            throw ProxyException.of(ErrorKind.MALFORMED_REQUEST, "frame of unknown kind " + kind);
        }
        return new Frame(KINDS[kind], ByteBufUtil.getBytes(body));
    }

    @Override
    public String toString() {
        return kind + " " + Arrays.hashCode(payload);
    }
}
