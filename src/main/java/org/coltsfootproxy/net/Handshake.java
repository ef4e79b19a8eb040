package org.coltsfootproxy.net;

import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.base.Incarnation;
import org.coltsfootproxy.base.WireCode;
import org.coltsfootproxy.message.Lane;

/**
 * The messages of the handshake on a new connection between peers.
 *
 * <p>The dialler sends its {@link Hello}. The acceptor replies with its own {@link Hello} and its
 * {@link Proof}, and the dialler then sends its {@link Proof}.
 */
sealed interface Handshake {
    /**
     * Identifies the sender and the connection.
     *
     * @param host the sender
     * @param incarnation the sender's incarnation
     * @param to the host that the sender intends to reach
     * @param lane the lane of the connection
     * @param nonce random bytes that the other side's proof must cover
     */
    @WireCode(1)
    record Hello(HostId host, Incarnation incarnation, HostId to, Lane lane, byte[] nonce)
            implements Handshake {}

    /** Proves that the sender knows the fleet's secret; see {@link FleetSecret#proof}. */
    @WireCode(2)
    record Proof(byte[] mac) implements Handshake {}
}
