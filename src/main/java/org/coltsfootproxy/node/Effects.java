package org.coltsfootproxy.node;

import java.util.List;
import org.coltsfootproxy.base.EventCode;
import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.base.Metric;
import org.coltsfootproxy.message.Message;

/** Receives the effects of a node. The driver carries them out in the order of their addition. */
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

    /** Adds {@link Effect.LogFields}. */
    default void log(EventCode code, LogField... fields) {
        add(new Effect.LogFields(code, List.of(fields)));
    }

    /** Adds {@link Effect.Measure}. */
    default void measure(Metric metric, String organisation, String trafficClass, double value) {
        add(new Effect.Measure(metric, organisation, trafficClass, value));
    }
}
