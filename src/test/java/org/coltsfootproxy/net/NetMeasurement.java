package org.coltsfootproxy.net;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.stream.IntStream;
import org.coltsfootproxy.base.EventCode;
import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.base.Incarnation;
import org.coltsfootproxy.base.JobId;
import org.coltsfootproxy.base.Metric;
import org.coltsfootproxy.base.OrganisationId;
import org.coltsfootproxy.base.RecordCodec;
import org.coltsfootproxy.base.RequestId;
import org.coltsfootproxy.base.ServiceId;
import org.coltsfootproxy.base.TrafficClass;
import org.coltsfootproxy.fake.FakeTarget;
import org.coltsfootproxy.fake.FakeTargetSettings;
import org.coltsfootproxy.message.CallMessage;
import org.coltsfootproxy.message.Header;
import org.coltsfootproxy.message.JobMessage;
import org.coltsfootproxy.message.Lane;
import org.coltsfootproxy.message.LimitMessage;
import org.coltsfootproxy.message.Message;
import org.coltsfootproxy.node.Effect;
import org.coltsfootproxy.node.Input;

/**
 * Measures the figures of docs/measurements/net.md. Run as a program, not with the tests; the
 * arguments name the measurements to run: codec, throughput, idle, memory, relay.
 */
public final class NetMeasurement {
    private static final byte[] SECRET = "measurement-secret".getBytes(StandardCharsets.US_ASCII);
    private static final HostId NODE = HostId.of("node");
    private static final int ROUNDS = 5;

    private NetMeasurement() {}

    public static void main(String[] parts) throws Exception {
        for (String part : parts) {
            switch (part) {
                case "codec" -> codec();
                case "throughput" -> throughput();
                case "idle" -> idle();
                case "memory" -> memory();
                case "relay" -> relay();
                default -> throw new IllegalArgumentException("unknown measurement: " + part);
            }
        }
        System.exit(0);
    }

    private static void print(String format, Object... values) {
        System.out.printf(Locale.ROOT, format + "%n", values);
    }

    private static InetSocketAddress anyPort() {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    }

    private static CallMessage.AnswerChunk chunk(int number) {
        byte[] token =
                "data: {\"id\":\"x\",\"index\":17,\"text\":\"word \"}\n\n"
                        .getBytes(StandardCharsets.US_ASCII);
        return new CallMessage.AnswerChunk(RequestId.of(1L << 60, number), number, token);
    }

    private static Message forwardMessage() {
        return new CallMessage.Forward(
                RequestId.of(1L << 60, 12345),
                Incarnation.of(1L << 50),
                OrganisationId.of("solway-station"),
                2,
                ServiceId.of("rota-assistant"),
                true,
                30_000_000_000L,
                "POST",
                "/assistant/questions",
                List.of(
                        Header.of("Host", "rota.example"),
                        Header.of("Content-Type", "application/json"),
                        Header.of("Accept", "text/event-stream")),
                new byte[1024]);
    }

    private static void codec() throws Exception {
        RecordCodec<Message> codec = RecordCodec.of(Message.class);
        for (Message message :
                List.of(
                        chunk(5),
                        new CallMessage.Received(RequestId.of(1L << 60, 7)),
                        forwardMessage())) {
            byte[] bytes = codec.encode(message);
            double encode = medianNanos(200_000, () -> codec.encode(message).length);
            double decode =
                    medianNanos(
                            200_000,
                            () -> {
                                try {
                                    return codec.decode(bytes).hashCode();
                                } catch (org.coltsfootproxy.base.ProxyException e) {
                                    throw new IllegalStateException(e);
                                }
                            });
            print(
                    "codec %-12s %5d bytes (frame %d)  encode %6.0f ns  decode %6.0f ns",
                    message.getClass().getSimpleName(),
                    bytes.length,
                    bytes.length + Frame.HEADER_BYTES,
                    encode,
                    decode);
        }
    }

    private static double medianNanos(int count, LongSupplier task) {
        double[] rounds = new double[ROUNDS];
        long sum = 0;
        for (int r = 0; r < ROUNDS; r++) {
            long start = System.nanoTime();
            for (int i = 0; i < count; i++) {
                sum += task.getAsLong();
            }
            rounds[r] = (System.nanoTime() - start) / (double) count;
        }
        Arrays.sort(rounds);
        return sum == 1 ? -1 : rounds[ROUNDS / 2];
    }

    private static PeerTransport transport(HostId host, InputSink sink) {
        return PeerTransport.create(
                PeerSettings.defaults(host, Incarnation.of(1), anyPort(), SECRET),
                sink,
                new PrintingEvents(host));
    }

    /**
     * Prints warnings and errors, because lost connections and dropped messages distort results.
     */
    private record PrintingEvents(HostId host) implements NetEvents {
        @Override
        public void log(EventCode code, String detail) {
            if (code.level() != EventCode.Level.INFO) {
                print("%s: %s %s", host, code, detail);
            }
        }

        @Override
        public void count(Metric metric, String label) {
            // The log events suffice.
        }
    }

    private static String hostAndPort(InetSocketAddress address) {
        return "127.0.0.1:" + address.getPort();
    }

    private static void throughput() throws Exception {
        int count = 200_000;
        for (int round = 0; round < ROUNDS; round++) {
            CountDownLatch arrived = new CountDownLatch(count);
            try (PeerTransport a = transport(HostId.of("a"), i -> true);
                    PeerTransport b = transport(HostId.of("b"), i -> count(i, arrived))) {
                a.setAddress(HostId.of("b"), hostAndPort(b.start()));
                long start = System.nanoTime();
                for (int i = 0; i < count; i++) {
                    a.send(HostId.of("b"), chunk(i));
                    while (a.unsentBytes(HostId.of("b"), Lane.ONLINE) > 8 << 20) {
                        Thread.onSpinWait();
                    }
                }
                if (!arrived.await(60, TimeUnit.SECONDS)) {
                    throw new IllegalStateException(
                            arrived.getCount() + " messages did not arrive within 60 s");
                }
                print(
                        "throughput %d messages, %.2f us a message from end to end",
                        count, (System.nanoTime() - start) / 1000.0 / count);
            }
        }
    }

    private static boolean count(Input input, CountDownLatch latch) {
        if (input instanceof Input.FromPeer) {
            latch.countDown();
        }
        return true;
    }

    private static Message message(Lane lane) {
        return switch (lane) {
            case ONLINE -> new CallMessage.Watch(CallMessage.NO_REQUEST);
            case CONTROL ->
                    new LimitMessage.Recall(
                            OrganisationId.of("o"), new LimitMessage.GrantEpoch(1, 1, 1));
            case BATCH -> new JobMessage.AskStatus(0, 1, OrganisationId.of("o"), JobId.of("j"));
        };
    }

    /** Returns peers of a node that have opened a connection in each lane and are idle then. */
    private static List<PeerTransport> peers(InetSocketAddress node, int count) {
        List<PeerTransport> peers = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            PeerTransport peer = transport(HostId.of("peer-" + i), input -> true);
            peer.setAddress(NODE, hostAndPort(node));
            Arrays.stream(Lane.values()).forEach(l -> peer.send(NODE, message(l)));
            peers.add(peer);
        }
        return peers;
    }

    private static void idle() throws Exception {
        for (int count : new int[] {10, 25, 50}) {
            try (PeerTransport node = transport(NODE, i -> true);
                    CountingRelay relay = new CountingRelay(node.start())) {
                List<PeerTransport> peers = peers(relay.address(), count);
                TimeUnit.SECONDS.sleep(40);
                long bytes = relay.bytes();
                long frames = relay.transfers();
                int seconds = 48;
                TimeUnit.SECONDS.sleep(seconds);
                double payloadBytesPerSecond = (double) (relay.bytes() - bytes) / seconds;
                double framesPerSecond = (double) (relay.transfers() - frames) / seconds;
                // Each frame has 52 bytes of IP and TCP headers. A pong also acknowledges its ping;
                // the pong, every second frame, is acknowledged by a separate segment of 52 bytes.
                double wireBytesPerSecond = payloadBytesPerSecond + framesPerSecond * 52 * 1.5;
                print(
                        "idle %3d peers in 3 lanes: %.1f frames/s, %.0f bytes/s of frames, about"
                                + " %.2f KB/s with headers, both ways together",
                        count, framesPerSecond, payloadBytesPerSecond, wireBytesPerSecond / 1024);
                peers.forEach(PeerTransport::close);
            }
        }
    }

    private static long heapAfterCollection() throws InterruptedException {
        long minBytes = Long.MAX_VALUE;
        for (int i = 0; i < 4; i++) {
            System.gc();
            TimeUnit.MILLISECONDS.sleep(200);
            minBytes =
                    Math.min(
                            minBytes,
                            Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory());
        }
        return minBytes;
    }

    private static long residentKilobytes() throws IOException {
        return Files.readAllLines(Path.of("/proc/self/status")).stream()
                .filter(l -> l.startsWith("VmRSS"))
                .mapToLong(l -> Long.parseLong(l.replaceAll("[^0-9]", "")))
                .findFirst()
                .orElse(0);
    }

    private static void memory() throws Exception {
        HttpFrontSettings settings = HttpFrontSettings.defaults(anyPort());
        try (HttpFront front = HttpFront.create(settings, i -> true, NetEvents.none())) {
            InetSocketAddress address = front.start();
            long heap = heapAfterCollection();
            long resident = residentKilobytes();
            List<Socket> open = new ArrayList<>();
            for (int count : new int[] {500, 1000, 2000}) {
                while (open.size() < count) {
                    Socket socket = new Socket(address.getAddress(), address.getPort());
                    socket.getOutputStream().write("GET / HTTP/1.1\r\nHost: h\r\n\r\n".getBytes());
                    open.add(socket);
                }
                while (front.openCalls() < count) {
                    Thread.onSpinWait();
                }
                print(
                        "memory %d callers with an open call: %.1f KB of heap each, resident %+d KB"
                                + " in all (the callers' sockets included)",
                        count,
                        (heapAfterCollection() - heap) / 1024.0 / count,
                        residentKilobytes() - resident);
            }
            for (Socket socket : open) {
                socket.close();
            }
        }
    }

    /** Connects an HTTP front to a target client: forwards each call and returns each response. */
    private static final class ProxyPath implements AutoCloseable {
        private final TargetClient mClient;
        private final HttpFront mFront;

        ProxyPath(InetSocketAddress target) {
            mClient =
                    TargetClient.create(
                            TargetClientSettings.defaults(target),
                            this::onTargetInput,
                            NetEvents.none());
            mFront =
                    HttpFront.create(
                            HttpFrontSettings.defaults(anyPort()),
                            this::onCallerInput,
                            NetEvents.none());
        }

        private boolean onCallerInput(Input input) {
            if (input instanceof Input.HttpCall c) {
                mClient.execute(
                        new Effect.TargetCall(
                                c.call(),
                                TrafficClass.ONLINE,
                                c.method(),
                                c.path(),
                                c.headers(),
                                c.body(),
                                TimeUnit.SECONDS.toNanos(30)));
            }
            return true;
        }

        private boolean onTargetInput(Input input) {
            if (input instanceof Input.TargetHead h) {
                mFront.execute(new Effect.HttpHead(h.call(), h.status(), h.headers()));
            } else if (input instanceof Input.TargetChunk c) {
                mFront.execute(new Effect.HttpChunk(c.call(), c.bytes()));
            } else if (input instanceof Input.TargetEnd e) {
                mFront.execute(new Effect.HttpEnd(e.call()));
            }
            return true;
        }

        @Override
        public void close() {
            mFront.close();
            mClient.close();
        }
    }

    private static void relay() throws Exception {
        FakeTargetSettings.Timing instant =
                new FakeTargetSettings.Timing(
                        java.time.Duration.ZERO,
                        java.time.Duration.ZERO,
                        java.time.Duration.ZERO,
                        16,
                        java.time.Duration.ZERO,
                        java.time.Duration.ZERO);
        try (FakeTarget target =
                        FakeTarget.start(
                                FakeTargetSettings.of(anyPort(), FakeTargetSettings.Mode.PLAIN)
                                        .withTiming(instant));
                ProxyPath relay = new ProxyPath(target.address())) {
            InetSocketAddress front = relay.mFront.start();
            for (int round = 0; round < ROUNDS; round++) {
                long[] direct = roundTrips(target.address());
                long[] relayed = roundTrips(front);
                print(
                        "relay direct p50 %.1f p99 %.1f us, through front and client p50 %.1f p99"
                                + " %.1f us, added p50 %.1f us",
                        percentileMicros(direct, 0.5),
                        percentileMicros(direct, 0.99),
                        percentileMicros(relayed, 0.5),
                        percentileMicros(relayed, 0.99),
                        percentileMicros(relayed, 0.5) - percentileMicros(direct, 0.5));
            }
        }
    }

    private static double percentileMicros(long[] sorted, double fraction) {
        return sorted[(int) (fraction * (sorted.length - 1))] / 1000.0;
    }

    private static long[] roundTrips(InetSocketAddress address) throws IOException {
        try (RawHttp caller = new RawHttp(address)) {
            caller.socket().setTcpNoDelay(true);
            IntStream warmUp = IntStream.range(0, 2000);
            for (int ignored : warmUp.toArray()) {
                roundTrip(caller);
            }
            long[] nanos = new long[10_000];
            for (int i = 0; i < nanos.length; i++) {
                nanos[i] = roundTrip(caller);
            }
            Arrays.sort(nanos);
            return nanos;
        }
    }

    private static long roundTrip(RawHttp caller) throws IOException {
        long start = System.nanoTime();
        caller.send("GET /r?id=1 HTTP/1.1\r\nHost: h\r\n\r\n");
        caller.readUntil("}");
        return System.nanoTime() - start;
    }
}
