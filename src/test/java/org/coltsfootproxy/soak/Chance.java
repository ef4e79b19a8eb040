package org.coltsfootproxy.soak;

import com.google.common.hash.Hashing;

/** Decisions that depend on a text alone, so that they don't depend on the order of threads. */
final class Chance {
    private Chance() {}

    /** Returns a number of at least 0 and below 1. */
    static double of(String text) {
        return (hash(text) >>> 11) * 0x1.0p-53;
    }

    /** Returns an index below {@code count}. */
    static int index(String text, int count) {
        return (int) Long.remainderUnsigned(hash(text), count);
    }

    private static long hash(String text) {
        return Hashing.murmur3_128().hashUnencodedChars(text).asLong();
    }
}
