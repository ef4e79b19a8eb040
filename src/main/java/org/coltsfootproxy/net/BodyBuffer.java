package org.coltsfootproxy.net;

import io.netty.buffer.ByteBuf;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Queue;

/**
 * The content of a body that is being received.
 *
 * <p>A body of unknown size consists of segments, so that nothing is copied while it grows; an
 * array that doubles would take up to three times the content. Not thread-safe.
 */
final class BodyBuffer {
    private static final int MIN_SEGMENT_BYTES = 256;
    private static final int MAX_SEGMENT_BYTES = 64 << 10;

    private final int mExpectedBytes;
    private final Queue<byte[]> mFullSegments = new ArrayDeque<>();
    private byte[] mSegment;
    private int mSegmentBytes;
    private int mSize;
    private long mCapacity;

    private BodyBuffer(int expectedBytes) {
        mExpectedBytes = expectedBytes;
        mSegment = new byte[Math.min(expectedBytes, MAX_SEGMENT_BYTES)];
        mCapacity = mSegment.length;
    }

    /**
     * Returns an empty buffer.
     *
     * @param expectedBytes size of the whole body if it is known, else 0
     */
    static BodyBuffer expecting(int expectedBytes) {
        return new BodyBuffer(expectedBytes);
    }

    /** Appends the readable bytes of a buffer. */
    void append(ByteBuf bytes) {
        while (bytes.isReadable()) {
            if (mSegmentBytes == mSegment.length) {
                addSegment();
            }
            int moved = Math.min(bytes.readableBytes(), mSegment.length - mSegmentBytes);
            bytes.readBytes(mSegment, mSegmentBytes, moved);
            mSegmentBytes += moved;
            mSize += moved;
        }
    }

    private void addSegment() {
        if (mSize < mExpectedBytes) {
            mSegment = Arrays.copyOf(mSegment, mExpectedBytes);
            mCapacity = mExpectedBytes;
            return;
        }
        if (mSegmentBytes > 0) {
            mFullSegments.add(mSegment);
        }
        int bytes = Math.max(MIN_SEGMENT_BYTES, Math.min(2 * mSegmentBytes, MAX_SEGMENT_BYTES));
        mSegment = new byte[bytes];
        mSegmentBytes = 0;
        mCapacity += bytes;
    }

    /** Returns the number of bytes appended. */
    int size() {
        return mSize;
    }

    /** Returns the memory that the buffer occupies, in bytes. */
    long capacityBytes() {
        return mCapacity;
    }

    /** Returns the content and empties the buffer. */
    byte[] take() {
        byte[] content = mSegment;
        if (!mFullSegments.isEmpty() || mSegmentBytes < mSegment.length) {
            content = new byte[mSize];
            int offset = 0;
            while (!mFullSegments.isEmpty()) {
                // Removed one by one, so that the segments need not outlive the copy.
                byte[] segment = mFullSegments.remove();
                System.arraycopy(segment, 0, content, offset, segment.length);
                offset += segment.length;
            }
            System.arraycopy(mSegment, 0, content, offset, mSegmentBytes);
        }
        mSegment = new byte[0];
        mSegmentBytes = 0;
        mSize = 0;
        mCapacity = 0;
        return content;
    }
}
