package org.coltsfootproxy.config;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;

/** Digests of keys. Keys are stored in this form only. */
public final class KeyDigest {
    private KeyDigest() {}

    /** Returns the SHA-256 of a key in lower-case hexadecimal. */
    public static String of(String key) {
        return Hashing.sha256().hashString(key, StandardCharsets.UTF_8).toString();
    }

    /**
     * Returns whether a key has the given digest, in time independent of the position of the first
     * difference.
     */
    public static boolean matches(String key, String digest) {
        byte[] actual = of(key).getBytes(StandardCharsets.US_ASCII);
        return MessageDigest.isEqual(actual, digest.getBytes(StandardCharsets.US_ASCII));
    }
}
