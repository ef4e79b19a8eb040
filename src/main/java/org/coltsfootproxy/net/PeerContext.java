package org.coltsfootproxy.net;

import io.netty.channel.EventLoop;
import org.coltsfootproxy.base.EventCode;
import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.base.Metric;
import org.coltsfootproxy.base.RecordCodec;
import org.coltsfootproxy.message.Lane;
import org.coltsfootproxy.message.Message;

/** The objects that all connections to peers share. */
record PeerContext(
        PeerSettings settings,
        FleetSecret secret,
        RecordCodec<Message> messages,
        RecordCodec<Handshake> handshakes,
        InputSink sink,
        NetEvents events,
        PeerReachability reachability,
        UnprovenPeers unproven,
        Links links) {
    /** Finds the link to a peer in a lane and the event loop of a lane. */
    interface Links {
        /** Returns the link; creates it if there is none. */
        PeerLink link(HostId host, Lane lane);

        /** Returns the event loop to which a lane's links are confined. */
        EventLoop loop(Lane lane);
    }

    /** Logs and counts a connection that was refused before it became ready. */
    void reportRefused(String detail) {
        events.log(EventCode.PEER_REFUSED, detail);
        events.count(Metric.PEERS_REFUSED, "");
    }

    /** Logs and counts input that violates the protocol. */
    void reportMalformed(String detail) {
        events.log(EventCode.FRAME_MALFORMED, detail);
        events.count(Metric.FRAMES_MALFORMED, "");
    }
}
