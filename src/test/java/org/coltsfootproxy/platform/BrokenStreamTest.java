package org.coltsfootproxy.platform;

import static org.coltsfootproxy.platform.ScriptedTargets.reset;
import static org.coltsfootproxy.platform.ScriptedTargets.send;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Function;
import org.coltsfootproxy.platform.ScriptedTargets.Received;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of streams that break off and whose next target sends something else, over sockets. */
public final class BrokenStreamTest {
    private static final String STREAM = "Content-Type: text/event-stream";
    private static final String CHUNKED = "Transfer-Encoding: chunked";
    private static final String ERROR = "error-text";
    private static final int SERVICES = 110;
    private static final int DEADLINE_MILLIS = 5_000;

    /** Time for the bytes before a reset to be read, as a reset may discard them. */
    private static final long RESET_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

    private SocketFleet mFleet;

    @BeforeClass
    public void start() throws Exception {
        mFleet = SocketFleet.start(SERVICES, 2, 1, DEADLINE_MILLIS);
    }

    @AfterClass(alwaysRun = true)
    public void stop() throws Exception {
        mFleet.close();
    }

    private static String chunk(String text) {
        return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    }

    private static String lastChunk() {
        return "0\r\n\r\n";
    }

    private static String event(int number) {
        return "id: " + number + "\ndata: piece-" + number + "\n\n";
    }

    private static String length(String text) {
        return "Content-Length: " + text.length();
    }

    /** The ways in which the second target answers; each closes its connection afterwards. */
    private static Map<String, Function<Received, String>> answers() {
        Map<String, Function<Received, String>> answers = new LinkedHashMap<>();
        for (String status :
                List.of("500 E", "502 E", "503 E", "504 E", "400 E", "404 E", "429 E", "302 F")) {
            answers.put(
                    status + " with a length", r -> r.signedHead(status, length(ERROR)) + ERROR);
        }
        for (String status : List.of("421 M", "429 E", "503 E", "400 E", "500 E")) {
            answers.put(
                    status + " that has not run",
                    r -> r.signedHead(status, "Not-Run: 1", length(ERROR)) + ERROR);
        }
        answers.put(
                "500 in chunks", r -> r.signedHead("500 E", CHUNKED) + chunk(ERROR) + lastChunk());
        answers.put("500 in chunks, cut", r -> r.signedHead("500 E", CHUNKED) + chunk(ERROR));
        answers.put("500 without length", r -> r.signedHead("500 E") + ERROR);
        answers.put(
                "500 as an event stream",
                r -> r.signedHead("500 E", STREAM, CHUNKED) + chunk(event(4)) + lastChunk());
        answers.put(
                "500 as an event stream without length",
                r -> r.signedHead("500 E", STREAM) + event(4));
        addSuccesses(answers);
        return answers;
    }

    private static void addSuccesses(Map<String, Function<Received, String>> answers) {
        answers.put("200 of another type", r -> r.signedHead("200 OK", length(ERROR)) + ERROR);
        answers.put(
                "200 of another type in chunks",
                r ->
                        r.signedHead("200 OK", "Content-Type: application/json", CHUNKED)
                                + chunk(ERROR + "\n\n")
                                + lastChunk());
        answers.put(
                "200 without signature",
                r ->
                        "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\n%s\r\n%s\r\n\r\n"
                                        .formatted(r.id(), STREAM, CHUNKED)
                                + chunk(event(4))
                                + lastChunk());
        answers.put(
                "200 without an id",
                r ->
                        "HTTP/1.1 200 OK\r\nServer-Stamp: s\r\n%s\r\n%s\r\n\r\n"
                                        .formatted(STREAM, CHUNKED)
                                + chunk(event(4))
                                + lastChunk());
        answers.put("200 with half a head", r -> r.signedHead("200 OK", STREAM).substring(0, 60));
        answers.put("204", r -> r.signedHead("204 N"));
        answers.put("304", r -> r.signedHead("304 N"));
        answers.put("100 and nothing", r -> "HTTP/1.1 100 Continue\r\n\r\n");
        answers.put(
                "103 and 500",
                r ->
                        "HTTP/1.1 103 E\r\nA: b\r\n\r\n"
                                + r.signedHead("500 E", length(ERROR))
                                + ERROR);
        answers.put("101", r -> "HTTP/1.1 101 S\r\nUpgrade: x\r\n\r\n" + ERROR);
        answers.put("bytes that are no answer", r -> ERROR + "\r\n\r\n" + ERROR);
        answers.put("nothing", r -> "");
        answers.put(
                "200 that breaks off within an event",
                r -> r.signedHead("200 OK", STREAM, CHUNKED) + chunk("id: 4\ndata: pie"));
        answers.put(
                "200 that breaks off before its first event",
                r -> r.signedHead("200 OK", STREAM, CHUNKED));
    }

    private enum Caller {
        KEPT("HTTP/1.1", ""),
        CLOSING("HTTP/1.1", "Connection: close\r\n"),
        OLD("HTTP/1.0", "");

        private final String mVersion;
        private final String mField;

        Caller(String version, String field) {
            mVersion = version;
            mField = field;
        }

        String request(String path, String id) {
            return SocketFleet.request("POST", path, id, DEADLINE_MILLIS)
                            .replace("HTTP/1.1", mVersion)
                    + mField
                    + "Content-Length: 2\r\n\r\nhi";
        }
    }

    @DataProvider
    Object[][] cases() {
        List<Object[]> cases = new ArrayList<>();
        for (String answer : answers().keySet()) {
            for (Caller caller : Caller.values()) {
                cases.add(new Object[] {answer, caller, cases.size()});
            }
        }
        return cases.toArray(Object[][]::new);
    }

    private static void breakOff(Received request, Socket socket, boolean hasLength)
            throws IOException {
        String begun = event(1) + event(2) + event(3) + "id: 4\nda";
        send(
                socket,
                hasLength
                        ? request.signedHead("200 OK", STREAM) + begun
                        : request.signedHead("200 OK", STREAM, CHUNKED) + chunk(begun));
    }

    /** Guards against the text of an error, or a regular end, in the middle of a stream. */
    @Test(dataProvider = "cases")
    public void aStreamWhoseSecondTargetFailsIsBrokenOff(String name, Caller caller, int number)
            throws Exception {
        String id = "broken-" + number;
        boolean byReset = number % 2 == 0;
        mFleet.targets()
                .script(
                        id,
                        (request, send, socket) -> {
                            if (send == 1) {
                                breakOff(request, socket, byReset);
                                LockSupport.parkNanos(RESET_DELAY_NANOS);
                            } else {
                                send(socket, answers().get(name).apply(request));
                            }
                            if (send == 1 && byReset) {
                                reset(socket);
                            } else {
                                socket.close();
                            }
                        });
        CallerSocket.Answer answer = call(caller, "/resumable-" + number + "/x", id);
        String what = name + " to " + caller + ": " + answer;
        List<Received> received = mFleet.targets().received(id);
        assertEquals(received.size(), 2, what + received);
        assertEquals(received.get(1).header("Last-Event-Id"), "3", what);
        assertEquals(answer.status(), 200, what);
        assertFalse(answer.isComplete(), what);
        assertTrue((event(1) + event(2) + event(3)).startsWith(answer.body()), what);
    }

    private CallerSocket.Answer call(Caller caller, String path, String id) throws IOException {
        try (CallerSocket socket = new CallerSocket(mFleet.callers())) {
            return socket.send(caller.request(path, id)).read();
        }
    }

    @DataProvider
    Object[][] callers() {
        return Arrays.stream(Caller.values())
                .map(caller -> new Object[] {caller})
                .toArray(Object[][]::new);
    }

    /** Guards against tests of broken streams that would pass if no stream ever went on. */
    @Test(dataProvider = "callers")
    public void aStreamWhoseSecondTargetGoesOnIsComplete(Caller caller) throws Exception {
        String id = "going-on-" + caller;
        mFleet.targets()
                .script(
                        id,
                        (request, send, socket) -> {
                            if (send == 1) {
                                breakOff(request, socket, false);
                            } else {
                                send(
                                        socket,
                                        request.signedHead("200 OK", STREAM, CHUNKED)
                                                + chunk(event(4))
                                                + chunk(event(5))
                                                + lastChunk());
                            }
                            socket.close();
                        });
        String path = "/resumable-" + (SERVICES - 1 - caller.ordinal()) + "/x";
        CallerSocket.Answer answer = call(caller, path, id);
        assertTrue(answer.isComplete(), answer.toString());
        assertEquals(answer.body(), event(1) + event(2) + event(3) + event(4) + event(5));
    }

    /** Guards against a regular end of a stream that can't go on elsewhere. */
    @Test(dataProvider = "callers")
    public void aBrokenStreamThatMustNotRunAgainIsBrokenOffForItsCaller(Caller caller)
            throws Exception {
        for (boolean hasLength : List.of(false, true)) {
            String id = "once-" + caller + "-" + hasLength;
            mFleet.targets()
                    .script(
                            id,
                            (request, send, socket) -> {
                                breakOff(request, socket, hasLength);
                                socket.close();
                            });
            CallerSocket.Answer answer = call(caller, "/stream-0/x", id);
            assertFalse(answer.isComplete(), answer.toString());
            assertEquals(mFleet.targets().received(id).size(), 1);
        }
    }
}
