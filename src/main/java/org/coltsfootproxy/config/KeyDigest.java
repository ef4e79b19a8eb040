package org.coltsfootproxy.config;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;

/** The digest by which a key is known; keys are random, so it needs no salt. */
public final class KeyDigest {
    private KeyDigest() {}

    /** Returns the SHA-256 of a key in lower-case hexadecimal. */
    public static String of(String key) {
        return Hashing.sha256().hashString(key, StandardCharsets.UTF_8).toString();
    }
}
