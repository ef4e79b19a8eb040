package org.coltsfootproxy.net;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.coltsfootproxy.base.EventCode;
import org.coltsfootproxy.base.ProxyException;
import org.coltsfootproxy.node.Effect;
import org.coltsfootproxy.node.Input;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that callers can tell an answer that was cut from a complete one. */
public final class CutAnswerTest {
    private static final String PART = "data: 1\n\n";
    private static final String LAST_CHUNK = "0\r\n\r\n";
    private static final String RESET = "reset";
    private static final int BYTES_BEYOND_ALL_BUFFERS = 32 << 20;

    private RecordingSink mSink;
    private RecordingEvents mEvents;
    private HttpFront mFront;
    private InetSocketAddress mAddress;

    @BeforeMethod
    public void start() throws ProxyException {
        start(1 << 30);
    }

    private void start(long maxUnsentBytes) throws ProxyException {
        mSink = new RecordingSink();
        mEvents = new RecordingEvents();
        mFront =
                HttpFront.create(
                        HttpFrontSettings.defaults(
                                        new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
                                .withBounds(10, maxUnsentBytes, Duration.ofMillis(200)),
                        mSink,
                        mEvents);
        mAddress = mFront.start();
    }

    @AfterMethod(alwaysRun = true)
    public void stop() {
        mFront.close();
    }

    /** What ends the connection before the answer is complete. */
    private enum Cut {
        ABORT,
        STOP_OF_THE_HOST,
        TOO_MANY_UNSENT_BYTES,
        CALLER_THAT_READS_NOTHING
    }

    @DataProvider
    Object[][] cuts() {
        List<Object[]> cases = new ArrayList<>();
        for (Cut cut : Cut.values()) {
            for (String version : List.of("1.0", "1.1")) {
                for (String field : List.of("", "Connection: close\r\n")) {
                    cases.add(new Object[] {cut, version, field});
                }
            }
        }
        return cases.toArray(Object[][]::new);
    }

    private void cut(Cut cut, long call) throws InterruptedException {
        switch (cut) {
            case ABORT -> mFront.execute(new Effect.HttpAbort(call));
            case STOP_OF_THE_HOST -> mFront.close();
            case TOO_MANY_UNSENT_BYTES, CALLER_THAT_READS_NOTHING -> {
                mFront.execute(new Effect.HttpChunk(call, new byte[BYTES_BEYOND_ALL_BUFFERS]));
                mEvents.await(EventCode.CALLER_CUT);
            }
            default -> throw new AssertionError(cut);
        }
    }

    /** Reads until the connection ends; returns what came last, or {@link #RESET}. */
    private static String endOf(RawHttp caller) {
        try {
            String rest = caller.readAll();
            return rest.substring(Math.max(0, rest.length() - LAST_CHUNK.length()));
        } catch (IOException e) {
            return RESET;
        }
    }

    /** Guards against a part of an answer that looks complete because the connection ends. */
    @Test(dataProvider = "cuts")
    public void anAnswerThatIsCutDoesNotLookComplete(Cut cut, String version, String field)
            throws Exception {
        if (cut == Cut.TOO_MANY_UNSENT_BYTES) {
            stop();
            start(BYTES_BEYOND_ALL_BUFFERS / 2);
        }
        try (RawHttp caller = new RawHttp(mAddress)) {
            caller.send("GET /a HTTP/" + version + "\r\nHost: h\r\n" + field + "\r\n");
            long call = mSink.next(Input.HttpCall.class).call();
            mFront.execute(new Effect.HttpHead(call, 200, List.of()));
            mFront.execute(new Effect.HttpChunk(call, PART.getBytes(StandardCharsets.US_ASCII)));
            String head = caller.readUntil("\r\n\r\n");
            caller.readUntil(PART);
            cut(cut, call);
            String end = endOf(caller);
            if (version.equals("1.1")) {
                assertTrue(head.contains("chunked"), head);
                assertNotEquals(end, LAST_CHUNK);
            } else {
                assertEquals(end, RESET);
            }
        }
    }

    @DataProvider
    Object[][] requests() {
        return new Object[][] {
            {"GET /a HTTP/1.0\r\nHost: h\r\n\r\n"},
            {"GET /a HTTP/1.0\r\nHost: h\r\nConnection: keep-alive\r\n\r\n"},
            {"GET /a HTTP/1.0\r\nHost: h\r\n\r\nGET /b HTTP/1.0\r\nHost: h\r\n\r\n"}
        };
    }

    /** Guards against a complete answer of which a reset takes the last bytes. */
    @Test(dataProvider = "requests")
    public void aCompleteAnswerWithoutLengthEndsInAnOrderlyWay(String request) throws Exception {
        try (RawHttp caller = new RawHttp(mAddress)) {
            caller.send(request);
            long call = mSink.next(Input.HttpCall.class).call();
            mFront.execute(new Effect.HttpHead(call, 200, List.of()));
            mFront.execute(new Effect.HttpChunk(call, new byte[BYTES_BEYOND_ALL_BUFFERS]));
            mFront.execute(new Effect.HttpEnd(call));
            caller.readUntil("\r\n\r\n");
            assertEquals(caller.readAll().length(), BYTES_BEYOND_ALL_BUFFERS);
        }
    }
}
