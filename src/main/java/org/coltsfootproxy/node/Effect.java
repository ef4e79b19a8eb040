package org.coltsfootproxy.node;

import java.util.List;
import org.coltsfootproxy.base.EventCode;
import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.base.Metric;
import org.coltsfootproxy.base.TrafficClass;
import org.coltsfootproxy.message.Header;
import org.coltsfootproxy.message.Message;

/** What a node's decisions ask their driver to do. */
public sealed interface Effect {
    /** Send a message to a peer; it may be lost, late or doubled, but never altered. */
    record Send(HostId to, Message message) implements Effect {}

    /**
     * The peer can be reached at this address.
     *
     * @param address IP number and port, as {@code 10.1.2.3:7000}
     */
    record PeerAddress(HostId host, String address) implements Effect {}

    /** Answer an HTTP call with status and headers; chunks and an end or a cut follow. */
    record HttpHead(long call, int status, List<Header> headers) implements Effect {}

    /** Send a piece of an answer's body. */
    record HttpChunk(long call, byte[] bytes) implements Effect {}

    /** The answer is whole. */
    record HttpEnd(long call) implements Effect {}

    /** The answer broke off: close the connection so that the caller sees it. */
    record HttpCut(long call) implements Effect {}

    /**
     * Call the target.
     *
     * @param call number that inputs name
     * @param trafficClass the class whose connections to use
     * @param timeoutNanos longest time until the answer is whole
     */
    record TargetCall(
            long call,
            TrafficClass trafficClass,
            String method,
            String path,
            List<Header> headers,
            byte[] body,
            long timeoutNanos)
            implements Effect {
        /** Tells whether the call carries a header with the given value. */
        public boolean hasHeader(String name, String value) {
            return headers.stream()
                    .anyMatch(h -> h.name().equalsIgnoreCase(name) && h.value().equals(value));
        }
    }

    /**
     * Call one of many targets.
     *
     * @param address IP number and port of the target
     */
    record CallTarget(String address, TargetCall call) implements Effect {}

    /** Give up a call to the target and close its connection; no input follows. */
    record TargetCancel(long call) implements Effect {}

    /** Write to the store of a replicated log's group and report it by token once synced. */
    record Persist(int group, long token, StoreWrite write) implements Effect {}

    /** Write an event with named values, such as the inputs and outcome of a decision. */
    record LogFields(EventCode code, List<LogField> fields) implements Effect {
        /** Copies the list. */
        public LogFields {
            fields = List.copyOf(fields);
        }
    }

    /** Log an event. */
    record Log(EventCode code, String detail) implements Effect {}

    /**
     * Record a measurement.
     *
     * @param organisation label, or empty
     * @param trafficClass label, or empty
     */
    record Measure(Metric metric, String organisation, String trafficClass, double value)
            implements Effect {}
}
