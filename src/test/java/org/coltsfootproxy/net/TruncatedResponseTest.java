package org.coltsfootproxy.net;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.coltsfootproxy.base.TrafficClass;
import org.coltsfootproxy.message.Header;
import org.coltsfootproxy.node.Effect;
import org.coltsfootproxy.node.Input;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of responses that stop after any of their bytes. */
public final class TruncatedResponseTest {
    private static final int TIMEOUT_MILLIS = 30_000;
    private static final int SILENCE_MILLIS = 50;

    /** Only every so many positions are tested with silence, which takes the whole timeout. */
    private static final int SILENCE_STEP = 9;

    private static final String ID = "Request-Id: call-2\r\n";
    private static final String FIRST = "HTTP/1.1 200 OK\r\nRequest-Id: call-1\r\n";

    private RecordingSink mSink;
    private ServerSocket mServer;
    private TargetClient mClient;

    @BeforeClass
    public void start() throws IOException {
        mSink = new RecordingSink();
        mServer = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        mServer.setSoTimeout(TIMEOUT_MILLIS);
        var settings =
                TargetClientSettings.defaults((InetSocketAddress) mServer.getLocalSocketAddress())
                        .withDialect(
                                new TargetDialect(
                                        Optional.of("Request-Id"), Optional.empty(), true, true));
        mClient = TargetClient.create(settings, mSink, new RecordingEvents());
    }

    @AfterClass(alwaysRun = true)
    public void stop() throws IOException {
        mClient.close();
        mServer.close();
    }

    /** A whole response and the method that it answers. */
    private enum Response {
        LENGTH("POST", "HTTP/1.1 200 OK\r\n" + ID + "Content-Length: 12\r\n\r\nid: 1\ndata:\n"),
        CHUNKS(
                "POST",
                "HTTP/1.1 200 OK\r\n"
                        + ID
                        + "Transfer-Encoding: chunked\r\n\r\n"
                        + "c\r\nid: 1\ndata:\n\r\n2;x=y\r\n\n\n\r\n"
                        + "0\r\nTrailer: t\r\n\r\n"),
        UNTIL_CLOSE(
                "POST", "HTTP/1.1 200 OK\r\n" + ID + "Server-Stamp: s\r\n\r\nid: 1\ndata: a\n\n"),
        AFTER_INTERIM(
                "POST",
                "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 E\r\nA: b\r\n\r\nHTTP/1.1 200 OK\r\n"
                        + ID
                        + "Content-Length: 3\r\n\r\none"),
        NO_CONTENT("POST", "HTTP/1.1 204 No Content\r\n" + ID + "\r\n"),
        NOT_MODIFIED("GET", "HTTP/1.1 304 Not Modified\r\n" + ID + "Content-Length: 5\r\n\r\n"),
        OF_HEAD("HEAD", "HTTP/1.1 200 OK\r\n" + ID + "Content-Length: 5\r\n\r\n"),
        ERROR("POST", "HTTP/1.1 503 E\r\n" + ID + "Not-Run: 1\r\nContent-Length: 4\r\n\r\nfull");

        private final String mMethod;
        private final String mText;

        Response(String method, String text) {
            mMethod = method;
            mText = text;
        }

        Input.TargetEnd end() {
            return new Input.TargetEnd(2, this == UNTIL_CLOSE);
        }

        /** Returns whether an orderly close after so many bytes ends the response. */
        boolean isWholeWhenClosedAt(int bytes) {
            return bytes == mText.length()
                    || this == UNTIL_CLOSE && bytes >= mText.indexOf("\r\n\r\n") + 4;
        }
    }

    private enum End {
        CLOSE,
        RESET,
        SILENCE
    }

    @DataProvider
    Object[][] cuts() {
        List<Object[]> cases = new ArrayList<>();
        for (Response response : Response.values()) {
            for (End end : End.values()) {
                for (boolean isKept : new boolean[] {false, true}) {
                    int step = end == End.SILENCE ? SILENCE_STEP : 1;
                    for (int bytes = 0; bytes < response.mText.length(); bytes += step) {
                        cases.add(new Object[] {response, end, isKept, bytes});
                    }
                }
            }
        }
        return cases.toArray(Object[][]::new);
    }

    private void call(long number, String method, byte[] body, long timeoutMillis) {
        mClient.execute(
                new Effect.TargetCall(
                        number,
                        TrafficClass.ONLINE,
                        method,
                        "/x",
                        List.of(Header.of("Request-Id", "call-" + number)),
                        body,
                        TimeUnit.MILLISECONDS.toNanos(timeoutMillis)));
    }

    private RawHttp connect(boolean isKept) throws IOException, InterruptedException {
        if (!isKept) {
            return null;
        }
        call(1, "POST", new byte[0], TIMEOUT_MILLIS);
        RawHttp target = new RawHttp(mServer.accept());
        target.readUntil("\r\n\r\n");
        target.send(FIRST + "Content-Length: 0\r\n\r\n");
        mSink.next(Input.TargetEnd.class);
        return target;
    }

    private Input lastInput() throws InterruptedException {
        Input input = mSink.next();
        while (input instanceof Input.TargetHead || input instanceof Input.TargetChunk) {
            input = mSink.next();
        }
        return input;
    }

    /** Guards against a response that is cut at any byte and reaches the caller as a whole one. */
    @Test(dataProvider = "cuts")
    public void aResponseThatIsCutIsNotComplete(
            Response response, End end, boolean isKept, int bytes) throws Exception {
        RawHttp target = connect(isKept);
        long timeout = end == End.SILENCE ? SILENCE_MILLIS : TIMEOUT_MILLIS;
        call(2, response.mMethod, new byte[0], timeout);
        try (RawHttp used = target != null ? target : new RawHttp(mServer.accept())) {
            used.readUntil("\r\n\r\n");
            used.send(response.mText.substring(0, bytes));
            if (end == End.RESET) {
                used.socket().setSoLinger(true, 0);
            }
            if (end != End.SILENCE) {
                used.close();
            }
            Input last = lastInput();
            if (end == End.CLOSE && response.isWholeWhenClosedAt(bytes)) {
                assertEquals(last, response.end());
            } else {
                assertTrue(last instanceof Input.TargetFailed, last.toString());
            }
        }
    }

    @DataProvider
    Object[][] responses() {
        return Arrays.stream(Response.values())
                .map(response -> new Object[] {response})
                .toArray(Object[][]::new);
    }

    /** Guards against tests of cut responses that would pass if no response were complete. */
    @Test(dataProvider = "responses")
    public void aWholeResponseIsComplete(Response response) throws Exception {
        call(2, response.mMethod, new byte[0], TIMEOUT_MILLIS);
        try (RawHttp target = new RawHttp(mServer.accept())) {
            target.readUntil("\r\n\r\n");
            // The pool must not offer the connection to the next test.
            target.send(response.mText.replace(ID, ID + "Connection: close\r\n"));
            target.socket().shutdownOutput();
            assertEquals(lastInput(), response.end());
            target.readAll();
        }
    }

    /** Guards against a reset that shows first as a failed write and ends the body. */
    @Test
    public void aResetWhileTheRequestIsStillWrittenBreaksTheBodyOff() throws Exception {
        call(2, "POST", new byte[64 << 20], TIMEOUT_MILLIS);
        try (RawHttp target = new RawHttp(mServer.accept())) {
            target.readUntil("\r\n\r\n");
            target.send(Response.UNTIL_CLOSE.mText);
            mSink.next(Input.TargetChunk.class);
            target.socket().setSoLinger(true, 0);
        }
        Input last = lastInput();
        assertTrue(last instanceof Input.TargetFailed, last.toString());
    }
}
