package org.coltsfootproxy.net;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.security.SecureRandom;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/** Creates and verifies proofs that a peer knows the secret shared by all hosts of a fleet. */
final class FleetSecret {
    /** Size of a nonce, in bytes. */
    static final int NONCE_BYTES = 32;

    private static final String ALGORITHM = "HmacSHA256";
    private static final SecureRandom RANDOM = new SecureRandom();

    private final SecretKeySpec mKey;

    /** The side of a connection. A proof covers its side, so the other side can't reflect it. */
    enum Side {
        DIALLER,
        ACCEPTOR
    }

    private FleetSecret(byte[] secret) {
        mKey = new SecretKeySpec(secret, ALGORITHM);
    }

    static FleetSecret of(byte[] secret) {
        return new FleetSecret(secret);
    }

    /** Returns fresh random bytes. */
    static byte[] nonce() {
        byte[] nonce = new byte[NONCE_BYTES];
        RANDOM.nextBytes(nonce);
        return nonce;
    }

    /**
     * Returns the proof of one side: an HMAC-SHA-256 over the side and the hellos of both sides.
     */
    byte[] proof(Side side, Handshake.Hello dialler, Handshake.Hello acceptor) {
        try {
            Mac mac = Mac.getInstance(ALGORITHM);
            mac.init(mKey);
            mac.update((byte) side.ordinal());
            update(mac, dialler);
            update(mac, acceptor);
            return mac.doFinal();
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException("unsupported algorithm: " + ALGORITHM, e);
        }
    }

    private static void update(Mac mac, Handshake.Hello hello) {
        update(mac, hello.host().value().getBytes(StandardCharsets.UTF_8));
        update(mac, hello.to().value().getBytes(StandardCharsets.UTF_8));
        update(mac, hello.nonce());
        mac.update(
                ByteBuffer.allocate(Long.BYTES + 1)
                        .putLong(hello.incarnation().value())
                        .put((byte) hello.lane().ordinal())
                        .flip());
    }

    private static void update(Mac mac, byte[] field) {
        mac.update(ByteBuffer.allocate(Integer.BYTES).putInt(field.length).flip());
        mac.update(field);
    }

    /** Returns whether a proof is valid, in constant time; {@code mac} may be null. */
    boolean isValidProof(byte[] mac, Side side, Handshake.Hello dialler, Handshake.Hello acceptor) {
        return mac != null && MessageDigest.isEqual(mac, proof(side, dialler, acceptor));
    }
}
