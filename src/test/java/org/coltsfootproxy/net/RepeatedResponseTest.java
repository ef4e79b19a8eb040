package org.coltsfootproxy.net;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.coltsfootproxy.base.Ran;
import org.coltsfootproxy.base.TrafficClass;
import org.coltsfootproxy.message.Header;
import org.coltsfootproxy.node.Effect;
import org.coltsfootproxy.node.Input;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that a response which a faulty target writes twice never answers another call. */
public final class RepeatedResponseTest {
    private static final int TIMEOUT_MILLIS = 30_000;
    private static final String END = "\r\n\r\nhi";

    private RecordingSink mSink;
    private ServerSocket mServer;
    private TargetClient mClient;

    @BeforeMethod
    public void start() throws IOException {
        mSink = new RecordingSink();
        mServer = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        mServer.setSoTimeout(TIMEOUT_MILLIS);
        mClient =
                TargetClient.create(
                        TargetClientSettings.defaults(
                                        (InetSocketAddress) mServer.getLocalSocketAddress())
                                .withDialect(
                                        new TargetDialect(
                                                Optional.of("Request-Id"),
                                                Optional.empty(),
                                                true,
                                                true)),
                        mSink,
                        new RecordingEvents());
    }

    @AfterMethod(alwaysRun = true)
    public void stop() throws IOException {
        mClient.close();
        mServer.close();
    }

    private void call(long number, String id) {
        List<Header> headers = id.isEmpty() ? List.of() : List.of(Header.of("Request-Id", id));
        mClient.execute(
                new Effect.TargetCall(
                        number,
                        TrafficClass.BATCH,
                        "POST",
                        "/x",
                        headers,
                        new byte[] {'h', 'i'},
                        TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MILLIS)));
    }

    private static String response(String status, String id) {
        String idField = id.isEmpty() ? "" : "Request-Id: " + id + "\r\n";
        return "HTTP/1.1 " + status + "\r\n" + idField + "Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
    }

    private void expectStatus(long call, int status) throws InterruptedException {
        Input.TargetHead head = mSink.next(Input.TargetHead.class);
        assertEquals(head.call(), call);
        assertEquals(head.status(), status);
        assertEquals(mSink.next(Input.TargetEnd.class).call(), call);
    }

    @DataProvider
    Object[][] refusals() {
        return new Object[][] {{"503 Full"}, {"429 Too Many"}, {"421 Misdirected"}, {"400 Bad"}};
    }

    /**
     * Guards against an item that is told as not run while its target runs it: the same item went
     * over the connection on which the target had refused it before.
     */
    @Test(dataProvider = "refusals")
    public void aCallThatWasRefusedIsSentAgainOnAnotherConnection(String refusal) throws Exception {
        call(1, "item-1");
        try (RawHttp first = new RawHttp(mServer.accept())) {
            first.readUntil(END);
            first.send(response(refusal, "item-1"));
            expectStatus(1, Integer.parseInt(refusal.substring(0, 3)));

            call(2, "item-1");

            try (RawHttp second = new RawHttp(mServer.accept())) {
                second.readUntil(END);
                second.send(response("200 OK", "item-1"));
                expectStatus(2, 200);
            }
        }
        assertTrue(mSink.isEmpty(), "an input after the end");
    }

    /** Guards against a refusal without id that answers a later call which runs. */
    @Test(dataProvider = "refusals")
    public void aRepeatedRefusalWithoutIdDoesNotAnswerACallWithId(String refusal) throws Exception {
        call(1, "");
        try (RawHttp target = new RawHttp(mServer.accept())) {
            target.readUntil(END);
            target.send(response(refusal, ""));
            expectStatus(1, Integer.parseInt(refusal.substring(0, 3)));
            call(2, "request-2");
            target.readUntil(END);

            target.send(response(refusal, ""));

            Input.TargetFailed failed = mSink.next(Input.TargetFailed.class);
            assertEquals(failed.call(), 2);
            assertEquals(failed.ran(), Ran.MAYBE, failed.detail());
        }
    }

    @Test(dataProvider = "refusals")
    public void aRefusalThatIsRepeatedDoesNotAnswerALaterCall(String refusal) throws Exception {
        call(1, "request-1");
        try (RawHttp target = new RawHttp(mServer.accept())) {
            target.readUntil(END);
            target.send(response(refusal, "request-1"));
            expectStatus(1, Integer.parseInt(refusal.substring(0, 3)));
            for (int i = 2; i < 5; i++) {
                call(i, "request-" + i);
                target.readUntil(END);
                target.send(response(refusal, "request-1").repeat(i));
                target.send(response("200 OK", "request-" + i));
                expectStatus(i, 200);
            }
        }
    }

    /** A success of an earlier run is repeated as well, and is no answer to the next run. */
    @Test
    public void aSuccessThatIsRepeatedDoesNotAnswerTheSameCallAgain() throws Exception {
        call(1, "item-1");
        try (RawHttp first = new RawHttp(mServer.accept())) {
            first.readUntil(END);
            first.send(response("200 OK", "item-1"));
            expectStatus(1, 200);
            call(2, "item-1");
            try (RawHttp second = new RawHttp(mServer.accept())) {
                second.readUntil(END);
                second.send(response("503 Full", "item-1"));
                expectStatus(2, 503);
            }
        }
    }

    @Test
    public void callsWithOtherIdsKeepTheirConnection() throws Exception {
        call(1, "request-1");
        try (RawHttp target = new RawHttp(mServer.accept())) {
            for (int i = 1; i < 200; i++) {
                target.readUntil(END);
                target.send(response("200 OK", "request-" + i));
                expectStatus(i, 200);
                call(i + 1, "request-" + (i + 1));
            }
            mServer.setSoTimeout(1);
            try (Socket other = mServer.accept()) {
                assertTrue(other.isClosed(), "another connection was opened");
            } catch (java.net.SocketTimeoutException expected) {
                assertTrue(mSink.isEmpty(), "an input after the end");
            }
        }
    }
}
