package org.coltsfootproxy.net;

import io.netty.buffer.ByteBuf;

/**
 * Reads a body in chunked transfer coding (RFC 9112 section 7.1).
 *
 * <p>Netty's decoders create an object for each chunk and for each trailer field. This reader joins
 * the chunks of one read, and discards chunk extensions and trailers after it has checked them.
 */
final class ChunkedBodyReader {
    /** Most digits of a chunk's size, so that it fits into a {@code long}. */
    private static final int MAX_SIZE_DIGITS = 15;

    /** Position within the coding. */
    private enum Part {
        SIZE,
        EXTENSION,
        SIZE_END,
        DATA,
        DATA_CARRIAGE_RETURN,
        DATA_LINE_FEED,
        TRAILERS
    }

    private final int mMaxLineBytes;
    private final long mMaxExtensionBytes;
    private final HeadScanner mTrailers = HeadScanner.ofTrailers();
    private Part mPart = Part.SIZE;
    private int mDigits;
    private long mLeft;
    private int mLineBytes;
    private long mExtensionBytes;

    private ChunkedBodyReader(int maxLineBytes, long maxExtensionBytes) {
        mMaxLineBytes = maxLineBytes;
        mMaxExtensionBytes = maxExtensionBytes;
    }

    /**
     * Returns a reader of one body.
     *
     * @param maxLineBytes maximum size of the extensions of a chunk, and of all trailers together
     * @param maxExtensionBytes maximum size of the extensions of all chunks
     */
    static ChunkedBodyReader of(int maxLineBytes, long maxExtensionBytes) {
        return new ChunkedBodyReader(maxLineBytes, maxExtensionBytes);
    }

    /**
     * Moves the content of received bytes to a buffer.
     *
     * @return whether the body has ended
     * @throws InvalidMessageException if the coding is not valid
     */
    boolean read(ByteBuf in, ByteBuf content) throws InvalidMessageException {
        while (in.isReadable()) {
            if (mPart == Part.DATA) {
                int bytes = (int) Math.min(mLeft, in.readableBytes());
                content.writeBytes(in, bytes);
                mLeft -= bytes;
                mPart = mLeft == 0 ? Part.DATA_CARRIAGE_RETURN : Part.DATA;
            } else if (mPart == Part.TRAILERS) {
                if (!mTrailers.isComplete(in)) {
                    return false;
                }
                in.skipBytes(mTrailers.scannedBytes());
                return true;
            } else {
                readFraming(in.readByte());
            }
        }
        return false;
    }

    private void readFraming(byte b) throws InvalidMessageException {
        switch (mPart) {
            case SIZE -> readSize(b);
            case EXTENSION -> readExtension(b);
            case SIZE_END -> {
                expect(b, '\n');
                beginData();
            }
            case DATA_CARRIAGE_RETURN -> {
                expect(b, '\r');
                mPart = Part.DATA_LINE_FEED;
            }
            default -> {
                expect(b, '\n');
                mPart = Part.SIZE;
            }
        }
    }

    private static void expect(byte b, char expected) throws InvalidMessageException {
        if (b != expected) {
            throw new InvalidMessageException("a chunk is not delimited by its size");
        }
    }

    private void readSize(byte b) throws InvalidMessageException {
        int digit = Character.digit(b, 16);
        if (digit >= 0 && mDigits < MAX_SIZE_DIGITS) {
            mLeft = mLeft << 4 | digit;
            mDigits++;
        } else if (digit >= 0 || mDigits == 0) {
            throw new InvalidMessageException("the size of a chunk is not valid");
        } else {
            mPart = Part.EXTENSION;
            mLineBytes = 0;
            if (b != ';' && b != ' ' && b != '\t' && b != '\r') {
                throw new InvalidMessageException("the size of a chunk is not valid");
            }
            readExtension(b);
        }
    }

    private void readExtension(byte b) throws InvalidMessageException {
        if (b == '\r') {
            mPart = Part.SIZE_END;
            return;
        }
        mLineBytes++;
        mExtensionBytes++;
        boolean isControl = b >= 0 && b < ' ' && b != '\t' || b == 0x7f;
        if (isControl || mLineBytes > mMaxLineBytes || mExtensionBytes > mMaxExtensionBytes) {
            throw new InvalidMessageException("the extensions of a chunk are not valid");
        }
    }

    private void beginData() {
        if (mLeft > 0) {
            mPart = Part.DATA;
        } else {
            mPart = Part.TRAILERS;
            mTrailers.begin(mMaxLineBytes, mMaxLineBytes);
        }
        mDigits = 0;
    }
}
