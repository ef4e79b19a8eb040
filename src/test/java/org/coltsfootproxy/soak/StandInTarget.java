package org.coltsfootproxy.soak;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.coltsfootproxy.soak.SoakRoutes.Kind;

/**
 * A model or plain target: runs {@code slots} requests at once in order of arrival, lets a few
 * wait, and refuses others as not run. Each request that arrives is noted in the {@link SendLog}.
 */
final class StandInTarget implements AutoCloseable {
    private static final long EVENT_MILLIS = 20;
    private static final int ONLINE_EVENTS = 35;
    private static final int ITEM_EVENTS = 242;
    private static final long PLAIN_MILLIS = 86;
    private static final int PLAIN_BYTES = 800;
    private static final int BACKLOG = 200;

    /** Small, so that long requests are still being written when an early answer arrives. */
    private static final int RECEIVE_BUFFER_BYTES = 8 << 10;

    /** How a target treats requests; a fault changes it for a while. */
    static final class Behaviour {
        volatile double mErrors;
        volatile double mLost;
        volatile double mCut;
        volatile double mRepeated;
        volatile int mSlowness = 1;
    }

    final String mId;
    final String mService;
    final String mZone;
    final InetSocketAddress mAddress;
    final Behaviour mBehaviour = new Behaviour();
    private final int mSlots;
    private final SoakPlan mPlan;
    private final SendLog mLog;
    private final ServerSocket mServer = new ServerSocket();
    private final Semaphore mFree;
    private final AtomicInteger mWaiting = new AtomicInteger();
    private final Set<Socket> mSockets = ConcurrentHashMap.newKeySet();
    private final long mBorn = System.currentTimeMillis();
    private volatile String mState = "ready";
    private volatile boolean mIsDark;

    StandInTarget(
            String id,
            String service,
            String zone,
            InetSocketAddress address,
            SoakPlan plan,
            SendLog log)
            throws IOException {
        mId = id;
        mService = service;
        mZone = zone;
        mAddress = address;
        mSlots = service.equals(SoakRoutes.MODEL_SERVICE) ? 8 : 6;
        mFree = new Semaphore(mSlots, true);
        mPlan = plan;
        mLog = log;
        mServer.setReuseAddress(true);
        mServer.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
        mServer.bind(address, BACKLOG);
        daemon(this::accept, id);
    }

    static void daemon(Runnable work, String name) {
        Thread thread = new Thread(null, work, name, 256 << 10);
        thread.setDaemon(true);
        thread.start();
    }

    boolean isReady() {
        return mState.equals("ready");
    }

    void drain() {
        mState = "draining";
    }

    /** Stops reading, so that callers hear nothing; open connections stay. */
    void goDark() {
        mIsDark = true;
    }

    /** Returns the target's entry in the platform's list. */
    String listed() {
        return String.format(
                "{\"service\":\"%s\",\"addr\":\"%s:%d\",\"zone\":\"%s\",\"version\":\"v1\","
                        + "\"slots\":%d,\"state\":\"%s\",\"cold_left_ms\":0,\"born\":%d,"
                        + "\"id\":\"%s\"}",
                mService,
                mAddress.getAddress().getHostAddress(),
                mAddress.getPort(),
                mZone,
                mSlots,
                mState,
                mBorn,
                mId);
    }

    private void accept() {
        while (!mServer.isClosed()) {
            try {
                Socket socket = mServer.accept();
                mSockets.add(socket);
                daemon(() -> serve(socket), mId + "-call");
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(socket.getInputStream());
            boolean isOpen = true;
            while (isOpen) {
                Wire.Head head = Wire.head(in);
                isOpen = answer(socket, in, head);
            }
        } catch (IOException e) {
            // The caller or the target has gone; the send that was open says so.
            mSockets.remove(socket);
        }
        mSockets.remove(socket);
    }

    private void waitWhileDark() throws IOException {
        while (mIsDark) {
            sleep(20);
        }
        if (mServer.isClosed()) {
            throw new IOException("the end of the target");
        }
    }

    /** Answers a request; returns whether the connection stays open. */
    private boolean answer(Socket socket, InputStream in, Wire.Head head) throws IOException {
        var route = SoakRoutes.ofPath(head.path());
        if (route.isEmpty()) {
            Wire.skipBody(in, head);
            write(
                    socket,
                    "HTTP/1.1 200 OK\r\nInstance-Id: " + mId + "\r\nContent-Length: 0\r\n\r\n");
            return true;
        }
        String request = head.field("request-id");
        long deadline =
                head.fields().containsKey("deadline-ms")
                        ? Long.parseLong(head.field("deadline-ms"))
                        : Integer.MAX_VALUE;
        var send =
                new SendLog.Send(
                        request,
                        route.get(),
                        mId,
                        mLog.millis(),
                        deadline,
                        head.field("last-event-id"));
        mLog.add(send);
        try {
            waitWhileDark();
            if (!head.field("target-instance").isEmpty()
                    && !head.field("target-instance").equals(mId)) {
                Wire.skipBody(in, head);
                refuse(socket, send, 421);
                return true;
            }
            if (route.get().kind() == Kind.BATCH
                    && FailingItem.isFailing(request, mPlan.poison())) {
                return FailingItem.of(request).answer(socket, in, head, send);
            }
            Wire.skipBody(in, head);
            return run(socket, in, send);
        } catch (IOException e) {
            send.mEnd = "ended by " + e.getMessage();
            throw e;
        }
    }

    private void refuse(Socket socket, SendLog.Send send, int status) throws IOException {
        send.mStatus = status;
        send.mEnd = "refused";
        write(
                socket,
                "HTTP/1.1 "
                        + status
                        + " Refused\r\nRequest-Id: "
                        + send.mRequest
                        + "\r\nNot-Run: 1\r\n"
                        + load()
                        + "Content-Length: 0\r\n\r\n");
    }

    private String load() {
        return "Server-Load: "
                + (mSlots - mFree.availablePermits())
                + ","
                + mWaiting.get()
                + ","
                + mSlots
                + "\r\n";
    }

    private boolean run(Socket socket, InputStream in, SendLog.Send send) throws IOException {
        if (!mFree.tryAcquire() && !awaitSlot(socket, in, send)) {
            return true;
        }
        try {
            send.mHasRun = true;
            return send.mRoute.kind() == Kind.IDEMPOTENT
                    ? runPlain(socket, send)
                    : runStream(socket, send);
        } finally {
            mFree.release();
        }
    }

    private boolean awaitSlot(Socket socket, InputStream in, SendLog.Send send) throws IOException {
        if (mWaiting.incrementAndGet() > mPlan.targetQueue()) {
            mWaiting.decrementAndGet();
            refuse(socket, send, 503);
            return false;
        }
        try {
            while (!mFree.tryAcquire(20, TimeUnit.MILLISECONDS)) {
                if (hasClosed(socket, in)) {
                    throw new IOException("the caller's close while the request waited");
                }
                if (mLog.millis() > send.endsAtMillis()) {
                    refuse(socket, send, 503);
                    return false;
                }
            }
            return true;
        } catch (InterruptedException e) {
            throw new IOException(e);
        } finally {
            mWaiting.decrementAndGet();
        }
    }

    private static boolean hasClosed(Socket socket, InputStream in) throws IOException {
        socket.setSoTimeout(1);
        in.mark(1);
        try {
            boolean hasClosed = in.read() < 0;
            in.reset();
            return hasClosed;
        } catch (SocketTimeoutException e) {
            return false;
        } finally {
            socket.setSoTimeout(0);
        }
    }

    /** Returns whether a share of the requests is treated in a way, by a hash of the request. */
    private boolean isAmong(double share, SendLog.Send send, int salt) {
        return Chance.of(send.mRequest + mId + salt) < share;
    }

    private boolean runPlain(Socket socket, SendLog.Send send) throws IOException {
        sleep(PLAIN_MILLIS * mBehaviour.mSlowness);
        boolean isError = isAmong(mBehaviour.mErrors, send, 1);
        if (isAmong(mBehaviour.mLost, send, 2)) {
            return lose(socket, send);
        }
        send.mStatus = isError ? 500 : 200;
        String answer =
                "HTTP/1.1 "
                        + send.mStatus
                        + " Answer\r\n"
                        + stamp(send)
                        + "Content-Length: "
                        + PLAIN_BYTES
                        + "\r\n\r\n"
                        + "x".repeat(PLAIN_BYTES);
        write(socket, answer);
        send.mEnd = "complete";
        if (isAmong(mBehaviour.mRepeated, send, 3)) {
            send.mEnd = "complete, written twice";
            write(socket, answer);
        }
        return true;
    }

    private boolean lose(Socket socket, SendLog.Send send) throws IOException {
        send.mEnd = "the answer was lost";
        socket.setSoLinger(true, 0);
        socket.close();
        return false;
    }

    private String stamp(SendLog.Send send) {
        return "Request-Id: "
                + send.mRequest
                + "\r\nServer-Stamp: stamp."
                + mId
                + "."
                + send.mRequest
                + "\r\n"
                + load();
    }

    private boolean runStream(Socket socket, SendLog.Send send) throws IOException {
        sleep(EVENT_MILLIS);
        boolean isItem = send.mRoute.kind() == Kind.BATCH;
        if (isAmong(mBehaviour.mErrors, send, 4)) {
            send.mStatus = 500;
            send.mEnd = "complete";
            write(socket, "HTTP/1.1 500 Error\r\n" + stamp(send) + "Content-Length: 0\r\n\r\n");
            return true;
        }
        send.mStatus = 200;
        write(
                socket,
                "HTTP/1.1 200 OK\r\n"
                        + stamp(send)
                        + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
        int first = send.mResumedAfter.isEmpty() ? 1 : Integer.parseInt(send.mResumedAfter) + 1;
        int last = isItem ? ITEM_EVENTS : ONLINE_EVENTS;
        int cutAt = isAmong(mBehaviour.mCut, send, 5) ? first + Math.abs(mId.hashCode()) % 9 : -1;
        for (int n = first; n <= last; n++) {
            if (n == cutAt) {
                send.mEnd = "reset at event " + n;
                socket.setSoLinger(true, 0);
                socket.close();
                return false;
            }
            if (mLog.millis() > send.endsAtMillis()) {
                send.mEnd = "its time was up at event " + n;
                return false;
            }
            String event = "id: " + n + "\ndata: " + n + " of " + send.mRequest + "\n\n";
            write(socket, Integer.toHexString(event.length()) + "\r\n" + event + "\r\n");
            sleep(EVENT_MILLIS * mBehaviour.mSlowness);
        }
        write(socket, "0\r\n\r\n");
        send.mEnd = "complete";
        return true;
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static void write(Socket socket, String text) throws IOException {
        OutputStream out = socket.getOutputStream();
        out.write(Wire.ascii(text));
        out.flush();
    }

    /** Ends the target: its connections are reset and its address accepts none. */
    @Override
    public void close() throws IOException {
        mServer.close();
        mIsDark = false;
        mLog.targetEnded(mId);
        for (Socket socket : mSockets) {
            socket.setSoLinger(true, 0);
            socket.close();
        }
    }
}
