package org.coltsfootproxy.net;

import java.util.concurrent.TimeUnit;

/**
 * The memory that one connection holds for its client. Thread-safe.
 *
 * <p>It consists of memory that the connection releases when it is ended by {@link ClientMemory},
 * and of memory that it keeps, such as that of complete requests.
 */
final class ClientAccount {
    private final ClientMemory mMemory;
    private final Ending mEnding;
    private long mKeptBytes;
    private long mEndableBytes;
    private boolean mIsEnding;
    private volatile long mProgressNanos = System.nanoTime();

    /** Ends a connection to free what it occupies. */
    interface Ending {
        /**
         * Rejects the connection's incomplete request, or closes the connection if it is idle;
         * called by any thread.
         *
         * @param atOnce whether the connection is closed without a response
         */
        void end(boolean atOnce);
    }

    ClientAccount(ClientMemory memory, Ending ending) {
        mMemory = memory;
        mEnding = ending;
    }

    /** Sets the memory that is kept, and the memory that ending the connection would release. */
    synchronized void set(long keptBytes, long endableBytes) {
        long endable = mIsEnding ? 0 : endableBytes;
        mMemory.add(keptBytes + endable - mKeptBytes - mEndableBytes);
        mKeptBytes = keptBytes;
        mEndableBytes = endable;
    }

    /** Notes that the client has made progress. */
    void progressed() {
        mProgressNanos = System.nanoTime();
    }

    /** Returns when the client last made progress. */
    long progressNanos() {
        return mProgressNanos;
    }

    /** Returns the memory that ending the connection would release, in bytes. */
    synchronized long endableBytes() {
        return mEndableBytes;
    }

    /** Returns the memory that ending would release, times how long it has been held in vain. */
    double byteSeconds(long nowNanos) {
        double millis = TimeUnit.NANOSECONDS.toMillis(nowNanos - mProgressNanos);
        return endableBytes() * (1 + millis);
    }

    /** Returns whether the connection has no complete request, so that it can be closed. */
    synchronized boolean isClosable() {
        return mKeptBytes == 0 && mEndableBytes > 0;
    }

    /** Ends the connection; its memory counts as released from now on. */
    void end(boolean atOnce) {
        synchronized (this) {
            mMemory.add(-mEndableBytes);
            mEndableBytes = 0;
            mIsEnding = true;
        }
        mEnding.end(atOnce);
    }

    /** Returns whether the connection is to be ended. */
    synchronized boolean isEnding() {
        return mIsEnding;
    }

    /** Releases all memory; the connection is closed. */
    void close() {
        set(0, 0);
        mMemory.remove(this);
    }
}
