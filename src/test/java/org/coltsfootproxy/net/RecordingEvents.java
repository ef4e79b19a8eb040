package org.coltsfootproxy.net;

import static org.testng.Assert.assertNotNull;

import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.coltsfootproxy.base.EventCode;
import org.coltsfootproxy.base.Metric;

/** Events and counts that tests wait for. */
final class RecordingEvents implements NetEvents {
    private final BlockingQueue<EventCode> mEvents = new LinkedBlockingQueue<>();
    private final BlockingQueue<Metric> mCounts = new LinkedBlockingQueue<>();

    @Override
    public void log(EventCode code, String detail) {
        mEvents.add(code);
    }

    @Override
    public void count(Metric metric, String label) {
        mCounts.add(metric);
    }

    /** Waits until an event was logged; others before it are dropped. */
    void await(EventCode code) throws InterruptedException {
        EventCode next = null;
        while (next != code) {
            next = mEvents.poll(30, TimeUnit.SECONDS);
            assertNotNull(next, "no event " + code);
        }
    }

    /** Waits until something was counted; others before it are dropped. */
    void await(Metric metric) throws InterruptedException {
        Metric next = null;
        while (next != metric) {
            next = mCounts.poll(30, TimeUnit.SECONDS);
            assertNotNull(next, "no count of " + metric);
        }
    }
}
