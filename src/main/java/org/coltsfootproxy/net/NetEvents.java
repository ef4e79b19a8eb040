package org.coltsfootproxy.net;

import org.coltsfootproxy.base.EventCode;
import org.coltsfootproxy.base.Metric;

/** Receives log events and counter increments from the network layer. Thread-safe. */
public interface NetEvents {
    /** Logs an event. */
    void log(EventCode code, String detail);

    /**
     * Increments a counter.
     *
     * @param label value of the label {@code class}, or empty
     */
    void count(Metric metric, String label);

    /** Returns a receiver that ignores everything. */
    static NetEvents none() {
        return new NetEvents() {
            @Override
            public void log(EventCode code, String detail) {
                // Ignored.
            }

            @Override
            public void count(Metric metric, String label) {
                // Ignored.
            }
        };
    }
}
