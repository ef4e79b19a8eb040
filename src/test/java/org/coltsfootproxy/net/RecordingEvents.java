package org.coltsfootproxy.net;

import static org.testng.Assert.assertNotNull;

import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.coltsfootproxy.base.EventCode;
import org.coltsfootproxy.base.Metric;

/** Records events and counter increments so that tests can wait for them. */
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

    /** Waits until an event is logged; earlier ones are discarded. */
    void await(EventCode code) throws InterruptedException {
        EventCode next = null;
        while (next != code) {
            next = mEvents.poll(30, TimeUnit.SECONDS);
            assertNotNull(next, "event not logged within 30 s: " + code);
        }
    }

    /** Waits until a counter is incremented; increments before it are discarded. */
    void await(Metric metric) throws InterruptedException {
        Metric next = null;
        while (next != metric) {
            next = mCounts.poll(30, TimeUnit.SECONDS);
            assertNotNull(next, "counter not incremented within 30 s: " + metric);
        }
    }
}
