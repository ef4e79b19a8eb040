package org.coltsfootproxy.net;

import org.coltsfootproxy.base.EventCode;
import org.coltsfootproxy.base.Metric;

/** Where sockets report what happened to them. Called by several threads at once. */
public interface NetEvents {
    /** Reports an event. */
    void log(EventCode code, String detail);

    /**
     * Adds one to a counter.
     *
     * @param label value of the class label, or empty
     */
    void count(Metric metric, String label);

    /** Returns a receiver that forgets everything. */
    static NetEvents none() {
        return new NetEvents() {
            @Override
            public void log(EventCode code, String detail) {
                // Nobody listens.
            }

            @Override
            public void count(Metric metric, String label) {
                // Nobody listens.
            }
        };
    }
}
