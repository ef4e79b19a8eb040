package org.coltsfootproxy.node;

import java.util.List;
import org.coltsfootproxy.base.EventCode;
import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.base.Metric;
import org.coltsfootproxy.message.Message;

/** Collects the effects of one step; the driver carries them out in order. */
@FunctionalInterface
public interface Effects {
    /** Adds an effect. */
    void add(Effect effect);

    /** Adds {@link Effect.Send}. */
    default void send(HostId to, Message message) {
        add(new Effect.Send(to, message));
    }

    /** Adds {@link Effect.Log}. */
    default void log(EventCode code, String detail) {
        add(new Effect.Log(code, detail));
    }

    /** Writes an event with named values. */
    default void log(EventCode code, LogField... fields) {
        add(new Effect.LogFields(code, List.of(fields)));
    }

    /** Adds {@link Effect.Measure}. */
    default void measure(Metric metric, String organisation, String trafficClass, double value) {
        add(new Effect.Measure(metric, organisation, trafficClass, value));
    }
}
