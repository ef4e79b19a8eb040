package org.coltsfootproxy.net;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.LongAdder;

/** Passes bytes on between callers and one address and counts them. */
final class CountingRelay implements AutoCloseable {
    private final ServerSocket mServer = new ServerSocket(0, 500, InetAddress.getLoopbackAddress());
    private final ExecutorService mThreads = Executors.newCachedThreadPool(this::daemon);
    private final LongAdder mBytes = new LongAdder();
    private final LongAdder mPieces = new LongAdder();

    CountingRelay(InetSocketAddress to) throws IOException {
        mThreads.submit(() -> accept(to));
    }

    private Thread daemon(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        return thread;
    }

    private Void accept(InetSocketAddress to) throws IOException {
        while (true) {
            Socket caller = mServer.accept();
            Socket called = new Socket(to.getAddress(), to.getPort());
            caller.setTcpNoDelay(true);
            called.setTcpNoDelay(true);
            mThreads.submit(() -> pass(caller, called));
            mThreads.submit(() -> pass(called, caller));
        }
    }

    private Void pass(Socket from, Socket to) throws IOException {
        try (InputStream in = from.getInputStream();
                OutputStream out = to.getOutputStream()) {
            byte[] buffer = new byte[1 << 16];
            int count = in.read(buffer);
            while (count > 0) {
                out.write(buffer, 0, count);
                mBytes.add(count);
                mPieces.increment();
                count = in.read(buffer);
            }
        }
        return null;
    }

    InetSocketAddress address() {
        return (InetSocketAddress) mServer.getLocalSocketAddress();
    }

    long bytes() {
        return mBytes.sum();
    }

    /** Returns how often bytes were passed on; an idle connection passes each frame alone. */
    long pieces() {
        return mPieces.sum();
    }

    @Override
    public void close() throws IOException {
        mServer.close();
        mThreads.shutdownNow();
    }
}
