package org.coltsfootproxy.net;

import java.util.concurrent.atomic.AtomicLong;

/** The bytes of all responses of one server that wait to be sent. Thread-safe. */
final class UnsentBytes {
    private final ClientMemory mMemory;
    private final AtomicLong mBytes = new AtomicLong();

    UnsentBytes(ClientMemory memory) {
        mMemory = memory;
    }

    /** Adds to the number of bytes; a negative number removes some. */
    void add(long bytes) {
        mBytes.addAndGet(bytes);
        mMemory.add(bytes);
    }

    long get() {
        return mBytes.get();
    }
}
