package org.coltsfootproxy.net;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.coltsfootproxy.base.ErrorKind;
import org.coltsfootproxy.base.EventCode;
import org.coltsfootproxy.base.Ran;
import org.coltsfootproxy.base.TrafficClass;
import org.coltsfootproxy.message.Header;
import org.coltsfootproxy.node.Effect;
import org.coltsfootproxy.node.Input;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of {@link TargetClient} against a target whose raw responses the tests control. */
public final class TargetClientTest {
    private static final int TIMEOUT_MILLIS = 30_000;
    private static final String OK = "HTTP/1.1 200 OK\r\n";

    private RecordingSink mSink;
    private RecordingEvents mEvents;
    private ServerSocket mServer;
    private TargetClient mClient;

    @BeforeMethod
    public void start() throws IOException {
        mSink = new RecordingSink();
        mEvents = new RecordingEvents();
        mServer = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        mServer.setSoTimeout(TIMEOUT_MILLIS);
        mClient =
                TargetClient.create(
                        TargetClientSettings.defaults(
                                (InetSocketAddress) mServer.getLocalSocketAddress()),
                        mSink,
                        mEvents);
    }

    @AfterMethod(alwaysRun = true)
    public void stop() throws IOException {
        mClient.close();
        mServer.close();
    }

    private static Effect.TargetCall call(long number, String method, long timeoutMillis) {
        return new Effect.TargetCall(
                number,
                TrafficClass.ONLINE,
                method,
                "/x?n=" + number,
                List.of(Header.of("X-A", "b"), Header.of("Connection", "x"), Header.of("X", "y")),
                new byte[] {'h', 'i'},
                TimeUnit.MILLISECONDS.toNanos(timeoutMillis));
    }

    private void call(long number) {
        mClient.execute(call(number, "POST", TIMEOUT_MILLIS));
    }

    private RawHttp accept() throws IOException {
        return new RawHttp(mServer.accept());
    }

    private RawHttp callAndRespond(long number, String response) throws IOException {
        call(number);
        RawHttp target = accept();
        target.readUntil("\r\n\r\nhi");
        return target.send(response);
    }

    private void expectComplete(long number, String body) throws InterruptedException {
        assertEquals(mSink.next(Input.TargetHead.class).call(), number);
        Input.TargetChunk chunk = (Input.TargetChunk) mSink.next();
        assertEquals(chunk.call(), number);
        assertEquals(new String(chunk.bytes(), StandardCharsets.US_ASCII), body);
        assertEquals(mSink.next(), new Input.TargetEnd(number));
    }

    private Input.TargetFailed expectFailed(long number, ErrorKind kind, Ran ran)
            throws InterruptedException {
        Input.TargetFailed failed = mSink.next(Input.TargetFailed.class);
        assertEquals(failed.call(), number, failed.detail());
        assertEquals(failed.kind(), kind, failed.detail());
        assertEquals(failed.ran(), ran, failed.detail());
        return failed;
    }

    @Test
    public void aCompleteResponseIsForwardedAndItsConnectionReused() throws Exception {
        try (RawHttp target = callAndRespond(1, OK + "Content-Length: 3\r\n\r\none")) {
            expectComplete(1, "one");
            call(2);
            String request = target.readUntil("\r\n\r\nhi");
            assertTrue(request.startsWith("POST /x?n=2 HTTP/1.1\r\n"), request);
            assertTrue(request.contains("X-A: b"), request);
            assertFalse(request.contains("X: y"), request);
            target.send(OK + "Transfer-Encoding: chunked\r\n\r\n3\r\ntwo\r\n0\r\n\r\n");
            expectComplete(2, "two");
        }
    }

    @Test
    public void interimResponsesAreSkipped() throws Exception {
        String interim = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n";
        try (RawHttp target = callAndRespond(1, interim + OK + "Content-Length: 3\r\n\r\none")) {
            expectComplete(1, "one");
        }
    }

    @Test
    public void eachTrafficClassHasItsOwnConnections() throws Exception {
        call(1);
        mClient.execute(
                new Effect.TargetCall(
                        2, TrafficClass.BATCH, "GET", "/", List.of(), new byte[0], 1L << 40));
        try (RawHttp first = accept();
                RawHttp second = accept()) {
            String both = first.readUntil("\r\n\r\n") + second.readUntil("\r\n\r\n");
            assertTrue(both.contains("POST /x?n=1") && both.contains("GET / "), both);
        }
    }

    @Test
    public void aTargetThatRefusesConnectionsHasNotRunTheRequest() throws Exception {
        mServer.close();
        call(1);
        expectFailed(1, ErrorKind.TARGET_FAILED, Ran.NO);
    }

    /** Guards against calls that wait for connections being sent together, later than decided. */
    @Test
    public void aCallThatCannotBeSentInTimeFailsUnsent() throws Exception {
        Effect.TargetCall late =
                new Effect.TargetCall(
                        1,
                        TrafficClass.ONLINE,
                        "GET",
                        "/late",
                        List.of(),
                        new byte[0],
                        1L << 40,
                        1);
        mClient.execute(late);
        expectFailed(1, ErrorKind.TARGET_FAILED, Ran.NO);
        try (RawHttp target = accept()) {
            call(2);
            String request = target.readUntil("\r\n\r\nhi");
            assertTrue(request.startsWith("POST /x?n=2 HTTP/1.1\r\n"), request);
        }
    }

    @Test
    public void noMoreConnectionsAreOpenedThanAllowed() throws Exception {
        TargetClientSettings singleConnection =
                TargetClientSettings.defaults((InetSocketAddress) mServer.getLocalSocketAddress())
                        .withMaxConnections(1);
        try (TargetClient client = TargetClient.create(singleConnection, mSink, mEvents)) {
            client.execute(call(1, "POST", TIMEOUT_MILLIS));
            client.execute(call(2, "POST", TIMEOUT_MILLIS));
            expectFailed(2, ErrorKind.OVERLOADED, Ran.NO);
        }
    }

    @Test
    public void aTargetThatTimesOutMayHaveRunTheRequest() throws Exception {
        mClient.execute(call(1, "POST", 100));
        expectFailed(1, ErrorKind.TARGET_TIMEOUT, Ran.MAYBE);
    }

    @Test
    public void aLateResponseNeverReachesAnotherCall() throws Exception {
        try (RawHttp target = callAndRespond(1, OK + "Content-Length: 3\r\n\r\none")) {
            expectComplete(1, "one");
            mClient.execute(call(2, "POST", 100));
            target.readUntil("\r\n\r\nhi");
            expectFailed(2, ErrorKind.TARGET_TIMEOUT, Ran.MAYBE);
            call(3);
            try (RawHttp newConnection = accept()) {
                newConnection.readUntil("\r\n\r\nhi");
                sendLateResponse(target);
                newConnection.send(OK + "Content-Length: 3\r\n\r\ntri");
                expectComplete(3, "tri");
            }
        }
    }

    private static void sendLateResponse(RawHttp target) {
        try {
            target.send(OK + "Content-Length: 4\r\n\r\nlate");
        } catch (IOException e) {
            // Expected: the client has closed the connection.
            assertTrue(e.getMessage().matches(".*(reset|pipe|aborted).*"), e.getMessage());
        }
    }

    @Test
    public void aCancelledCallClosesItsConnectionAndProducesNoInput() throws Exception {
        call(1);
        try (RawHttp target = accept()) {
            target.readUntil("\r\n\r\nhi");
            mClient.execute(new Effect.TargetCancel(1));
            assertEquals(target.readAll(), "");
        }
        try (RawHttp target = callAndRespond(2, OK + "Content-Length: 3\r\n\r\ntwo")) {
            expectComplete(2, "two");
        }
        assertTrue(mSink.isEmpty());
    }

    @Test
    public void anUnsolicitedResponseClosesTheConnection() throws Exception {
        try (RawHttp target = callAndRespond(1, OK + "Content-Length: 3\r\n\r\none")) {
            expectComplete(1, "one");
            target.send(OK + "Content-Length: 7\r\n\r\ncrossed");
            mEvents.await(EventCode.TARGET_UNSOLICITED);
            try (RawHttp newConnection = callAndRespond(2, OK + "Content-Length: 3\r\n\r\ntwo")) {
                expectComplete(2, "two");
            }
        }
    }

    @DataProvider
    public Object[][] surplusBytes() {
        String complete = OK + "Content-Length: 3\r\n\r\none";
        return new Object[][] {
            {complete + "more than announced"},
            {complete + OK + "Content-Length: 7\r\n\r\ncrossed"},
            {complete + "H"},
        };
    }

    @Test(dataProvider = "surplusBytes")
    public void aConnectionWithBytesAfterTheResponseIsNotReused(String response) throws Exception {
        try (RawHttp target = callAndRespond(1, response)) {
            expectComplete(1, "one");
            try (RawHttp newConnection = callAndRespond(2, OK + "Content-Length: 3\r\n\r\ntwo")) {
                expectComplete(2, "two");
            }
            assertTrue(mSink.isEmpty());
        }
    }

    @DataProvider
    public Object[][] incompleteResponses() {
        String chunked = OK + "Transfer-Encoding: chunked\r\n\r\n";
        String length = OK + "Content-Length: 9\r\n\r\n";
        return new Object[][] {
            {"before the response", "", ErrorKind.TARGET_FAILED, Ran.MAYBE},
            {"in the status line", "HTTP/1.1 2", ErrorKind.TARGET_FAILED, Ran.MAYBE},
            {"in the fields", OK + "Content-Le", ErrorKind.TARGET_FAILED, Ran.MAYBE},
            {"no HTTP", "hello\r\n\r\n", ErrorKind.TARGET_FAILED, Ran.MAYBE},
            {"large head", OK + "X: " + "y".repeat(50_000), ErrorKind.TARGET_FAILED, Ran.MAYBE},
            {
                "after an interim response",
                "HTTP/1.1 100 Continue\r\n\r\n",
                ErrorKind.TARGET_FAILED,
                Ran.MAYBE
            },
            {
                "other protocol",
                "HTTP/1.1 101 Switching Protocols\r\n\r\n",
                ErrorKind.TARGET_FAILED,
                Ran.MAYBE
            },
            {"after the head", length, ErrorKind.ANSWER_CUT, Ran.YES},
            {"in the body", length + "four", ErrorKind.ANSWER_CUT, Ran.YES},
            {"before a chunk", chunked, ErrorKind.ANSWER_CUT, Ran.YES},
            {"in a chunk", chunked + "5\r\nab", ErrorKind.ANSWER_CUT, Ran.YES},
            {"after a chunk", chunked + "2\r\nab\r\n", ErrorKind.ANSWER_CUT, Ran.YES},
            {"in the last chunk", chunked + "2\r\nab\r\n0\r\n", ErrorKind.ANSWER_CUT, Ran.YES},
            {"bad chunk", chunked + "zz\r\nab\r\n0\r\n\r\n", ErrorKind.ANSWER_CUT, Ran.YES},
            {"long chunk", chunked + "2\r\nabc\r\n0\r\n\r\n", ErrorKind.ANSWER_CUT, Ran.YES},
            {"no length", OK + "\r\nsome", ErrorKind.TARGET_FAILED, Ran.YES},
            {
                "both lengths",
                OK
                        + "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n"
                        + "2\r\nab\r\n0\r\n\r\n",
                ErrorKind.TARGET_FAILED,
                Ran.YES
            },
            {
                "two lengths",
                OK + "Content-Length: 2\r\nContent-Length: 3\r\n\r\nabc",
                ErrorKind.TARGET_FAILED,
                Ran.MAYBE
            },
        };
    }

    @Test(dataProvider = "incompleteResponses")
    public void anIncompleteResponseIsNeverTakenForACompleteOne(
            String caseName, String rawResponse, ErrorKind kind, Ran ran) throws Exception {
        try (RawHttp target = callAndRespond(1, rawResponse)) {
            target.socket().shutdownOutput();
            expectFailed(1, kind, ran);
            assertTrue(mSink.isEmpty(), caseName);
            try (RawHttp newConnection = callAndRespond(2, OK + "Content-Length: 3\r\n\r\ntwo")) {
                expectComplete(2, "two");
            }
        }
    }

    @Test
    public void aCallOnAReusedConnectionThatIsClosedIsNotRetried() throws Exception {
        RawHttp target = callAndRespond(1, OK + "Content-Length: 3\r\n\r\none");
        expectComplete(1, "one");
        call(2);
        target.readUntil("\r\n\r\nhi");
        target.close();
        expectFailed(2, ErrorKind.TARGET_FAILED, Ran.MAYBE);
    }

    @DataProvider
    public Object[][] breaks() {
        return IntStream.range(0, 8)
                .mapToObj(n -> new Object[] {(n & 1) != 0, (n & 2) != 0, (n & 4) != 0})
                .toArray(Object[][]::new);
    }

    /** Guards against calls that count as not run although a target had some of their bytes. */
    @Test(dataProvider = "breaks")
    public void aTargetThatBreaksOffAfterItHasReadSomethingMayHaveRunTheRequest(
            boolean isWholeRead, boolean isReset, boolean isReused) throws Exception {
        Optional<RawHttp> idle = Optional.empty();
        if (isReused) {
            idle = Optional.of(callAndRespond(1, OK + "Content-Length: 3\r\n\r\none"));
            expectComplete(1, "one");
        }
        mClient.execute(
                isWholeRead ? call(2, "POST", TIMEOUT_MILLIS) : callLargerThanAllBuffers(2));
        try (RawHttp target = idle.isPresent() ? idle.get() : accept()) {
            target.readUntil(isWholeRead ? "\r\n\r\nhi" : "POST");
            target.socket().setSoLinger(isReset, 0);
        }
        expectFailed(2, ErrorKind.TARGET_FAILED, Ran.MAYBE);
    }

    private static Effect.TargetCall callLargerThanAllBuffers(long number) {
        return new Effect.TargetCall(
                number, TrafficClass.ONLINE, "POST", "/x", List.of(), new byte[8 << 20], 1L << 40);
    }

    @Test
    public void anInvalidHeaderFieldIsRefusedBeforeTheRequestIsSent() throws Exception {
        mClient.execute(
                new Effect.TargetCall(
                        1,
                        TrafficClass.ONLINE,
                        "GET",
                        "/",
                        List.of(Header.of("A", "b\r\nC: d")),
                        new byte[0],
                        1L << 40));
        expectFailed(1, ErrorKind.MALFORMED_REQUEST, Ran.NO);
    }

    @Test
    public void aResponseToAHeadRequestHasNoBody() throws Exception {
        mClient.execute(call(1, "HEAD", TIMEOUT_MILLIS));
        try (RawHttp target = accept()) {
            target.readUntil("\r\n\r\nhi");
            target.send(OK + "Content-Length: 300\r\n\r\n");
            mSink.next(Input.TargetHead.class);
            assertEquals(mSink.next(), new Input.TargetEnd(1));
        }
    }
}
