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
import java.util.concurrent.TimeUnit;
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

/** Contract of {@link TargetClient} against a target that is played byte by byte. */
public final class TargetClientTest {
    private static final int ACCEPT_MILLIS = 30_000;
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
        mServer.setSoTimeout(ACCEPT_MILLIS);
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
        mClient.carryOut(call(number, "POST", ACCEPT_MILLIS));
    }

    private RawHttp accept() throws IOException {
        return new RawHttp(mServer.accept());
    }

    private RawHttp answered(long number, String answer) throws IOException {
        call(number);
        RawHttp target = accept();
        target.readUntil("\r\n\r\nhi");
        return target.send(answer);
    }

    private void expectWhole(long number, String body) throws InterruptedException {
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
    public void aWholeAnswerIsHandedOverAndItsConnectionUsedAgain() throws Exception {
        try (RawHttp target = answered(1, OK + "Content-Length: 3\r\n\r\none")) {
            expectWhole(1, "one");
            call(2);
            String request = target.readUntil("\r\n\r\nhi");
            assertTrue(request.startsWith("POST /x?n=2 HTTP/1.1\r\n"), request);
            assertTrue(request.contains("X-A: b"), request);
            assertFalse(request.contains("X: y"), request);
            target.send(OK + "Transfer-Encoding: chunked\r\n\r\n3\r\ntwo\r\n0\r\n\r\n");
            expectWhole(2, "two");
        }
    }

    @Test
    public void interimAnswersAreSkipped() throws Exception {
        String interim = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n";
        try (RawHttp target = answered(1, interim + OK + "Content-Length: 3\r\n\r\none")) {
            expectWhole(1, "one");
        }
    }

    @Test
    public void theClassesHaveConnectionsOfTheirOwn() throws Exception {
        call(1);
        mClient.carryOut(
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

    @Test
    public void noMoreConnectionsAreOpenedThanAllowed() throws Exception {
        TargetClientSettings one =
                TargetClientSettings.defaults((InetSocketAddress) mServer.getLocalSocketAddress())
                        .withMaxConnections(1);
        try (TargetClient client = TargetClient.create(one, mSink, mEvents)) {
            client.carryOut(call(1, "POST", ACCEPT_MILLIS));
            client.carryOut(call(2, "POST", ACCEPT_MILLIS));
            expectFailed(2, ErrorKind.OVERLOADED, Ran.NO);
        }
    }

    @Test
    public void aSilentTargetMayHaveRunTheRequest() throws Exception {
        mClient.carryOut(call(1, "POST", 100));
        expectFailed(1, ErrorKind.TARGET_TIMEOUT, Ran.MAYBE);
    }

    @Test
    public void aLateAnswerNeverReachesAnotherCall() throws Exception {
        try (RawHttp target = answered(1, OK + "Content-Length: 3\r\n\r\none")) {
            expectWhole(1, "one");
            mClient.carryOut(call(2, "POST", 100));
            target.readUntil("\r\n\r\nhi");
            expectFailed(2, ErrorKind.TARGET_TIMEOUT, Ran.MAYBE);
            call(3);
            try (RawHttp fresh = accept()) {
                fresh.readUntil("\r\n\r\nhi");
                sendTooLate(target);
                fresh.send(OK + "Content-Length: 3\r\n\r\ntri");
                expectWhole(3, "tri");
            }
        }
    }

    private static void sendTooLate(RawHttp target) {
        try {
            target.send(OK + "Content-Length: 4\r\n\r\nlate");
        } catch (IOException e) {
            // The client has closed the connection, as it should.
            assertTrue(e.getMessage().matches(".*(reset|pipe|aborted).*"), e.getMessage());
        }
    }

    @Test
    public void aCancelledCallClosesItsConnectionAndBringsNothing() throws Exception {
        call(1);
        try (RawHttp target = accept()) {
            target.readUntil("\r\n\r\nhi");
            mClient.carryOut(new Effect.TargetCancel(1));
            assertEquals(target.readAll(), "");
        }
        try (RawHttp target = answered(2, OK + "Content-Length: 3\r\n\r\ntwo")) {
            expectWhole(2, "two");
        }
        assertTrue(mSink.isEmpty());
    }

    @Test
    public void anAnswerThatNobodyAskedForClosesTheConnection() throws Exception {
        try (RawHttp target = answered(1, OK + "Content-Length: 3\r\n\r\none")) {
            expectWhole(1, "one");
            target.send(OK + "Content-Length: 7\r\n\r\ncrossed");
            mEvents.await(EventCode.TARGET_UNSOLICITED);
            try (RawHttp fresh = answered(2, OK + "Content-Length: 3\r\n\r\ntwo")) {
                expectWhole(2, "two");
            }
        }
    }

    @DataProvider
    public Object[][] extras() {
        String whole = OK + "Content-Length: 3\r\n\r\none";
        return new Object[][] {
            {whole + "more than announced"},
            {whole + OK + "Content-Length: 7\r\n\r\ncrossed"},
            {whole + "H"},
        };
    }

    @Test(dataProvider = "extras")
    public void aConnectionWithBytesAfterTheAnswerIsNotUsedAgain(String answer) throws Exception {
        try (RawHttp target = answered(1, answer)) {
            expectWhole(1, "one");
            try (RawHttp fresh = answered(2, OK + "Content-Length: 3\r\n\r\ntwo")) {
                expectWhole(2, "two");
            }
            assertTrue(mSink.isEmpty());
        }
    }

    @DataProvider
    public Object[][] broken() {
        String chunked = OK + "Transfer-Encoding: chunked\r\n\r\n";
        String length = OK + "Content-Length: 9\r\n\r\n";
        return new Object[][] {
            {"before the answer", "", ErrorKind.TARGET_FAILED, Ran.MAYBE},
            {"in the status line", "HTTP/1.1 2", ErrorKind.TARGET_FAILED, Ran.MAYBE},
            {"in the fields", OK + "Content-Le", ErrorKind.TARGET_FAILED, Ran.MAYBE},
            {"no HTTP", "hello\r\n\r\n", ErrorKind.TARGET_FAILED, Ran.MAYBE},
            {"large head", OK + "X: " + "y".repeat(50_000), ErrorKind.TARGET_FAILED, Ran.MAYBE},
            {
                "after an interim answer",
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

    @Test(dataProvider = "broken")
    public void anAnswerThatBreaksOffIsNeverTakenForAWholeOne(
            String step, String bytes, ErrorKind kind, Ran ran) throws Exception {
        try (RawHttp target = answered(1, bytes)) {
            target.socket().shutdownOutput();
            expectFailed(1, kind, ran);
            assertTrue(mSink.isEmpty(), step);
            try (RawHttp fresh = answered(2, OK + "Content-Length: 3\r\n\r\ntwo")) {
                expectWhole(2, "two");
            }
        }
    }

    @Test
    public void aReusedConnectionThatIsDeadIsNotTriedAgain() throws Exception {
        RawHttp target = answered(1, OK + "Content-Length: 3\r\n\r\none");
        expectWhole(1, "one");
        call(2);
        target.readUntil("\r\n\r\nhi");
        target.close();
        expectFailed(2, ErrorKind.TARGET_FAILED, Ran.MAYBE);
    }

    @Test
    public void aFieldThatCannotBeSentIsRefusedBeforeAnythingRuns() throws Exception {
        mClient.carryOut(
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
    public void anAnswerToAHeadRequestHasNoBody() throws Exception {
        mClient.carryOut(call(1, "HEAD", ACCEPT_MILLIS));
        try (RawHttp target = accept()) {
            target.readUntil("\r\n\r\nhi");
            target.send(OK + "Content-Length: 300\r\n\r\n");
            mSink.next(Input.TargetHead.class);
            assertEquals(mSink.next(), new Input.TargetEnd(1));
        }
    }
}
