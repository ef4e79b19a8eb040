package org.coltsfootproxy.runtime;

import java.io.Closeable;
import java.io.IOException;
import java.net.ServerSocket;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Finds free ports for the hosts of a demonstration.
 *
 * <p>Each port stays bound until {@link #close}, so that none is found twice. Another process can
 * take a port between the call of {@code close} and its use.
 */
public final class FreePorts implements Closeable {
    private final Deque<ServerSocket> mSockets = new ArrayDeque<>();

    private FreePorts() {}

    /** Returns an instance that holds no ports. */
    public static FreePorts create() {
        return new FreePorts();
    }

    /**
     * Returns a port that is free on all local addresses.
     *
     * @throws IOException if there is none
     */
    public int next() throws IOException {
        ServerSocket socket = new ServerSocket(0);
        mSockets.add(socket);
        return socket.getLocalPort();
    }

    /** Returns the loopback address with a free port, as settings write it. */
    public String nextLoopbackAddress() throws IOException {
        return "127.0.0.1:" + next();
    }

    /** Releases all ports. */
    @Override
    public void close() throws IOException {
        while (!mSockets.isEmpty()) {
            mSockets.remove().close();
        }
    }
}
