package org.coltsfootproxy.net;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.google.common.util.concurrent.Uninterruptibles;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.coltsfootproxy.base.Ran;
import org.coltsfootproxy.base.TrafficClass;
import org.coltsfootproxy.message.Header;
import org.coltsfootproxy.node.Effect;
import org.coltsfootproxy.node.Input;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that a target which sends bytes without end is disconnected after a bounded number. */
public final class EndlessResponseTest {
    private static final long CALL_TIMEOUT_MILLIS = 60_000;
    private static final long WAIT_SECONDS = 30;
    private static final int BLOCK_BYTES = 16 << 10;

    /** Receive and send buffers of a loopback connection, which fill before the sender notices. */
    private static final int SOCKET_BUFFER_BYTES = 64 << 10;

    /** Bytes that the limits allow: a status line, header fields, and one read beyond each. */
    private static final long ALLOWED_BYTES = 512 << 10;

    /** Bytes of a body that are read quickly, so that the system would enlarge the buffer. */
    private static final long READ_BYTES = 64 << 20;

    /** Time without further bytes after which the sender is blocked. */
    private static final long STILL_MILLIS = 200;

    private static final String OK = "HTTP/1.1 200 OK\r\nRequest-Id: call-1\r\n";
    private static final String COMPLETE = OK + "Content-Length: 2\r\n\r\nok";

    private RecordingSink mSink;
    private ServerSocket mServer;
    private TargetClientSettings mSettings;
    private TargetClient mClient;

    @BeforeMethod
    public void start() throws IOException {
        mSink = new RecordingSink();
        mServer = new ServerSocket();
        mServer.setReceiveBufferSize(SOCKET_BUFFER_BYTES);
        mServer.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        mServer.setSoTimeout((int) TimeUnit.SECONDS.toMillis(WAIT_SECONDS));
        mSettings =
                TargetClientSettings.defaults((InetSocketAddress) mServer.getLocalSocketAddress())
                        .withDialect(
                                new TargetDialect(
                                        Optional.of("Request-Id"), Optional.empty(), true, true));
        mClient = TargetClient.create(mSettings, mSink, new RecordingEvents());
    }

    @AfterMethod(alwaysRun = true)
    public void stop() throws IOException {
        mClient.close();
        mServer.close();
    }

    private void call() {
        mClient.execute(callOne());
    }

    private static Effect.TargetCall callOne() {
        return new Effect.TargetCall(
                1,
                TrafficClass.ONLINE,
                "POST",
                "/x",
                List.of(Header.of("Request-Id", "call-1")),
                new byte[] {'h', 'i'},
                TimeUnit.MILLISECONDS.toNanos(CALL_TIMEOUT_MILLIS));
    }

    /** Sends a prefix and then a block again and again; returns the bytes sent until the close. */
    private static long sendWithoutEnd(Socket socket, String prefix, String block) {
        byte[] bytes =
                block.repeat(Math.max(1, BLOCK_BYTES / block.length()))
                        .getBytes(StandardCharsets.ISO_8859_1);
        long sent = 0;
        try {
            OutputStream out = socket.getOutputStream();
            out.write(prefix.getBytes(StandardCharsets.ISO_8859_1));
            out.flush();
            while (true) {
                out.write(bytes);
                sent += bytes.length;
            }
        } catch (IOException e) {
            return sent;
        }
    }

    private long sendUntilClosed(Socket socket, String prefix, String block) throws Exception {
        socket.setSendBufferSize(SOCKET_BUFFER_BYTES);
        CompletableFuture<Long> sent =
                CompletableFuture.supplyAsync(() -> sendWithoutEnd(socket, prefix, block));
        try {
            return sent.get(WAIT_SECONDS, TimeUnit.SECONDS);
        } finally {
            socket.close();
        }
    }

    @DataProvider
    Object[][] noResponses() {
        return new Object[][] {
            {"status line", "", "H"},
            {"junk", "", "junk\r\n"},
            {"empty lines", "", "\r\n"},
            {"control characters", "", "\0\1"},
            {"header value", OK + "X: ", "v"},
            {"header fields", OK, "X: v\r\n"},
            {"interim responses", "", "HTTP/1.1 102 Processing\r\n\r\n"},
            {"interim responses with fields", "", "HTTP/1.1 103 Hints\r\nLink: a\r\n\r\n"},
            {"chunk size", OK + "Transfer-Encoding: chunked\r\n\r\n", "0"},
            {"chunk extension", OK + "Transfer-Encoding: chunked\r\n\r\n2;", "x"},
            {"trailers", OK + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n", "X: v\r\n"},
            {
                "body of another call's response",
                "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nContent-Length: 999999999999\r\n\r\n",
                "b"
            },
            {
                "responses to other calls",
                "",
                "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nContent-Length: 2\r\n\r\nno"
            },
        };
    }

    @Test(dataProvider = "noResponses")
    public void bytesThatAreNoResponseEndTheCall(String name, String prefix, String block)
            throws Exception {
        call();
        long sent = sendUntilClosed(mServer.accept(), prefix, block);

        Input.TargetFailed failed = mSink.next(Input.TargetFailed.class);
        assertEquals(failed.call(), 1);
        assertTrue(failed.ran() != Ran.NO, name + ": " + failed.detail());
        assertTrue(sent <= ALLOWED_BYTES + 2 * SOCKET_BUFFER_BYTES, name + ": " + sent);
    }

    @DataProvider
    Object[][] surplus() {
        return new Object[][] {{"junk"}, {"\r\n"}, {"\0"}, {COMPLETE}};
    }

    @Test(dataProvider = "surplus")
    public void bytesAfterACompleteResponseEndTheConnection(String block) throws Exception {
        call();
        long sent = sendUntilClosed(mServer.accept(), COMPLETE, block);

        assertEquals(mSink.next(Input.TargetEnd.class).call(), 1);
        assertTrue(sent <= ALLOWED_BYTES + 2 * SOCKET_BUFFER_BYTES, block + ": " + sent);
        assertTrue(mSink.isEmpty(), "an input after the end");
    }

    @Test(dataProvider = "surplus")
    public void bytesOnAnIdleConnectionEndIt(String block) throws Exception {
        call();
        try (RawHttp target = new RawHttp(mServer.accept())) {
            target.readUntil("\r\n\r\nhi");
            target.send(COMPLETE);
            assertEquals(mSink.next(Input.TargetEnd.class).call(), 1);
            long sent = sendUntilClosed(target.socket(), "", block);
            assertTrue(sent <= ALLOWED_BYTES + 2 * SOCKET_BUFFER_BYTES, block + ": " + sent);
        }
        assertTrue(mSink.isEmpty(), "an input after the end");
    }

    /** Guards against the system buffering megabytes for a connection that is not read in time. */
    @Test
    public void aConnectionBuffersLittleWhileItsResponseIsNotRead() throws Exception {
        CountDownLatch mayRead = new CountDownLatch(1);
        AtomicLong received = new AtomicLong();
        InputSink sink =
                input -> {
                    if (input instanceof Input.TargetChunk chunk
                            && received.addAndGet(chunk.bytes().length) >= READ_BYTES) {
                        Uninterruptibles.awaitUninterruptibly(mayRead);
                    }
                    return true;
                };
        try (TargetClient client = TargetClient.create(mSettings, sink, new RecordingEvents())) {
            client.execute(callOne());
            Socket socket = mServer.accept();
            AtomicLong sent = new AtomicLong();
            CompletableFuture<Void> sender =
                    CompletableFuture.runAsync(() -> sendBody(socket, sent));
            long before = -1;
            while (received.get() < READ_BYTES || sent.get() != before) {
                before = sent.get();
                TimeUnit.MILLISECONDS.sleep(STILL_MILLIS);
            }
            long buffered = sent.get() - received.get();
            socket.close();
            mayRead.countDown();
            sender.get(WAIT_SECONDS, TimeUnit.SECONDS);
            assertTrue(buffered <= ALLOWED_BYTES + 2 * SOCKET_BUFFER_BYTES, "" + buffered);
        }
    }

    /** Sends a body that the announced length never ends, until the connection is closed. */
    private static void sendBody(Socket socket, AtomicLong sent) {
        byte[] block = new byte[BLOCK_BYTES];
        try {
            socket.setSendBufferSize(SOCKET_BUFFER_BYTES);
            OutputStream out = socket.getOutputStream();
            String head = OK + "Content-Length: 999999999999\r\n\r\n";
            out.write(head.getBytes(StandardCharsets.ISO_8859_1));
            while (true) {
                out.write(block);
                sent.addAndGet(block.length);
            }
        } catch (IOException e) {
            // The test has closed the connection.
        }
    }

    @Test
    public void aLongSoundBodyIsNotCut() throws Exception {
        int length = 8 << 20;
        call();
        try (RawHttp target = new RawHttp(mServer.accept())) {
            target.readUntil("\r\n\r\nhi");
            target.send(OK + "Content-Length: " + length + "\r\n\r\n" + "b".repeat(length));
            assertEquals(mSink.next(Input.TargetHead.class).status(), 200);
            long received = 0;
            Input input = mSink.next();
            while (input instanceof Input.TargetChunk chunk) {
                received += chunk.bytes().length;
                input = mSink.next();
            }
            assertEquals(input, new Input.TargetEnd(1));
            assertEquals(received, length);
        }
    }

    /** Guards against a heap that fills with objects, one for each byte of a body. */
    @Test
    public void aBodyOfTinyChunksIsForwardedInLargerParts() throws Exception {
        int chunks = 20_000;
        call();
        try (RawHttp target = new RawHttp(mServer.accept())) {
            target.readUntil("\r\n\r\nhi");
            target.send(OK + "Transfer-Encoding: chunked\r\n\r\n");
            target.send("1\r\nb\r\n".repeat(chunks) + "0\r\n\r\n");
            assertEquals(mSink.next(Input.TargetHead.class).status(), 200);
            int received = 0;
            int inputs = 0;
            Input input = mSink.next();
            while (input instanceof Input.TargetChunk chunk) {
                inputs++;
                received += chunk.bytes().length;
                input = mSink.next();
            }
            assertEquals(input, new Input.TargetEnd(1));
            assertEquals(received, chunks);
            assertTrue(inputs <= chunks / 100, inputs + " inputs");
        }
    }
}
