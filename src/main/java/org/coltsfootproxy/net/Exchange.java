package org.coltsfootproxy.net;

import java.util.concurrent.atomic.AtomicLong;

/**
 * One request on a caller's connection and the state of its answer.
 *
 * <p>Confined to the connection's event loop but for the count of unsent bytes.
 */
final class Exchange {
    private static final long UNKNOWN_LENGTH = -1;

    private final long mCall;
    private final ArrivedRequest mRequest;
    private final AtomicLong mUnsent = new AtomicLong();
    private long mSent;
    private boolean mHeadSent;
    private boolean mWithoutBody;
    private long mLength = UNKNOWN_LENGTH;
    private long mWritten;

    private Exchange(long call, ArrivedRequest request) {
        mCall = call;
        mRequest = request;
    }

    /** Returns the exchange of a request under the number that effects name. */
    static Exchange of(long call, ArrivedRequest request) {
        return new Exchange(call, request);
    }

    /** Returns the number that effects name. */
    long call() {
        return mCall;
    }

    /** Returns the request. */
    ArrivedRequest request() {
        return mRequest;
    }

    /** Counts bytes that wait to be sent and returns how many do now. Any thread. */
    long addUnsent(long bytes) {
        return mUnsent.addAndGet(bytes);
    }

    /** Counts bytes that have been sent. */
    void sent(long bytes) {
        mUnsent.addAndGet(-bytes);
        mSent += bytes;
    }

    /** Returns the bytes that wait to be sent. Any thread. */
    long unsent() {
        return mUnsent.get();
    }

    /** Returns the bytes of the body that have been sent. */
    long sentBytes() {
        return mSent;
    }

    /** Tells whether the answer has begun. */
    boolean isHeadSent() {
        return mHeadSent;
    }

    /** Notes that the answer has begun and how its body is delimited. */
    void headSent(boolean withoutBody, long length) {
        mHeadSent = true;
        mWithoutBody = withoutBody;
        mLength = length;
    }

    /** Tells whether the answer has no body by its method or status. */
    boolean isWithoutBody() {
        return mWithoutBody;
    }

    /** Counts bytes of the body and tells whether they fit into the announced length. */
    boolean write(int bytes) {
        mWritten += bytes;
        return mLength == UNKNOWN_LENGTH || mWritten <= mLength;
    }

    /** Tells whether as many bytes were written as were announced. */
    boolean isWhole() {
        return mHeadSent && (mWithoutBody || mLength == UNKNOWN_LENGTH || mWritten == mLength);
    }
}
