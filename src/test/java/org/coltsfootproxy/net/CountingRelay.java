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

/** A TCP relay in front of one address that counts the bytes of both directions. */
final class CountingRelay implements AutoCloseable {
    private final ServerSocket mServer = new ServerSocket(0, 500, InetAddress.getLoopbackAddress());
    private final ExecutorService mThreads = Executors.newCachedThreadPool(this::daemon);
    private final LongAdder mBytes = new LongAdder();
    private final LongAdder mTransfers = new LongAdder();

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
            Socket target = new Socket(to.getAddress(), to.getPort());
            caller.setTcpNoDelay(true);
            target.setTcpNoDelay(true);
            mThreads.submit(() -> copy(caller, target));
            mThreads.submit(() -> copy(target, caller));
        }
    }

    private Void copy(Socket from, Socket to) throws IOException {
        try (InputStream in = from.getInputStream();
                OutputStream out = to.getOutputStream()) {
            byte[] buffer = new byte[1 << 16];
            int count = in.read(buffer);
            while (count > 0) {
                out.write(buffer, 0, count);
                mBytes.add(count);
                mTransfers.increment();
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

    /** Returns the number of writes; on an otherwise idle connection each frame is one write. */
    long transfers() {
        return mTransfers.sum();
    }

    @Override
    public void close() throws IOException {
        mServer.close();
        mThreads.shutdownNow();
    }
}
