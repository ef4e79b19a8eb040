package org.coltsfootproxy.net;

/**
 * One request on a caller's connection and the state of its response.
 *
 * <p>Confined to the connection's event loop except for the counts of unsent bytes. Byte counts
 * cover the response's body.
 */
final class Exchange {
    private static final long UNKNOWN_LENGTH = -1;

    private final long mCallId;
    private final InboundRequest mRequest;
    private final UnsentBytes mTotalUnsentBytes;
    private long mUnsentBytes;
    private long mSentBytes;
    private boolean mIsCut;
    private boolean mHeadSent;
    private boolean mBodiless;
    private long mContentLength = UNKNOWN_LENGTH;
    private long mWrittenBytes;

    private Exchange(long callId, InboundRequest request, UnsentBytes totalUnsentBytes) {
        mCallId = callId;
        mRequest = request;
        mTotalUnsentBytes = totalUnsentBytes;
    }

    /**
     * Returns an exchange whose response has not started.
     *
     * @param totalUnsentBytes sum of the unsent bytes of all exchanges that are not cut
     */
    static Exchange of(long callId, InboundRequest request, UnsentBytes totalUnsentBytes) {
        return new Exchange(callId, request, totalUnsentBytes);
    }

    /** Returns the number by which inputs and effects refer to this exchange. */
    long callId() {
        return mCallId;
    }

    InboundRequest request() {
        return mRequest;
    }

    /** Adds to the number of unsent bytes and returns the new number. Thread-safe. */
    synchronized long addUnsentBytes(long bytes) {
        mUnsentBytes += bytes;
        addToTotal(bytes);
        return mUnsentBytes;
    }

    /** Records that the socket accepted bytes, or that they were discarded. */
    synchronized void onSent(long bytes) {
        mUnsentBytes -= bytes;
        mSentBytes += bytes;
        addToTotal(-bytes);
    }

    private void addToTotal(long bytes) {
        if (!mIsCut) {
            mTotalUnsentBytes.add(bytes);
        }
    }

    /**
     * Notes that the response is cut, so that its unsent bytes are discarded soon; returns false if
     * it had been cut before. Thread-safe.
     */
    synchronized boolean cut() {
        if (mIsCut) {
            return false;
        }
        mTotalUnsentBytes.add(-mUnsentBytes);
        mIsCut = true;
        return true;
    }

    /** Returns the number of bytes that wait to be sent; 0 if the response is cut. Thread-safe. */
    synchronized long unsentBytes() {
        return mIsCut ? 0 : mUnsentBytes;
    }

    /** Returns whether no bytes wait to be sent, also if the response is cut. Thread-safe. */
    synchronized boolean isSent() {
        return mUnsentBytes == 0;
    }

    /** Returns the number of bytes reported to {@link #onSent}. */
    synchronized long sentBytes() {
        return mSentBytes;
    }

    /** Returns whether the response has started. */
    boolean isHeadSent() {
        return mHeadSent;
    }

    /** Records that the response has started; a negative length means that none is announced. */
    void onHeadSent(boolean bodiless, long contentLength) {
        mHeadSent = true;
        mBodiless = bodiless;
        mContentLength = contentLength;
    }

    /** Returns whether the request's method or the response's status excludes a body. */
    boolean isBodiless() {
        return mBodiless;
    }

    /** Counts bytes of the body and returns whether the total fits into the announced length. */
    boolean countWritten(int bytes) {
        mWrittenBytes += bytes;
        return mContentLength == UNKNOWN_LENGTH || mWrittenBytes <= mContentLength;
    }

    /** Returns whether the response has started and has exactly the announced length, if any. */
    boolean isComplete() {
        return mHeadSent
                && (mBodiless
                        || mContentLength == UNKNOWN_LENGTH
                        || mWrittenBytes == mContentLength);
    }
}
