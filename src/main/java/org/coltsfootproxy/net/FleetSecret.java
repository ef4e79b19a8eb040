package org.coltsfootproxy.net;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.security.SecureRandom;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/** Makes and checks proofs that a peer knows the secret that all hosts of a fleet share. */
final class FleetSecret {
    /** Bytes of a nonce. */
    static final int NONCE_BYTES = 32;

    private static final String ALGORITHM = "HmacSHA256";
    private static final SecureRandom RANDOM = new SecureRandom();

    private final SecretKeySpec mKey;

    /** Which side of a connection speaks; a proof of one side is none of the other. */
    enum Side {
        DIALLER,
        ACCEPTOR
    }

    private FleetSecret(byte[] secret) {
        mKey = new SecretKeySpec(secret, ALGORITHM);
    }

    /** Returns the maker of proofs with a secret. */
    static FleetSecret of(byte[] secret) {
        return new FleetSecret(secret);
    }

    /** Returns fresh random bytes. */
    static byte[] nonce() {
        byte[] nonce = new byte[NONCE_BYTES];
        RANDOM.nextBytes(nonce);
        return nonce;
    }

    /** Returns the proof of one side over what both have said. */
    byte[] proof(Side side, Handshake.Hello dialler, Handshake.Hello acceptor) {
        try {
            Mac mac = Mac.getInstance(ALGORITHM);
            mac.init(mKey);
            mac.update((byte) side.ordinal());
            update(mac, dialler);
            update(mac, acceptor);
            return mac.doFinal();
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException("no " + ALGORITHM, e);
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

    private static void update(Mac mac, byte[] part) {
        mac.update(ByteBuffer.allocate(Integer.BYTES).putInt(part.length).flip());
        mac.update(part);
    }

    /** Tells whether a proof is right, in a time that doesn't depend on it. */
    boolean isProof(byte[] mac, Side side, Handshake.Hello dialler, Handshake.Hello acceptor) {
        return mac != null && MessageDigest.isEqual(mac, proof(side, dialler, acceptor));
    }
}
