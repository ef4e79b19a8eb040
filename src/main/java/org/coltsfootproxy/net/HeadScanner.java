package org.coltsfootproxy.net;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;

/**
 * Finds the end of a head or of a trailer section and checks its lines (RFC 9112 sections 4 and 5).
 *
 * <p>Netty's decoders create an object for each field as it arrives and accept lines that are not
 * valid. With this scanner, a head is passed to them only as a whole and only if its field lines
 * are valid. Each byte is scanned once, however the bytes arrive. The scanner does not change the
 * buffer.
 */
final class HeadScanner {
    private static final boolean[] TOKEN_BYTES = tokenBytes();
    private static final boolean[] VALUE_BYTES = valueBytes();

    private final StartLine mStartLine;
    private int mMaxBytes;
    private int mMaxFields;
    private int mScannedBytes;
    private int mLineStart;
    private boolean mIsAfterStartLine;
    private int mFields;
    private int mFieldBytes;
    private int mLongestLine;

    /** Checks the first line of a head. */
    interface StartLine {
        /** Checks a line, given without its line end. */
        void check(ByteBuf in, int start, int end) throws InvalidMessageException;
    }

    private HeadScanner(StartLine startLine) {
        mStartLine = startLine;
    }

    /** Returns a scanner of heads with the given check of their first line. */
    static HeadScanner ofHeads(StartLine startLine) {
        return new HeadScanner(startLine);
    }

    /** Returns a scanner of trailer sections, which have no first line. */
    static HeadScanner ofTrailers() {
        return new HeadScanner(null);
    }

    /**
     * Starts with the next head.
     *
     * @param maxBytes maximum size of the first line, and also of all other lines together, without
     *     line ends
     * @param maxFields maximum number of fields
     */
    void begin(int maxBytes, int maxFields) {
        mMaxBytes = maxBytes;
        mMaxFields = maxFields;
        mScannedBytes = 0;
        mLineStart = 0;
        mIsAfterStartLine = mStartLine == null;
        mFields = 0;
        mFieldBytes = 0;
        mLongestLine = 0;
    }

    /**
     * Scans the bytes that have arrived since the last call.
     *
     * @param in all bytes since the beginning of the head
     * @return whether the head is complete
     * @throws InvalidMessageException if the head is not valid
     * @throws TooLongHttpHeaderException if the fields are too many or too long
     * @throws TooLongHttpLineException if the first line is too long
     */
    boolean isComplete(ByteBuf in) throws InvalidMessageException {
        int begin = in.readerIndex();
        while (true) {
            int end = in.indexOf(begin + mScannedBytes, in.writerIndex(), (byte) '\n');
            if (end < 0) {
                mScannedBytes = in.readableBytes();
                checkSize(mScannedBytes - mLineStart);
                return false;
            }
            int start = begin + mLineStart;
            mScannedBytes = end + 1 - begin;
            mLineStart = mScannedBytes;
            if (end == start || in.getByte(end - 1) != '\r') {
                throw new InvalidMessageException("a line ends with a bare line feed");
            }
            if (end - 1 == start && mIsAfterStartLine) {
                return true;
            }
            checkLine(in, start, end - 1);
        }
    }

    private void checkLine(ByteBuf in, int start, int end) throws InvalidMessageException {
        checkSize(end - start);
        mLongestLine = Math.max(mLongestLine, end - start);
        if (!mIsAfterStartLine) {
            mIsAfterStartLine = true;
            mStartLine.check(in, start, end);
            return;
        }
        mFieldBytes += end - start;
        mFields++;
        if (mFields > mMaxFields) {
            throw new TooLongHttpHeaderException("more than " + mMaxFields + " header fields");
        }
        checkField(in, start, end);
    }

    private void checkSize(int lineBytes) {
        if (mIsAfterStartLine && mFieldBytes + lineBytes > mMaxBytes) {
            throw new TooLongHttpHeaderException("the header fields exceed " + mMaxBytes);
        }
        if (!mIsAfterStartLine && lineBytes > mMaxBytes) {
            throw new TooLongHttpLineException("the first line exceeds " + mMaxBytes + " bytes");
        }
    }

    private static void checkField(ByteBuf in, int start, int end) throws InvalidMessageException {
        byte first = in.getByte(start);
        if (first == ' ' || first == '\t') {
            throw new InvalidMessageException("a header field is folded over several lines");
        }
        int colon = start;
        while (colon < end && TOKEN_BYTES[in.getByte(colon) & 0xff]) {
            colon++;
        }
        if (colon == start || colon == end || in.getByte(colon) != ':') {
            throw new InvalidMessageException("the name of a header field is not valid");
        }
        if (!isText(in, colon + 1, end)) {
            throw new InvalidMessageException("the value of a header field is not valid");
        }
    }

    /** Returns whether bytes are visible characters, spaces, tabs or above 127. */
    static boolean isText(ByteBuf in, int start, int end) {
        for (int i = start; i < end; i++) {
            if (!VALUE_BYTES[in.getByte(i) & 0xff]) {
                return false;
            }
        }
        return true;
    }

    /** Returns the number of bytes scanned; those of the whole head once it is complete. */
    int scannedBytes() {
        return mScannedBytes;
    }

    /** Returns the number of fields scanned. */
    int fields() {
        return mFields;
    }

    /** Returns the size of the longest line. */
    int longestLine() {
        return mLongestLine;
    }

    private static boolean[] tokenBytes() {
        boolean[] allowed = new boolean[256];
        for (char c = '0'; c <= 'z'; c++) {
            allowed[c] = Character.isLetterOrDigit(c);
        }
        "!#$%&'*+-.^_`|~".chars().forEach(c -> allowed[c] = true);
        return allowed;
    }

    private static boolean[] valueBytes() {
        boolean[] allowed = new boolean[256];
        for (int b = ' '; b < allowed.length; b++) {
            allowed[b] = b != 0x7f;
        }
        allowed['\t'] = true;
        return allowed;
    }
}
