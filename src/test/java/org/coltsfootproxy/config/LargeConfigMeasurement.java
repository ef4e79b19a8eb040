package org.coltsfootproxy.config;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;
import java.util.stream.IntStream;
import org.coltsfootproxy.base.DataCentre;
import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.base.Incarnation;
import org.coltsfootproxy.base.ProxyException;
import org.coltsfootproxy.base.RecordCodec;
import org.coltsfootproxy.control.OperatorCall;
import org.coltsfootproxy.message.ConfigMessage;
import org.coltsfootproxy.message.LogEntry;
import org.coltsfootproxy.message.Message;
import org.coltsfootproxy.message.RaftMessage;
import org.coltsfootproxy.node.Effect;
import org.coltsfootproxy.node.Effects;
import org.coltsfootproxy.node.Input;
import org.coltsfootproxy.platform.PlatformOperatorProtocol;

/**
 * Measures what a change of the platform's whole configuration costs at a control host and at a
 * subscriber, step by step. Each change replaces {@value #CHANGED_ROUTES} routes of the document.
 *
 * <p>Run as a program; it is not a test. Times are processor time of the thread. The first column
 * is the first change in the process, the second the median of the first five changes, the third
 * the median of all.
 */
public final class LargeConfigMeasurement {
    private static final int SERVICES = 8;
    private static final int KEYS_PER_ORGANISATION = 2;
    private static final int CHANGED_ROUTES = 20;
    private static final int FIRST_ROUNDS = 5;
    private static final int SUBSCRIBERS = 7;
    private static final double NANOS_PER_MICRO = 1e3;
    private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();
    private static final RecordCodec<Message> CODEC = RecordCodec.of(Message.class);

    private final int mRoutes;
    private final int mOrganisations;
    private final int mRounds;
    private final Map<String, List<Long>> mTimes = new java.util.LinkedHashMap<>();
    private final Map<String, Integer> mBytes = new java.util.HashMap<>();
    private final ConfigState mState = ConfigState.create();
    private final ConfigPublisher mPublisher =
            ConfigPublisher.create(mState, QuorumRead.Callback::confirmed, ConfigTiming.DEFAULT);
    private final HostId mControl = HostId.of("control-1");
    private final ConfigSubscriber mSubscriber =
            ConfigSubscriber.create(
                    DataCentre.of("centre-1"),
                    List.of(new ControlHost(mControl, DataCentre.of("centre-1"), "10.0.0.1:1")),
                    ConfigTiming.DEFAULT,
                    new Random(1));
    private final AtomicLong mCalls = new AtomicLong();

    private LargeConfigMeasurement(int routes, int organisations, int rounds) {
        mRoutes = routes;
        mOrganisations = organisations;
        mRounds = rounds;
    }

    /** Measures with the numbers of routes, organisations and changes that are given, if any. */
    public static void main(String[] args) throws ProxyException {
        int routes = args.length > 0 ? Integer.parseInt(args[0]) : 1_440;
        int organisations = args.length > 1 ? Integer.parseInt(args[1]) : 81;
        int rounds = args.length > 2 ? Integer.parseInt(args[2]) : 60;
        new LargeConfigMeasurement(routes, organisations, rounds).measure();
    }

    private void measure() throws ProxyException {
        mPublisher.start(0);
        mSubscriber.start(0, effect -> {});
        subscribe(0);
        for (int version = 1; version <= mRounds; version++) {
            change(version);
        }
        System.out.printf("%-34s %10s %10s %10s %10s%n", "us", "first", "first 5", "all", "bytes");
        mTimes.forEach(
                (step, times) ->
                        System.out.printf(
                                "%-34s %10.0f %10.0f %10.0f %10s%n",
                                step,
                                times.get(0) / NANOS_PER_MICRO,
                                median(times.subList(0, Math.min(times.size(), FIRST_ROUNDS))),
                                median(times),
                                Optional.ofNullable(mBytes.get(step)).map(b -> "" + b).orElse("")));
    }

    private void change(int version) throws ProxyException {
        byte[] document = document(version, "service-0");
        OperatorCall.ReplaceConfig call = time("parse and check", () -> read(document));
        byte[] command =
                time(
                        "encode command",
                        () ->
                                new ConfigCommand.ReplaceAll(call.ticket(), call.document())
                                        .encode());
        mBytes.put("parse and check", document.length);
        mBytes.put("encode command", command.length);
        forward(command);
        append(command);
        apply("decode and apply", command);
        publish();
        time("view", mState::view);
        byte[] snapshot = time("snapshot", mState::snapshot);
        mBytes.put("snapshot", snapshot.length);
        time(
                "restore",
                () -> {
                    ConfigState restored = ConfigState.create();
                    restored.restore(snapshot);
                    return restored;
                });
        apply("repeated: decode and apply", command);
        refuse(version);
    }

    private void forward(byte[] command) throws ProxyException {
        byte[] forwarded =
                time(
                        "encode forwarded proposal",
                        () -> CODEC.encode(new ConfigMessage.Propose(1, 0, command)));
        time("decode forwarded proposal", () -> decode(forwarded));
    }

    private void append(byte[] command) throws ProxyException {
        LogEntry entry = LogEntry.of(1, 1, LogEntry.Kind.COMMAND, command);
        Incarnation incarnation = Incarnation.of(1);
        byte[] append =
                time(
                        "encode append to one member",
                        () ->
                                CODEC.encode(
                                        new RaftMessage.Append(
                                                0,
                                                incarnation,
                                                1,
                                                incarnation,
                                                0,
                                                0,
                                                0,
                                                0,
                                                List.of(entry))));
        mBytes.put("encode append to one member", append.length);
        time("decode append", () -> decode(append));
    }

    private void apply(String step, byte[] command) throws ProxyException {
        byte[] result = time(step, () -> mState.apply(1, command));
        Verdict verdict = ConfigResult.verdict(result);
        if (!verdict.isAccepted()) {
            throw new IllegalStateException(verdict.detail());
        }
    }

    private void publish() throws ProxyException {
        List<Effect.Send> sent = new ArrayList<>();
        Effects out = collect(sent);
        time(
                "diff to " + SUBSCRIBERS + " subscribers",
                () -> {
                    mPublisher.tick(0, out);
                    return sent;
                });
        List<Effect.Send> updates = List.copyOf(sent);
        byte[] encoded = time("encode update", () -> CODEC.encode(updates.get(0).message()));
        mBytes.put("encode update", encoded.length);
        while (mPublisher.nextTickNanos() <= 0) {
            mPublisher.tick(0, out);
        }
        ConfigMessage update =
                (ConfigMessage) time("decode update at a subscriber", () -> decode(encoded));
        time(
                "apply update at a subscriber",
                () -> mSubscriber.handle(mControl, update, 0, effect -> {}));
        time(
                "renewals of " + SUBSCRIBERS + " subscribers",
                () -> {
                    subscribe(mState.version());
                    return sent;
                });
    }

    private void refuse(int version) throws ProxyException {
        String unknownService = "service-unknown";
        byte[] document = document(version + 1, unknownService);
        time(
                "refused: parse and check",
                () -> {
                    try {
                        return read(document);
                    } catch (IllegalArgumentException e) {
                        return e;
                    }
                });
        Ticket ticket = read(document(version + 1, "service-0")).ticket();
        List<Route> routes = new ArrayList<>(ticket.routes());
        Route last = routes.get(routes.size() - 1);
        routes.add(
                Route.of(
                        org.coltsfootproxy.base.RouteId.of("route-unknown-service"),
                        last.pathPrefix() + "/other",
                        org.coltsfootproxy.base.ServiceId.of(unknownService),
                        false,
                        java.util.Set.of(),
                        java.util.Set.of(),
                        1));
        Ticket refused =
                new Ticket(
                        ticket.number(),
                        ticket.organisations(),
                        ticket.keys(),
                        ticket.services(),
                        routes,
                        List.of());
        byte[] command = new ConfigCommand.ReplaceAll(refused, document).encode();
        time("refused: decode and apply", () -> mState.apply(1, command));
    }

    private void subscribe(long version) {
        Effects out = effect -> {};
        IntStream.range(0, SUBSCRIBERS)
                .forEach(
                        n ->
                                mPublisher.handle(
                                        HostId.of("host-" + n),
                                        new ConfigMessage.Subscribe(version, version),
                                        0,
                                        out));
        mPublisher.tick(0, out);
    }

    private static Effects collect(List<Effect.Send> sent) {
        return effect -> {
            if (effect instanceof Effect.Send send) {
                sent.add(send);
            }
        };
    }

    private OperatorCall.ReplaceConfig read(byte[] document) {
        try {
            var call =
                    new Input.HttpCall(
                            mCalls.incrementAndGet(),
                            "PUT",
                            "/coltsfootproxy/config",
                            List.of(),
                            document);
            return (OperatorCall.ReplaceConfig)
                    new PlatformOperatorProtocol().read(call).orElseThrow();
        } catch (ProxyException e) {
            throw new IllegalArgumentException(e);
        }
    }

    private static Message decode(byte[] bytes) {
        try {
            return CODEC.decode(bytes);
        } catch (ProxyException e) {
            throw new IllegalArgumentException(e);
        }
    }

    private byte[] document(int version, String lastService) {
        StringBuilder text = new StringBuilder("{\"version\":" + version + ",\"services\":[");
        for (int s = 0; s < SERVICES; s++) {
            text.append(s == 0 ? "" : ",")
                    .append("{\"name\":\"service-" + s + "\",\"engine\":{\"slots\":8,")
                    .append("\"kv_capacity_tokens\":134354}}");
        }
        text.append("],\"routes\":[");
        for (int r = 0; r < mRoutes; r++) {
            String service = r == mRoutes - 1 ? lastService : "service-" + r % SERVICES;
            int firstChanged = version * CHANGED_ROUTES % mRoutes;
            boolean isChanged = r >= firstChanged && r < firstChanged + CHANGED_ROUTES;
            text.append(r == 0 ? "" : ",")
                    .append(
                            "{\"name\":\"route-"
                                    + r
                                    + "\",\"host\":\"host-"
                                    + r % 40
                                    + ".example\"")
                    .append(",\"path_prefix\":\"/v1/part-" + r + "/calls\",\"service\":\"")
                    .append(service + "\",\"kind\":\"streaming\",\"resumable\":true")
                    .append(",\"max_attempts\":3,\"goal_ms\":303,\"gap_aim_ms\":500")
                    .append(",\"timeout_ms\":" + (5_057 + (isChanged ? version : 0)) + "}");
        }
        text.append("],\"tenants\":[");
        for (int o = 0; o < mOrganisations; o++) {
            text.append(o == 0 ? "" : ",")
                    .append("{\"name\":\"organisation-" + o + "\",\"rate_per_s\":12.5,\"burst\":20")
                    .append(",\"api_keys\":[");
            for (int k = 0; k < KEYS_PER_ORGANISATION; k++) {
                text.append(k == 0 ? "" : ",").append("\"key-of-" + o + "-number-" + k + "\"");
            }
            text.append("]}");
        }
        return text.append("]}").toString().getBytes(StandardCharsets.UTF_8);
    }

    private <T> T time(String step, Supplier<T> work) {
        long start = THREADS.getCurrentThreadCpuTime();
        T result = work.get();
        long nanos = THREADS.getCurrentThreadCpuTime() - start;
        mTimes.computeIfAbsent(step, s -> new ArrayList<>()).add(nanos);
        return result;
    }

    private static double median(List<Long> times) {
        long[] sorted = times.stream().mapToLong(t -> t).toArray();
        Arrays.sort(sorted);
        return sorted[sorted.length / 2] / NANOS_PER_MICRO;
    }
}
