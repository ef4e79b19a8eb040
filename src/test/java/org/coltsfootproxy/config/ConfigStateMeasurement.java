package org.coltsfootproxy.config;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.function.Supplier;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.coltsfootproxy.base.DataCentre;
import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.base.OrganisationId;
import org.coltsfootproxy.base.RecordCodec;
import org.coltsfootproxy.base.RouteId;
import org.coltsfootproxy.base.ServiceId;
import org.coltsfootproxy.base.TargetId;
import org.coltsfootproxy.message.ConfigMessage;
import org.coltsfootproxy.message.Message;

/**
 * Measures {@link ConfigState} at several sizes: memory, the time to rebuild and to change a view,
 * the time to apply a ticket, the size and time of a snapshot, and the processor time of serving
 * subscribers.
 *
 * <p>Run as a program; it is not a test. Times are medians.
 */
public final class ConfigStateMeasurement {
    private static final int KEYS_PER_ORGANISATION = 2;
    private static final int SERVICES = 8;
    private static final int TARGETS_PER_SERVICE = 200;
    private static final int ROUTES = 40;
    private static final int ROUNDS = 301;
    private static final double NANOS_PER_MICRO = 1e3;
    private static final double BYTES_PER_MEBI = 1 << 20;

    private final int mOrganisations;
    private final ConfigState mState = ConfigState.create();
    private long mNumber;

    private ConfigStateMeasurement(int organisations) {
        mOrganisations = organisations;
    }

    /** Measures with 8 to 10,400 organisations. */
    public static void main(String[] args) {
        System.out.println(
                "organisations  state MiB  view MiB  rebuild us  change us  ticket us"
                        + "  whole KiB  snapshot KiB  snapshot ms  restore ms");
        for (int organisations : new int[] {8, 650, 2_600, 10_400}) {
            new ConfigStateMeasurement(organisations).measure();
        }
        var full = new ConfigStateMeasurement(2_600);
        long before = usedBytes();
        System.out.println("the same after 140,000 tickets that set and remove keys in turn:");
        full.fillToCapacity();
        full.report(before);
        System.out.println("subscribers  us per renewal  us per change and subscriber");
        for (int subscribers : new int[] {8, 100, 400}) {
            serve(subscribers);
        }
    }

    private void measure() {
        long before = usedBytes();
        fill();
        report(before);
    }

    /** Fills the cache of verdicts and the tombstones to capacity. */
    private void fillToCapacity() {
        fill();
        for (int n = 0; n < 70_000; n++) {
            ConfigChange key = RandomTickets.key("worn-" + n, name(0), -1 - n);
            apply(Stream.of(key));
            apply(Stream.of(new Removed(key.objectName())));
        }
    }

    private void report(long before) {
        long stateBytes = usedBytes() - before;
        ConfigView view = rebuild();
        long viewBytes = usedBytes() - before - stateBytes;
        double rebuild = median(this::rebuild);
        Random random = new Random(1);
        double change = median(() -> view.with(view.version(), List.of(key(random))));
        double ticket = median(() -> apply(Stream.of(key(random))));
        int wholeBytes =
                ConfigCodec.parts(0, 1, mState.changesSince(0).changes()).stream()
                        .flatMap(p -> p.changes().stream())
                        .mapToInt(c -> c.length)
                        .sum();
        byte[] snapshot = mState.snapshot();
        double write = medianOf(11, mState::snapshot);
        double restore =
                medianOf(
                        11,
                        () -> {
                            ConfigState restored = ConfigState.create();
                            restored.restore(snapshot);
                            return restored;
                        });
        System.out.printf(
                "%13d %10.1f %9.1f %11.0f %10.0f %10.0f %10d %13d %12.1f %11.1f%n",
                mOrganisations,
                stateBytes / BYTES_PER_MEBI,
                viewBytes / BYTES_PER_MEBI,
                rebuild / NANOS_PER_MICRO,
                change / NANOS_PER_MICRO,
                ticket / NANOS_PER_MICRO,
                wholeBytes / 1024,
                snapshot.length / 1024,
                write / NANOS_PER_MICRO / 1e3,
                restore / NANOS_PER_MICRO / 1e3);
        if (view.version() == 0) {
            throw new IllegalStateException("the view is empty");
        }
    }

    private void fill() {
        apply(services());
        int batchSize = 500;
        for (int from = 0; from < mOrganisations; from += batchSize) {
            int end = Math.min(mOrganisations, from + batchSize);
            apply(IntStream.range(from, end).boxed().flatMap(this::organisation));
        }
        apply(IntStream.range(0, ROUTES).mapToObj(this::route));
    }

    private Stream<ConfigChange> organisation(int n) {
        Stream<ConfigChange> keys =
                IntStream.range(0, KEYS_PER_ORGANISATION)
                        .mapToObj(
                                k -> RandomTickets.key("key-" + n + "-" + k, name(n), n * 10 + k));
        return Stream.concat(Stream.of(RandomTickets.organisation(name(n), 10)), keys);
    }

    private static String name(int organisation) {
        return "organisation-" + organisation;
    }

    private static Stream<ConfigChange> services() {
        return IntStream.range(0, SERVICES)
                .mapToObj(
                        s ->
                                Service.of(
                                        ServiceId.of("service-" + s),
                                        true,
                                        8,
                                        IntStream.range(0, TARGETS_PER_SERVICE)
                                                .mapToObj(t -> target(s, t))
                                                .toList()));
    }

    private static Service.ServiceTarget target(int service, int target) {
        String id = "target-" + service + "-" + target;
        return new Service.ServiceTarget(
                TargetId.of(id),
                DataCentre.of("centre-" + target % 16),
                HostId.of("agent-" + service + "-" + target),
                "10." + service + "." + target % 16 + "." + target + ":7000");
    }

    private ConfigChange route(int n) {
        return Route.of(
                RouteId.of("route-" + n),
                "/route-" + n,
                ServiceId.of("service-" + n % SERVICES),
                false,
                n % 2 == 0 ? Set.of() : Set.of(OrganisationId.of(name(n % mOrganisations))),
                Set.of("GET"),
                30_000);
    }

    private ConfigChange key(Random random) {
        int n = random.nextInt(mOrganisations);
        return RandomTickets.key("key-" + n + "-0", name(n), random.nextInt());
    }

    private Verdict apply(Stream<ConfigChange> changes) {
        mNumber++;
        Ticket ticket = RandomTickets.ticket(mNumber, changes.toList());
        byte[] command = new ConfigCommand.ApplyTicket(ticket).encode();
        try {
            Verdict verdict = ConfigResult.verdict(mState.apply(0, command));
            if (!verdict.isAccepted()) {
                throw new IllegalStateException(verdict.detail());
            }
            return verdict;
        } catch (org.coltsfootproxy.base.ProxyException e) {
            throw new IllegalStateException(e);
        }
    }

    private ConfigView rebuild() {
        return ConfigView.empty().with(mState.version(), mState.changesSince(0).changes());
    }

    private static void serve(int subscribers) {
        var measurement = new ConfigStateMeasurement(2_600);
        measurement.fill();
        ConfigState state = measurement.mState;
        var publisher =
                ConfigPublisher.create(state, QuorumRead.Callback::confirmed, ConfigTiming.DEFAULT);
        RecordCodec<Message> codec = RecordCodec.of(Message.class);
        List<HostId> hosts =
                IntStream.range(0, subscribers).mapToObj(n -> HostId.of("host-" + n)).toList();
        publisher.start(0);
        long[] nowNanos = {0};
        org.coltsfootproxy.node.Effects out =
                effect -> {
                    if (effect instanceof org.coltsfootproxy.node.Effect.Send send) {
                        codec.encode(send.message());
                    }
                };
        double renewal =
                median(
                        () -> {
                            nowNanos[0] += ConfigTiming.DEFAULT.renewNanos();
                            hosts.forEach(
                                    host ->
                                            publisher.handle(
                                                    host,
                                                    new ConfigMessage.Subscribe(
                                                            nowNanos[0], state.version()),
                                                    nowNanos[0],
                                                    out));
                            publisher.tick(nowNanos[0], out);
                            return nowNanos;
                        });
        Random random = new Random(1);
        double change =
                median(
                        () -> {
                            measurement.apply(Stream.of(measurement.key(random)));
                            publisher.tick(nowNanos[0], out);
                            return nowNanos;
                        });
        System.out.printf(
                "%11d %15.1f %29.1f%n",
                subscribers,
                renewal / NANOS_PER_MICRO / subscribers,
                change / NANOS_PER_MICRO / subscribers);
    }

    private static double median(Supplier<?> work) {
        return medianOf(ROUNDS, work);
    }

    private static double medianOf(int rounds, Supplier<?> work) {
        List<Long> times = new ArrayList<>();
        List<Object> results = new ArrayList<>(List.of(0));
        for (int i = 0; i < rounds * 2; i++) {
            long start = System.nanoTime();
            results.set(0, work.get());
            times.add(System.nanoTime() - start);
        }
        return times.subList(rounds, times.size()).stream()
                .mapToLong(t -> t)
                .sorted()
                .skip(rounds / 2)
                .findFirst()
                .orElseThrow();
    }

    private static long usedBytes() {
        for (int i = 0; i < 3; i++) {
            System.gc();
        }
        Runtime runtime = Runtime.getRuntime();
        return runtime.totalMemory() - runtime.freeMemory();
    }
}
