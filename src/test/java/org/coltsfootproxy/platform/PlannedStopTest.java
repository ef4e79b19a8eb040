package org.coltsfootproxy.platform;

import static org.coltsfootproxy.platform.ScriptedTargets.send;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.net.SocketException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests of requests that arrive around and during a planned stop of an entry, over sockets. */
public final class PlannedStopTest {
    private static final String STREAM = "Content-Type: text/event-stream";
    private static final long SPLIT_NANOS = TimeUnit.MILLISECONDS.toNanos(500);
    private static final long STOP_SECONDS = 3;
    private static final int ROUTE_LIMIT_MILLIS = 5_000;
    private static final int ARRIVAL_STEP_MILLIS = 250;
    private static final int FIRST_ARRIVAL_MILLIS = -300;
    private static final int LAST_ARRIVAL_MILLIS = 3_200;

    private SocketFleet mFleet;
    private final ExecutorService mThreads = Executors.newCachedThreadPool();

    @BeforeMethod
    public void start() throws Exception {
        mFleet = SocketFleet.start(1, 3, STOP_SECONDS, ROUTE_LIMIT_MILLIS);
    }

    @AfterMethod(alwaysRun = true)
    public void stop() throws Exception {
        mFleet.close();
        mThreads.shutdownNow();
    }

    /** When the bytes of a request are sent. */
    private enum Sending {
        /** At once on a new connection. */
        NEW,
        /** At once on a connection that was opened before the stop. */
        KEPT,
        /** The body half a second after the head, on a new connection. */
        SPLIT
    }

    /** One request: when it is complete after the order to stop, and how long it runs. */
    private record Case(
            String path, int arrivalMillis, int deadlineMillis, int runMillis, Sending sending) {
        String id() {
            return path.replace("/", "")
                    + "_"
                    + arrivalMillis
                    + "_"
                    + deadlineMillis
                    + "_"
                    + runMillis
                    + "_"
                    + sending;
        }

        String head() {
            return SocketFleet.request("POST", path, id(), deadlineMillis)
                    + "Content-Length: 2\r\n\r\n";
        }

        boolean isStream() {
            return path.contains("stream") || path.contains("resumable");
        }

        void answer(ScriptedTargets.Received request, int number, Socket socket)
                throws IOException {
            if (isStream()) {
                send(socket, request.signedHead("200 OK", STREAM) + "id: 1\ndata: a\n\n");
            }
            parkMillis(runMillis);
            if (isStream()) {
                send(socket, "id: 2\ndata: b\n\n");
                socket.close();
            } else {
                send(socket, request.signedHead("200 OK", "Content-Length: 2") + "ok");
            }
        }
    }

    private static void parkMillis(long millis) {
        LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(millis));
    }

    private static List<Case> cases() {
        List<Case> cases = new ArrayList<>();
        for (int at = FIRST_ARRIVAL_MILLIS; at <= LAST_ARRIVAL_MILLIS; at += ARRIVAL_STEP_MILLIS) {
            for (int deadline : List.of(800, 2_500, ROUTE_LIMIT_MILLIS)) {
                for (int run : List.of(0, deadline / 2, deadline * 9 / 10, deadline * 2)) {
                    Sending sending = Sending.values()[cases.size() % Sending.values().length];
                    for (String path : List.of("/repeatable-0/x", "/once-0/x")) {
                        cases.add(new Case(path, at, deadline, run, sending));
                    }
                    // A stream that has begun and lasts longer than the stop can only be cut.
                    if (run < deadline && at + run < TimeUnit.SECONDS.toMillis(STOP_SECONDS)) {
                        cases.add(new Case("/stream-0/x", at, deadline, run, sending));
                        cases.add(new Case("/resumable-0/x", at, deadline, run, sending));
                    }
                }
            }
        }
        return cases;
    }

    /** An answer and whether it ended after the deadline of its request. */
    private record Outcome(CallerSocket.Answer answer, boolean isLate) {}

    private Outcome call(Case aCase, long stopAt) throws IOException {
        long sentAt = stopAt + TimeUnit.MILLISECONDS.toNanos(aCase.arrivalMillis());
        CallerSocket.Answer answer = answer(aCase, sentAt);
        long begunAt = aCase.sending() == Sending.SPLIT ? sentAt - SPLIT_NANOS : sentAt;
        long millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - begunAt);
        return new Outcome(answer, millis >= aCase.deadlineMillis());
    }

    private CallerSocket.Answer answer(Case aCase, long at) throws IOException {
        try (CallerSocket kept = new CallerSocket(mFleet.callers())) {
            if (aCase.sending() == Sending.SPLIT) {
                LockSupport.parkNanos(at - SPLIT_NANOS - System.nanoTime());
                kept.send(aCase.head());
            }
            LockSupport.parkNanos(at - System.nanoTime());
            if (aCase.sending() == Sending.SPLIT) {
                return kept.send("hi").read();
            } else if (aCase.sending() == Sending.KEPT) {
                return kept.send(aCase.head() + "hi").read();
            }
            try (CallerSocket fresh = new CallerSocket(mFleet.callers())) {
                return fresh.send(aCase.head() + "hi").read();
            }
        } catch (SocketException e) {
            return new CallerSocket.Answer(0, "", "", false);
        }
    }

    /** Guards against requests that are passed on late in a stop and cut at its end. */
    @Test
    public void noRequestIsPassedOnAndThenCutByAPlannedStop() throws Exception {
        List<Case> cases = cases();
        for (Case aCase : cases) {
            mFleet.targets().script(aCase.id(), aCase::answer);
        }
        long stopAt = System.nanoTime() + TimeUnit.SECONDS.toNanos(1);
        List<Future<Outcome>> answers = new ArrayList<>();
        for (Case aCase : cases) {
            answers.add(mThreads.submit(() -> call(aCase, stopAt)));
        }
        LockSupport.parkNanos(stopAt - System.nanoTime());
        mFleet.stopEntry();
        List<String> wrong = new ArrayList<>();
        int taken = 0;
        for (int n = 0; n < cases.size(); n++) {
            Case aCase = cases.get(n);
            Outcome outcome = answers.get(n).get();
            CallerSocket.Answer answer = outcome.answer();
            int runs = mFleet.targets().received(aCase.id()).size();
            taken += runs > 0 ? 1 : 0;
            boolean isCut = !answer.isComplete() && !(aCase.isStream() && outcome.isLate());
            if (runs > 0 && (isCut || answer.status() == 503)) {
                wrong.add(aCase.id() + ": " + runs + " runs, " + answer);
            }
        }
        assertEquals(
                wrong,
                List.of(),
                wrong.size() + " of " + cases.size() + ", taken " + taken + wrong);
        assertTrue(taken > 0, "no request was passed on");
    }
}
