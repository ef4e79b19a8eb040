package org.coltsfootproxy.runtime;

import java.io.PrintStream;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import org.coltsfootproxy.base.EventCode;
import org.coltsfootproxy.base.FatalErrors;

/**
 * Writes log lines on its own thread, so that a slow log reader never blocks the callers.
 *
 * <p>Lines offered while the ring is full are dropped and counted; the count is logged with the
 * next lines written.
 */
final class LogWriter {
    /** Lines the ring holds, about what a busy host logs in a few seconds. */
    private static final int RING_CAPACITY = 4_096;

    private static final int MAX_LINES_PER_WRITE = 256;
    private static final long PARK_NANOS = TimeUnit.SECONDS.toNanos(1);

    private static final LogWriter SHARED = new LogWriter();

    private final Ring<String> mRing = Ring.create(RING_CAPACITY);
    private final AtomicLong mDropped = new AtomicLong();
    private volatile PrintStream mOut = System.err;
    private boolean mIsStarted;

    LogWriter() {}

    /** Returns the one writer of this process. */
    static LogWriter shared() {
        return SHARED;
    }

    /** Sets the stream that lines are written to from now on. */
    void writeTo(PrintStream out) {
        mOut = out;
    }

    /** Queues a line without waiting; drops it if the ring is full. */
    void offer(String line) {
        start();
        if (!mRing.offer(line)) {
            mDropped.incrementAndGet();
        }
    }

    /** Returns the number of dropped lines that have not been reported yet. */
    long dropped() {
        return mDropped.get();
    }

    private synchronized void start() {
        if (!mIsStarted) {
            mIsStarted = true;
            Thread thread = new Thread(this::run, "log");
            thread.setDaemon(true);
            mRing.consumedBy(thread);
            thread.start();
        }
    }

    private void run() {
        try {
            writeLines();
        } catch (RuntimeException | Error e) {
            FatalErrors.end(e);
        }
    }

    private void writeLines() {
        StringBuilder text = new StringBuilder();
        while (true) {
            int written = mRing.drain(line -> text.append(line).append('\n'), MAX_LINES_PER_WRITE);
            if (written == 0) {
                mRing.awaitElement(PARK_NANOS);
                continue;
            }
            long dropped = mDropped.getAndSet(0);
            if (dropped > 0) {
                EventCode code = EventCode.LOG_LINES_DROPPED;
                text.append("{\"event\":").append(code.number());
                text.append(",\"level\":\"").append(code.level());
                text.append("\",\"what\":\"").append(code.text());
                text.append("\",\"lines\":\"").append(dropped).append("\"}\n");
            }
            mOut.print(text);
            mOut.flush();
            text.setLength(0);
        }
    }

    /** Waits until the ring is empty, at most {@code timeoutNanos}. */
    void drain(long timeoutNanos) {
        long end = System.nanoTime() + timeoutNanos;
        while (!mRing.isEmpty() && System.nanoTime() - end < 0) {
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(1));
        }
    }
}
