package org.coltsfootproxy.soak;

import com.google.common.base.Strings;
import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Queue;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import org.coltsfootproxy.soak.SoakRoutes.Kind;
import org.coltsfootproxy.soak.SoakRoutes.Route;

/**
 * Callers of the online routes: requests arrive in waves whatever the answers are, over kept
 * connections, which are used until the entry closes them or its process is gone.
 */
final class OnlineCallers {
    /** Period and shape of the waves: a crest for two fifths of each period. */
    private static final long WAVE_MILLIS = 6_000;

    private static final double TROUGH = 0.391;
    private static final double CREST = 1.91;
    private static final int REQUEST_BYTES = 1_500;
    private static final int ID_LENGTH = 16;

    private final SoakFleet mFleet;
    private final SoakPlan mPlan;
    private final SendLog mLog;
    private final Map<String, Queue<Caller>> mIdle = new ConcurrentHashMap<>();
    private final Map<String, AtomicInteger> mOutcomes = new ConcurrentHashMap<>();
    private final AtomicInteger mOpen = new AtomicInteger();

    OnlineCallers(SoakFleet fleet, SoakPlan plan, SendLog log) {
        mFleet = fleet;
        mPlan = plan;
        mLog = log;
    }

    /** Sends the requests of a route until a time, each on a thread of its own. */
    void send(Route route, long untilMillis) {
        Random random = new Random(mPlan.seed() * 31 + route.name().hashCode());
        while (mLog.millis() < untilMillis) {
            boolean isCrest = mLog.millis() % WAVE_MILLIS >= WAVE_MILLIS * 3 / 5;
            double rate = route.perSecond() * mPlan.load() * (isCrest ? CREST : TROUGH);
            StandInTarget.sleep((long) (-1_000 * Math.log(1 - random.nextDouble()) / rate));
            String id = String.format("%016x", random.nextLong());
            int entry = random.nextInt(1_000);
            mOpen.incrementAndGet();
            StandInTarget.daemon(() -> call(route, id, entry), "caller");
        }
    }

    boolean isIdle() {
        return mOpen.get() == 0;
    }

    /** Returns how many requests have ended in each way, by route. */
    Map<String, AtomicInteger> outcomes() {
        return new TreeMap<>(mOutcomes);
    }

    /** Calls once and, as the deployment's callers do, once more after a failure. */
    private void call(Route route, String id, int entry) {
        long deadline = mLog.millis() + route.deadlineMillis();
        Attempt attempt = new Attempt(route, id + "-0", "");
        attempt.run(entry, deadline);
        if (attempt.mayRepeat() && deadline - mLog.millis() > 50) {
            StandInTarget.sleep(Math.min(attempt.mRetryMillis, (deadline - mLog.millis()) / 3));
            Attempt second = new Attempt(route, id + "-1", attempt.mLastEvent);
            second.run(entry + 1, deadline);
            attempt = second;
        }
        mOutcomes
                .computeIfAbsent(route.name() + " " + attempt.mOutcome, o -> new AtomicInteger())
                .incrementAndGet();
        mOpen.decrementAndGet();
    }

    /** A kept connection. */
    private record Caller(Socket socket, InputStream in) {}

    private Caller connect(SoakFleet.Machine front, boolean isNew) throws IOException {
        Caller idle = isNew ? null : idle(front).poll();
        if (idle != null) {
            return idle;
        }
        Socket socket = new Socket();
        socket.connect(mFleet.callerAddress(front), 1_000);
        socket.setTcpNoDelay(true);
        return new Caller(socket, new BufferedInputStream(socket.getInputStream()));
    }

    private Queue<Caller> idle(SoakFleet.Machine front) {
        return mIdle.computeIfAbsent(front.mName, name -> new ConcurrentLinkedQueue<>());
    }

    /** One attempt of a caller, with a request id of its own. */
    private final class Attempt {
        private final Route mRoute;
        private final String mId;
        private String mLastEvent;
        private String mOutcome = "no answer";
        private long mRetryMillis;

        Attempt(Route route, String id, String lastEvent) {
            mRoute = route;
            mId = id;
            mLastEvent = lastEvent;
        }

        boolean mayRepeat() {
            boolean isRefused = mOutcome.equals("429") || mOutcome.equals("503");
            boolean isRepeatable = mRoute.kind() == Kind.IDEMPOTENT || mRoute.isResumable();
            return !mOutcome.equals("served") && (isRefused || isRepeatable);
        }

        void run(int entry, long deadlineMillis) {
            var fronts = mFleet.all("front").stream().filter(f -> f.mIsWanted).toList();
            if (fronts.isEmpty()) {
                return;
            }
            SoakFleet.Machine front = fronts.get(entry % fronts.size());
            mLog.callerWaits(mId, front.mName, deadlineMillis);
            Caller caller = null;
            try {
                caller = connect(front, entry % 4 == 0);
                long left = deadlineMillis - mLog.millis();
                caller.socket().setSoTimeout((int) Math.max(1, left + 1_000));
                write(caller, left);
                Wire.Head head = Wire.head(caller.in());
                read(caller, head);
                if (!head.field("connection").equalsIgnoreCase("close")) {
                    idle(front).add(caller);
                }
            } catch (IOException e) {
                mOutcome = mOutcome.equals("cut") ? mOutcome : "no answer";
                close(caller);
            }
        }

        private void write(Caller caller, long left) throws IOException {
            // A host recognises the second attempt by the content, and relates no other requests.
            String content = mId.substring(0, ID_LENGTH);
            byte[] body = Wire.ascii(Strings.padEnd(content, REQUEST_BYTES, ' '));
            String head =
                    "POST "
                            + mRoute.prefix()
                            + "2f HTTP/1.1\r\nHost: "
                            + SoakRoutes.HOST
                            + "\r\nRequest-Id: "
                            + mId
                            + "\r\nDeadline-Ms: "
                            + left
                            + "\r\nAuthorization: Bearer "
                            + SoakRoutes.KEY
                            + (mLastEvent.isEmpty() ? "" : "\r\nLast-Event-Id: " + mLastEvent)
                            + (mRoute.kind() == Kind.STREAMING
                                    ? "\r\nModel: m\r\nToken-Count: 450,245"
                                            + "\r\nPrompt-Prefix: a1:100,"
                                            + mId.substring(0, 6)
                                            + ":350"
                                    : "")
                            + "\r\nContent-Length: "
                            + body.length
                            + "\r\n\r\n";
            caller.socket().getOutputStream().write(Wire.ascii(head));
            caller.socket().getOutputStream().write(body);
        }

        private void read(Caller caller, Wire.Head head) throws IOException {
            int status = head.status();
            if (status == 200 && mRoute.kind() == Kind.STREAMING) {
                mOutcome = "cut";
                readEvents(caller.in(), head);
            } else {
                Wire.body(caller.in(), head);
            }
            mOutcome = status == 200 ? "served" : Integer.toString(status);
            if (!head.field("retry-after").isEmpty()) {
                mRetryMillis = (long) (1_000 * Double.parseDouble(head.field("retry-after")));
            }
        }

        private void readEvents(InputStream in, Wire.Head head) throws IOException {
            if (!head.isChunked()) {
                Wire.body(in, head);
                return;
            }
            for (byte[] chunk = Wire.chunk(in); chunk.length > 0; chunk = Wire.chunk(in)) {
                String text = new String(chunk, StandardCharsets.US_ASCII);
                int id = text.lastIndexOf("id: ");
                if (id >= 0) {
                    mLastEvent = text.substring(id + 4, text.indexOf('\n', id)).trim();
                }
            }
        }

        private void close(Caller caller) {
            try {
                if (caller != null) {
                    caller.socket().close();
                }
            } catch (IOException e) {
                mOutcome = "no answer";
            }
        }
    }
}
