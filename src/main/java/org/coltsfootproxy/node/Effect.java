package org.coltsfootproxy.node;

import java.util.List;
import java.util.Optional;
import org.coltsfootproxy.base.EventCode;
import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.base.Metric;
import org.coltsfootproxy.base.TrafficClass;
import org.coltsfootproxy.message.Header;
import org.coltsfootproxy.message.Message;

/** An action that a node asks its driver to carry out. */
public sealed interface Effect {
    /** Send a message to a peer. It may be lost, delayed or duplicated, but not altered. */
    record Send(HostId to, Message message) implements Effect {}

    /**
     * Use this address to reach the peer.
     *
     * @param address IP address and port, as {@code 10.1.2.3:7000}
     */
    record PeerAddress(HostId host, String address) implements Effect {}

    /**
     * Answer an HTTP call with status and headers; {@link HttpEnd} or {@link HttpAbort} follows.
     */
    record HttpHead(long call, int status, List<Header> headers) implements Effect {}

    /** Send a part of an answer's body. */
    record HttpChunk(long call, byte[] bytes) implements Effect {}

    /** Finish an answer: its body is complete. */
    record HttpEnd(long call) implements Effect {}

    /**
     * Abort an answer: close the connection so that the caller sees that the body is incomplete.
     */
    record HttpAbort(long call) implements Effect {}

    /**
     * Call the target of this host.
     *
     * @param call number of the call, which the inputs about it repeat
     * @param trafficClass class whose connections are used
     * @param timeoutNanos time limit for the complete answer, in nanoseconds
     * @param sendWithinNanos time within which the call must be sent, or else it fails unsent; 0 if
     *     it may be sent at any time before its timeout
     */
    record TargetCall(
            long call,
            TrafficClass trafficClass,
            String method,
            String path,
            List<Header> headers,
            byte[] body,
            long timeoutNanos,
            long sendWithinNanos)
            implements Effect {
        /** Returns a call that may be sent at any time before its timeout. */
        public TargetCall(
                long call,
                TrafficClass trafficClass,
                String method,
                String path,
                List<Header> headers,
                byte[] body,
                long timeoutNanos) {
            this(call, trafficClass, method, path, headers, body, timeoutNanos, 0);
        }

        /** Returns the value of the first header with the given name, in any case. */
        public Optional<String> header(String name) {
            return headers.stream()
                    .filter(h -> h.name().equalsIgnoreCase(name))
                    .map(Header::value)
                    .findFirst();
        }

        /** Returns whether the call has a header with the given name, in any case, and value. */
        public boolean hasHeader(String name, String value) {
            return headers.stream()
                    .anyMatch(h -> h.name().equalsIgnoreCase(name) && h.value().equals(value));
        }
    }

    /**
     * Call the target at the given address.
     *
     * @param address IP address and port of the target
     */
    record AddressedTargetCall(String address, TargetCall call) implements Effect {}

    /** Abandon a call to a target and close its connection. No further input about it follows. */
    record TargetCancel(long call) implements Effect {}

    /**
     * Write to the storage of a replicated log. {@link Input.Persisted} or {@link
     * Input.PersistFailed} reports the outcome.
     *
     * @param group number of the log's group
     * @param token number of the write, which the input repeats
     */
    record Persist(int group, long token, LogWrite write) implements Effect {}

    /** Log an event with named values, such as the inputs and outcome of a decision. */
    record LogFields(EventCode code, List<LogField> fields) implements Effect {
        /** Copies the list. */
        public LogFields {
            fields = List.copyOf(fields);
        }
    }

    /** Log an event with a human-readable detail. */
    record Log(EventCode code, String detail) implements Effect {}

    /**
     * Record a measurement.
     *
     * @param organisation value of the label {@code organisation}, or empty
     * @param trafficClass value of the label {@code class}, or empty
     * @param value amount to add to a counter, value of a gauge or observation of a histogram
     */
    record Measure(Metric metric, String organisation, String trafficClass, double value)
            implements Effect {}
}
