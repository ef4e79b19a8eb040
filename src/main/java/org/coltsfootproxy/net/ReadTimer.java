package org.coltsfootproxy.net;

import io.netty.util.concurrent.EventExecutor;
import io.netty.util.concurrent.ScheduledFuture;
import java.time.Duration;
import java.util.concurrent.TimeUnit;

/**
 * Limits the time in which a request arrives, and the time in which its body makes no progress.
 *
 * <p>Confined to the connection's event loop.
 */
final class ReadTimer {
    /** Maximum time in which a body makes no progress. */
    private static final Duration PROGRESS_TIMEOUT = Duration.ofSeconds(10);

    /** Fraction of a body that counts as progress, and its bounds in bytes. */
    private static final int PROGRESS_DIVISOR = 64;

    private static final int MAX_PROGRESS_BYTES = 64 << 10;
    private static final int UNKNOWN_SIZE_PROGRESS_BYTES = 256;

    private final Duration mBodyTimeout;
    private final ClientAccount mAccount;
    private final Runnable mTimedOut;
    private EventExecutor mExecutor;
    private ScheduledFuture<?> mTimer;
    private long mBodyBegan;
    private int mProgressBytes;
    private int mBytesSinceProgress;

    /**
     * Creates a timer that is not running.
     *
     * @param account is told of progress
     * @param timedOut called when the time is over
     */
    ReadTimer(Duration bodyTimeout, ClientAccount account, Runnable timedOut) {
        mBodyTimeout = bodyTimeout;
        mAccount = account;
        mTimedOut = timedOut;
    }

    void connected(EventExecutor executor) {
        mExecutor = executor;
    }

    boolean isRunning() {
        return mTimer != null;
    }

    /** Starts the time of a head. */
    void startHead(Duration timeout) {
        mAccount.progressed();
        schedule(timeout.toNanos(), mTimedOut);
    }

    /**
     * Starts the time of a body, or of what is left of it.
     *
     * @param declaredBytes size of the whole body, or 0 if it is not known
     */
    void startBody(int declaredBytes) {
        mProgressBytes =
                declaredBytes == 0
                        ? UNKNOWN_SIZE_PROGRESS_BYTES
                        : Math.max(
                                1, Math.min(declaredBytes / PROGRESS_DIVISOR, MAX_PROGRESS_BYTES));
        mBytesSinceProgress = 0;
        mBodyBegan = System.nanoTime();
        mAccount.progressed();
        scheduleBody();
    }

    /** Notes that a part of the body has arrived. */
    void onBody(int bytes) {
        mBytesSinceProgress += bytes;
        if (mBytesSinceProgress >= mProgressBytes) {
            mBytesSinceProgress = 0;
            mAccount.progressed();
        }
    }

    private void scheduleBody() {
        schedule(Math.max(0, bodyNanosLeft()), this::checkBody);
    }

    private long bodyNanosLeft() {
        long now = System.nanoTime();
        return Math.min(
                mBodyBegan + mBodyTimeout.toNanos() - now,
                mAccount.progressNanos() + PROGRESS_TIMEOUT.toNanos() - now);
    }

    private void checkBody() {
        if (bodyNanosLeft() <= 0) {
            mTimedOut.run();
        } else {
            scheduleBody();
        }
    }

    private void schedule(long nanos, Runnable task) {
        cancel();
        mTimer = mExecutor.schedule(task, nanos, TimeUnit.NANOSECONDS);
    }

    void cancel() {
        if (mTimer != null) {
            mTimer.cancel(false);
            mTimer = null;
        }
    }
}
