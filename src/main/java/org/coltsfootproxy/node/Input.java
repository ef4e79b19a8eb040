package org.coltsfootproxy.node;

import java.util.List;
import org.coltsfootproxy.base.ErrorKind;
import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.base.Incarnation;
import org.coltsfootproxy.base.Ran;
import org.coltsfootproxy.message.Header;
import org.coltsfootproxy.message.Message;

/** What a node's decisions are handed, one at a time. */
public sealed interface Input {
    /** A message arrived from a peer whose identity was proved. */
    record FromPeer(HostId from, Message message) implements Input {}

    /** A connection to a peer is ready. */
    record PeerUp(HostId host, Incarnation incarnation) implements Input {}

    /** The last connection to a peer was lost or went silent; what was sent may have arrived. */
    record PeerLost(HostId host) implements Input {}

    /**
     * A whole HTTP request arrived.
     *
     * @param call number that effects name to answer it
     * @param path path with query
     */
    record HttpCall(long call, String method, String path, List<Header> headers, byte[] body)
            implements Input {}

    /** The sender of an HTTP request is gone, or its answer could not be written. */
    record HttpGone(long call) implements Input {}

    /** The target answered a call with status and headers. */
    record TargetHead(long call, int status, List<Header> headers) implements Input {}

    /** A piece of the target's answer arrived. */
    record TargetChunk(long call, byte[] bytes) implements Input {}

    /** The target's answer is whole: its length or last chunk was checked. */
    record TargetEnd(long call) implements Input {}

    /**
     * A call to the target ended without a whole answer.
     *
     * @param ran what is known: {@link Ran#NO} only if nothing was written to the target
     */
    record TargetFailed(long call, ErrorKind kind, Ran ran, String detail) implements Input {}

    /** Everything up to and including the write with this token is synced. */
    record Persisted(int group, long token) implements Input {}

    /** A write failed and nothing after it was kept. */
    record PersistFailed(int group, long token, ErrorKind kind, String detail) implements Input {}

    /**
     * The platform's list of hosts was read; it lags and may miss hosts.
     *
     * @param version number that grows with each change of the list, or 0 if there is none
     */
    record HostsListed(long version, List<HostEntry> hosts) implements Input {
        /** Copies the list. */
        public HostsListed {
            hosts = List.copyOf(hosts);
        }
    }

    /** The platform's list of hosts could not be read. */
    record HostsUnreadable(String detail) implements Input {}

    /** The settings name other seeds. */
    record SeedsChanged(List<HostId> seeds) implements Input {
        /** Copies the list. */
        public SeedsChanged {
            seeds = List.copyOf(seeds);
        }
    }

    /**
     * The clocks of this host moved apart: it may have stood still while other hosts went on.
     *
     * @param nanos how far the time of day moved more than the monotonic clock
     */
    record ClockJumped(long nanos) implements Input {}

    /** A planned stop begins: take no new work, finish what runs. */
    record PlannedStop() implements Input {}
}
