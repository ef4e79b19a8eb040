package org.coltsfootproxy.config;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;

/** Digests of keys, the only form in which keys are stored. */
public final class KeyDigest {
    private KeyDigest() {}

    /** Returns the SHA-256 of a key in lower-case hexadecimal. */
    public static String of(String key) {
        return Hashing.sha256().hashString(key, StandardCharsets.UTF_8).toString();
    }

    /** Tells whether a key has a digest, in time that doesn't depend on where they differ. */
    public static boolean matches(String key, String digest) {
        byte[] found = of(key).getBytes(StandardCharsets.US_ASCII);
        return MessageDigest.isEqual(found, digest.getBytes(StandardCharsets.US_ASCII));
    }
}
