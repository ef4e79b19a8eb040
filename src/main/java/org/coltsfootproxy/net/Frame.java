package org.coltsfootproxy.net;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import java.util.Arrays;
import org.coltsfootproxy.base.ErrorKind;
import org.coltsfootproxy.base.ProxyException;

/**
 * One frame between peers: length (4 bytes, of what follows), version (1), kind (1) and payload.
 *
 * @param payload encoded record; empty for ping and pong
 */
record Frame(Kind kind, byte[] payload) {
    /** The version that this binary speaks. */
    static final byte VERSION = 1;

    /** Bytes before the payload. */
    static final int HEADER_BYTES = Integer.BYTES + 2;

    /** Bytes of the length field. */
    static final int LENGTH_BYTES = Integer.BYTES;

    /** Largest frame before the peer is known. */
    static final int MAX_HANDSHAKE_BYTES = 1024;

    private static final byte[] EMPTY = new byte[0];
    private static final Kind[] KINDS = Kind.values();

    /** What the payload is. The position is the number on the wire. */
    enum Kind {
        HANDSHAKE,
        MESSAGE,
        PING,
        PONG
    }

    /** Returns the bytes of a frame. */
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

    /** Returns the bytes of a frame without payload. */
    static ByteBuf encode(Kind kind) {
        return encode(kind, EMPTY);
    }

    /**
     * Returns the frame that {@code body} holds after the length.
     *
     * @throws ProxyException of kind {@link ErrorKind#MALFORMED_REQUEST} if it holds none
     */
    static Frame decode(ByteBuf body) throws ProxyException {
        if (body.readableBytes() < 2) {
            throw ProxyException.of(ErrorKind.MALFORMED_REQUEST, "frame of no kind");
        }
        byte version = body.readByte();
        if (version != VERSION) {
            throw ProxyException.of(ErrorKind.MALFORMED_REQUEST, "frame of version " + version);
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
