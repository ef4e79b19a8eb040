package org.coltsfootproxy.node;

import java.util.List;
import java.util.OptionalLong;
import org.coltsfootproxy.base.ErrorKind;
import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.base.Incarnation;
import org.coltsfootproxy.base.Ran;
import org.coltsfootproxy.message.Header;
import org.coltsfootproxy.message.Message;

/** An event that the driver passes to a node, one at a time. */
public sealed interface Input {
    /** A message arrived from an authenticated peer. */
    record FromPeer(HostId from, Message message) implements Input {}

    /** A connection to a peer for online or control messages is ready. */
    record PeerUp(HostId host, Incarnation incarnation) implements Input {}

    /**
     * The last connection to a peer for online or control messages was lost or timed out, or the
     * peer can't be reached. Messages in flight may have arrived.
     */
    record PeerLost(HostId host) implements Input {}

    /**
     * A complete HTTP request arrived.
     *
     * @param call number of the call, which the effects that answer it repeat
     * @param path path with query
     * @param receivedNanos when its head was received; empty if it has not waited since
     */
    record HttpCall(
            long call,
            String method,
            String path,
            List<Header> headers,
            byte[] body,
            OptionalLong receivedNanos)
            implements Input {
        /** Creates a call that has not waited since its head was received. */
        public HttpCall(long call, String method, String path, List<Header> headers, byte[] body) {
            this(call, method, path, headers, body, OptionalLong.empty());
        }

        /** Returns when the caller's time began, for a call that the node got at a given time. */
        public long begunNanos(long gotNanos) {
            return Math.min(gotNanos, receivedNanos.orElse(gotNanos));
        }
    }

    /** The caller of an HTTP request disconnected, or its answer could not be written. */
    record HttpDisconnected(long call) implements Input {}

    /** Status and headers of a target's answer arrived. */
    record TargetHead(long call, int status, List<Header> headers) implements Input {}

    /** A part of the body of a target's answer arrived. */
    record TargetChunk(long call, byte[] bytes) implements Input {}

    /**
     * A target's answer has ended.
     *
     * @param isByClose whether the answer had neither a length nor chunks, so that only the end of
     *     its connection tells that it is complete
     */
    record TargetEnd(long call, boolean isByClose) implements Input {
        /** Creates the end of an answer that is verified by its length or last chunk. */
        public TargetEnd(long call) {
            this(call, false);
        }
    }

    /**
     * A call to a target ended without a complete answer.
     *
     * @param ran whether the request has run; {@link Ran#NO} only if nothing was written to the
     *     target
     * @param detail human-readable explanation
     */
    record TargetFailed(long call, ErrorKind kind, Ran ran, String detail) implements Input {}

    /** All writes of the group up to and including the one with this token are synced to disk. */
    record Persisted(int group, long token) implements Input {}

    /** A write of the group failed; neither it nor any later write was kept. */
    record PersistFailed(int group, long token, ErrorKind kind, String detail) implements Input {}

    /**
     * The platform's host list was read. The list lags behind and may lack hosts.
     *
     * @param version version of the list, which grows with each change; 0 if the list has none
     */
    record HostsListed(long version, List<HostEntry> hosts) implements Input {
        /** Copies the list. */
        public HostsListed {
            hosts = List.copyOf(hosts);
        }
    }

    /** The platform's host list could not be read. */
    record HostsUnreadable(String detail) implements Input {}

    /** The seed hosts in the settings changed. */
    record SeedsChanged(List<HostId> seeds) implements Input {
        /** Copies the list. */
        public SeedsChanged {
            seeds = List.copyOf(seeds);
        }
    }

    /**
     * The wall clock and the monotonic clock of this host drifted apart. The host may have been
     * suspended while other hosts kept running, so its leases may have expired.
     *
     * @param nanos advance of the wall clock relative to the monotonic clock in nanoseconds; below
     *     0 if the wall clock was set back
     */
    record ClockJumped(long nanos) implements Input {}

    /** A planned stop begins: the node accepts no new work and finishes what is in flight. */
    record PlannedStop() implements Input {}
}
