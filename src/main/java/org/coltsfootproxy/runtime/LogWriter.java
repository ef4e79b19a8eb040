package org.coltsfootproxy.runtime;

import java.io.PrintStream;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import org.coltsfootproxy.base.EventCode;

/**
 * Writes log lines on a thread of its own, so that nobody ever waits for the reader of the log.
 *
 * <p>Lines that come while the ring is full are dropped and counted; the count is written as soon
 * as there is room again.
 */
final class LogWriter {
    /** Lines that wait: some seconds of a busy host. */
    private static final int RING_CAPACITY = 4_096;

    private static final int BATCH = 256;
    private static final long PARK_NANOS = TimeUnit.SECONDS.toNanos(1);

    private static final LogWriter SHARED = new LogWriter();

    private final Ring<String> mRing = Ring.create(RING_CAPACITY);
    private final AtomicLong mDropped = new AtomicLong();
    private volatile PrintStream mOut = System.err;
    private boolean mIsStarted;

    private LogWriter() {}

    /** Returns the writer of this process. */
    static LogWriter shared() {
        return SHARED;
    }

    /** Names the stream that lines go to from now on. */
    void writeTo(PrintStream out) {
        mOut = out;
    }

    /** Takes a line; never waits. */
    void offer(String line) {
        start();
        if (!mRing.offer(line)) {
            mDropped.incrementAndGet();
        }
    }

    /** Returns how many lines were dropped and not yet told of. */
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
        StringBuilder text = new StringBuilder();
        while (true) {
            int written = mRing.drain(line -> text.append(line).append('\n'), BATCH);
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

    /** Waits until what was taken is written, at most the given time. */
    void drain(long timeoutNanos) {
        long end = System.nanoTime() + timeoutNanos;
        while (!mRing.isEmpty() && System.nanoTime() - end < 0) {
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(1));
        }
    }
}
