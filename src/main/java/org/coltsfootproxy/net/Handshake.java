package org.coltsfootproxy.net;

import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.base.Incarnation;
import org.coltsfootproxy.base.WireCode;
import org.coltsfootproxy.message.Lane;

/** What two peers tell each other before the first message. */
sealed interface Handshake {
    /**
     * Who speaks.
     *
     * @param host who sends this
     * @param incarnation the sender's life
     * @param to whom the sender means
     * @param lane the lane of the connection
     * @param nonce random bytes that the other side's proof must cover
     */
    @WireCode(1)
    record Hello(HostId host, Incarnation incarnation, HostId to, Lane lane, byte[] nonce)
            implements Handshake {}

    /** Proof that the sender knows the fleet's secret. */
    @WireCode(2)
    record Proof(byte[] mac) implements Handshake {}
}
