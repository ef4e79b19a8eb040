package org.coltsfootproxy.net;

import java.util.concurrent.atomic.AtomicLong;

/**
 * One request on a caller's connection and the state of its response.
 *
 * <p>Confined to the connection's event loop except for the count of unsent bytes. Byte counts
 * cover the response's body.
 */
final class Exchange {
    private static final long UNKNOWN_LENGTH = -1;

    private final long mCallId;
    private final InboundRequest mRequest;
    private final AtomicLong mUnsentBytes = new AtomicLong();
    private long mSentBytes;
    private boolean mHeadSent;
    private boolean mBodiless;
    private long mContentLength = UNKNOWN_LENGTH;
    private long mWrittenBytes;

    private Exchange(long callId, InboundRequest request) {
        mCallId = callId;
        mRequest = request;
    }

    /** Returns an exchange whose response has not started. */
    static Exchange of(long callId, InboundRequest request) {
        return new Exchange(callId, request);
    }

    /** Returns the number by which inputs and effects refer to this exchange. */
    long callId() {
        return mCallId;
    }

    InboundRequest request() {
        return mRequest;
    }

    /** Adds to the number of unsent bytes and returns the new number. Thread-safe. */
    long addUnsentBytes(long bytes) {
        return mUnsentBytes.addAndGet(bytes);
    }

    /** Records that the socket accepted bytes, or that they were discarded. */
    void onSent(long bytes) {
        mUnsentBytes.addAndGet(-bytes);
        mSentBytes += bytes;
    }

    /** Returns the number of bytes that wait to be sent. Thread-safe. */
    long unsentBytes() {
        return mUnsentBytes.get();
    }

    /** Returns the number of bytes reported to {@link #onSent}. */
    long sentBytes() {
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
