package org.coltsfootproxy.runtime;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.coltsfootproxy.base.EventCode;
import org.coltsfootproxy.base.Metric;
import org.coltsfootproxy.base.TrafficClass;
import org.coltsfootproxy.message.Header;
import org.coltsfootproxy.net.NetEvents;
import org.coltsfootproxy.net.TargetClient;
import org.coltsfootproxy.net.TargetClientSettings;
import org.coltsfootproxy.net.TargetDialect;
import org.coltsfootproxy.node.Effect;
import org.coltsfootproxy.node.Effects;
import org.coltsfootproxy.node.Input;
import org.coltsfootproxy.node.Node;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests the queue between network and node threads while targets send faster than it is read. */
public final class FloodedQueueTest {
    private static final long WAIT_SECONDS = 30;
    private static final int SOCKET_BUFFER_BYTES = 64 << 10;
    private static final int BLOCK_BYTES = 48 << 10;
    private static final int TARGETS = 8;

    /** Bytes after which a sender gives up, far above what may be queued. */
    private static final long GIVE_UP_BYTES = 64 << 20;

    /** Bytes that one connection may hold outside of the queue: buffers and one read. */
    private static final long CONNECTION_BYTES = 4 * SOCKET_BUFFER_BYTES + (512 << 10);

    /** Time without further bytes after which a sender is blocked. */
    private static final long STILL_MILLIS = 300;

    private static final String HEAD = "HTTP/1.1 200 OK\r\nRequest-Id: call-%d\r\n";

    private final List<ServerSocket> mServers = new ArrayList<>();
    private final List<TargetClient> mClients = new ArrayList<>();
    private final AtomicLong mSent = new AtomicLong();
    private SlowNode mNode;
    private NodeLoop mLoop;

    /** A node that handles nothing until it may. */
    private static final class SlowNode implements Node {
        private final CountDownLatch mMayHandle = new CountDownLatch(1);
        private final AtomicLong mHandledBytes = new AtomicLong();

        @Override
        public void start(long nowNanos, Effects out) {
            // Nothing to start.
        }

        @Override
        public void handle(Input input, long nowNanos, Effects out) {
            try {
                mMayHandle.await(WAIT_SECONDS, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            if (input instanceof Input.TargetChunk chunk) {
                mHandledBytes.addAndGet(chunk.bytes().length);
            }
        }

        @Override
        public void tick(long nowNanos, Effects out) {
            // Nothing is due.
        }

        @Override
        public long nextTickNanos() {
            return NEVER;
        }

        @Override
        public boolean isDrained() {
            return false;
        }
    }

    /** Ignores events. */
    private static final class NoEvents implements NetEvents {
        @Override
        public void log(EventCode code, String detail) {
            // Not needed.
        }

        @Override
        public void count(Metric metric, String label) {
            // Not needed.
        }
    }

    @BeforeMethod
    public void start() {
        mSent.set(0);
        mNode = new SlowNode();
        mLoop = NodeLoop.create("node", mNode, effect -> {}, input -> {});
        mLoop.start();
    }

    @AfterMethod(alwaysRun = true)
    public void stop() throws Exception {
        mNode.mMayHandle.countDown();
        for (ServerSocket server : mServers) {
            server.close();
        }
        mClients.forEach(TargetClient::close);
        mLoop.stop();
        mServers.clear();
        mClients.clear();
    }

    private void callFloodingTarget(int number, String head, byte[] block) throws IOException {
        ServerSocket server = new ServerSocket();
        mServers.add(server);
        server.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        var settings =
                TargetClientSettings.defaults((InetSocketAddress) server.getLocalSocketAddress())
                        .withDialect(
                                new TargetDialect(
                                        Optional.of("Request-Id"), Optional.empty(), true, true));
        TargetClient client = TargetClient.create(settings, mLoop::offer, new NoEvents());
        mClients.add(client);
        client.execute(
                new Effect.TargetCall(
                        number,
                        TrafficClass.ONLINE,
                        "GET",
                        "/x",
                        List.of(Header.of("Request-Id", "call-" + number)),
                        new byte[0],
                        TimeUnit.SECONDS.toNanos(2 * WAIT_SECONDS)));
        Socket socket = server.accept();
        socket.setSendBufferSize(SOCKET_BUFFER_BYTES);
        CompletableFuture.runAsync(() -> flood(socket, String.format(HEAD, number) + head, block));
    }

    private void flood(Socket socket, String head, byte[] block) {
        try (socket) {
            OutputStream out = socket.getOutputStream();
            out.write(head.getBytes(StandardCharsets.ISO_8859_1));
            while (mSent.get() < GIVE_UP_BYTES) {
                out.write(block);
                mSent.addAndGet(block.length);
            }
        } catch (IOException e) {
            // The test has ended.
        }
    }

    private long sentUntilBlocked() throws InterruptedException {
        long before = -1;
        while (mSent.get() != before && mSent.get() < GIVE_UP_BYTES) {
            before = mSent.get();
            TimeUnit.MILLISECONDS.sleep(STILL_MILLIS);
        }
        return mSent.get();
    }

    @DataProvider
    Object[][] bodies() {
        return new Object[][] {
            {"Content-Length: 999999999999\r\n\r\n", new byte[BLOCK_BYTES], 1},
            {"Content-Type: text/event-stream\r\n\r\n", "\n".repeat(BLOCK_BYTES).getBytes(), 1},
            {
                "Transfer-Encoding: chunked\r\n\r\n",
                "1\r\nx\r\n".repeat(BLOCK_BYTES / 6).getBytes(),
                6
            },
        };
    }

    /**
     * Guards against a heap that fills with answers which the node has not read yet.
     *
     * @param sentPerByte bytes that a target sends for one byte of the body
     */
    @Test(dataProvider = "bodies")
    public void targetsThatSendFasterThanTheNodeReadsFillABoundedQueue(
            String head, byte[] block, int sentPerByte) throws Exception {
        for (int number = 1; number <= TARGETS; number++) {
            callFloodingTarget(number, head, block);
        }
        long sent = sentUntilBlocked();
        assertTrue(
                sent <= sentPerByte * NodeLoop.MAX_ANSWER_BYTES + TARGETS * CONNECTION_BYTES,
                sent + " bytes were taken from the targets");
    }

    /** Guards against a connection that is not read again once the queue has room. */
    @Test
    public void targetsThatWereHeldBackAreReadAgain() throws Exception {
        callFloodingTarget(1, "Content-Length: 999999999999\r\n\r\n", new byte[BLOCK_BYTES]);
        sentUntilBlocked();
        assertEquals(mNode.mHandledBytes.get(), 0);
        mNode.mMayHandle.countDown();
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(WAIT_SECONDS);
        while (mNode.mHandledBytes.get() < GIVE_UP_BYTES / 2 && System.nanoTime() < end) {
            TimeUnit.MILLISECONDS.sleep(10);
        }
        assertTrue(mNode.mHandledBytes.get() >= GIVE_UP_BYTES / 2);
    }
}
