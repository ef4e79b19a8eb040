package org.coltsfootproxy.direct;

import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.function.Supplier;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.coltsfootproxy.admission.ContentionMode;
import org.coltsfootproxy.admission.ReceivedShares;
import org.coltsfootproxy.base.DataCentre;
import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.base.Incarnation;
import org.coltsfootproxy.base.OrganisationId;
import org.coltsfootproxy.base.ProxyException;
import org.coltsfootproxy.base.RecordCodec;
import org.coltsfootproxy.base.RouteId;
import org.coltsfootproxy.base.ServiceId;
import org.coltsfootproxy.base.SoftwareVersion;
import org.coltsfootproxy.base.TargetId;
import org.coltsfootproxy.base.TrafficClass;
import org.coltsfootproxy.config.ConfigView;
import org.coltsfootproxy.config.Organisation;
import org.coltsfootproxy.config.Route;
import org.coltsfootproxy.limit.SharedCountLimiter;
import org.coltsfootproxy.membership.FleetMembership;
import org.coltsfootproxy.message.ConfigMessage;
import org.coltsfootproxy.message.FleetMessage;
import org.coltsfootproxy.message.FleetRole;
import org.coltsfootproxy.message.ListedTarget;
import org.coltsfootproxy.message.Message;
import org.coltsfootproxy.message.RaftMessage;
import org.coltsfootproxy.quarantine.CrashQuarantine;

/**
 * Measures the frequent messages between hosts (size, encoding and decoding) and the decisions of a
 * host that calls targets (a report applied, a report composed, a choice of a target), with 39
 * targets, 30 other hosts and 81 organisations.
 *
 * <p>Run as a program; it is not a test. Times are processor time of the thread. The first column
 * is the mean of the first 100 rounds in the process, since processes are young; the second the
 * mean of the last half of all rounds.
 */
public final class ReportMeasurement {
    private static final int TARGETS = 39;
    private static final int ORGANISATIONS = 81;
    private static final int HOSTS = 30;
    private static final int ROUTES = 1_440;
    private static final int FIRST_ROUNDS = 100;
    private static final int BATCH = 100;
    private static final ServiceId SERVICE = ServiceId.of("lm");
    private static final HostId SELF = HostId.of("10.0.2.99");
    private static final com.sun.management.ThreadMXBean THREADS =
            (com.sun.management.ThreadMXBean) ManagementFactory.getThreadMXBean();

    private final Random mRandom = new Random(1);
    private final RecordCodec<Message> mCodec = RecordCodec.of(Message.class);
    private final int mRounds;
    private long mSequence;
    private Object mLast;

    private ReportMeasurement(int rounds) {
        mRounds = rounds;
    }

    /** Measures with the number of rounds that is given, if any. */
    public static void main(String[] args) {
        new ReportMeasurement(args.length > 0 ? Integer.parseInt(args[0]) : 30_000).measure();
    }

    private void measure() {
        System.out.printf("%-44s %10s %10s %10s%n", "ns", "first 100", "later", "allocated");
        message("report of one host, 3 targets", reports(1, 3, 3));
        message("report of one host, all targets", reports(1, 12, 3));
        message("relay to a host, 12 reports", reports(12, 3, 3));
        message("relay to a host, 30 reports", reports(30, 3, 3));
        message("heartbeat of a relay", new FleetMessage.Reports(List.of(), List.of()));
        message("enrolment of an entry", enrolment());
        message("list of " + TARGETS + " targets", listing());
        message("renewal of the configuration", new ConfigMessage.Subscribe(12_345, 17));
        message("confirmation of the configuration", new ConfigMessage.Confirmed(12_345, 17));
        message("heartbeat of a log's leader", append());
        message("answer to a log's leader", answer());
        decisions();
        exchange();
        ConfigView view = view();
        time(
                "route of a path among " + ROUTES,
                () -> view.route("any", "/v1/part-" + mRandom.nextInt(ROUTES) + "/calls/7?x=1"));
    }

    private void message(String name, Message message) {
        byte[] bytes = mCodec.encode(message);
        time("encode " + name + ", " + bytes.length + " bytes", () -> mCodec.encode(message));
        time("decode " + name, () -> decode(bytes));
    }

    private Message decode(byte[] bytes) {
        try {
            return mCodec.decode(bytes);
        } catch (ProxyException e) {
            throw new IllegalStateException(e);
        }
    }

    private void decisions() {
        Targets targets = Targets.create(DataCentre.of("centre-1"), new Random(1));
        targets.update(listing(), effect -> {});
        LoadExchange loads = LoadExchange.create(SELF, targets);
        loads.hosts(IntStream.range(0, HOSTS).mapToObj(ReportMeasurement::host).toList());
        List<FleetMessage.HostReport> reports =
                IntStream.range(0, 10).boxed().flatMap(i -> hostReports(HOSTS, 3, 3)).toList();
        int[] next = {0};
        time(
                "apply the calls of one report, 3 targets",
                () -> {
                    FleetMessage.HostReport report = reports.get(next[0]++ % reports.size());
                    loads.handle(report.origin(), report.inFlight(), 0);
                    return report;
                });
        List<FleetMessage.HostReport> complete =
                IntStream.range(0, 10).boxed().flatMap(i -> hostReports(HOSTS, 12, 3)).toList();
        time(
                "apply the calls of a complete report",
                () -> {
                    FleetMessage.HostReport report = complete.get(next[0]++ % complete.size());
                    loads.handle(
                            report.origin(),
                            new FleetMessage.InFlight(report.inFlight().uses(), true),
                            0);
                    return report;
                });
        time("choose a target", () -> targets.chooseForOnline(SERVICE, target -> true, 0));
        time("time until limits allow a call", () -> limitWait(targets));
        time("free slots for items", () -> targets.freeBatchSlots(SERVICE, 0, 0));
        time("choose a target for an item", () -> choosesForBatch(targets));
        time(
                "start and end a call, compose a report",
                () -> {
                    Target target = targets.byId(target(mRandom.nextInt(TARGETS))).orElseThrow();
                    targets.callStarted(target, TrafficClass.ONLINE, 0);
                    targets.callEnded(target, TrafficClass.ONLINE);
                    return loads.takeReport(0);
                });
    }

    /** Measures an entry that is not the relay and receives the reports of all others from it. */
    private void exchange() {
        Targets targets = Targets.create(DataCentre.of("centre-1"), new Random(1));
        targets.update(listing(), effect -> {});
        HostReports reports =
                HostReports.ofEntry(
                        SELF,
                        1,
                        targets,
                        LoadExchange.create(SELF, targets),
                        CrashQuarantine.create(),
                        limiter(),
                        LoadShedder.create(targets, ContentionMode.AUTO, ReceivedShares.create()),
                        StreamVersions.create());
        FleetMembership membership =
                FleetMembership.create(
                        new FleetMembership.Self(
                                SELF, "self", FleetRole.ENTRY, DataCentre.of("centre-1")),
                        List.of(HostId.of("10.0.9.9")));
        membership.handle(HostId.of("10.0.9.9"), roster());
        reports.hostsChanged(membership, 0, effect -> {});
        HostId relay = host(HOSTS - 1);
        List<FleetMessage.Reports> messages =
                IntStream.range(0, 64).mapToObj(n -> reports(12, 3, 3)).toList();
        long[] now = {0};
        time(
                "handle a relay's message of 12 reports",
                () -> {
                    now[0] += 20_000_000;
                    var message = renumbered(messages.get(mRandom.nextInt(messages.size())));
                    reports.handle(relay, message, now[0], effect -> {});
                    reports.tick(now[0], effect -> {});
                    return reports;
                });
        time("next tick of the reports", reports::nextTickNanos);
        time(
                "tick of the reports, each ms",
                () -> {
                    now[0] += 1_000_000;
                    reports.tick(now[0], effect -> {});
                    return reports;
                });
    }

    /** Returns the same reports as new ones. */
    private FleetMessage.Reports renumbered(FleetMessage.Reports reports) {
        List<FleetMessage.HostReport> renumbered = new ArrayList<>();
        for (FleetMessage.HostReport r : reports.reports()) {
            renumbered.add(
                    new FleetMessage.HostReport(
                            r.origin(),
                            r.epoch(),
                            ++mSequence,
                            r.inFlight(),
                            r.usage(),
                            r.refused(),
                            r.leaving(),
                            r.crashes(),
                            r.streams()));
        }
        return new FleetMessage.Reports(renumbered, List.of());
    }

    private static SharedCountLimiter limiter() {
        SharedCountLimiter limiter = SharedCountLimiter.create(SELF);
        limiter.entries(IntStream.range(0, HOSTS).mapToObj(ReportMeasurement::host).toList(), 0);
        limiter.configure(view(), 0);
        return limiter;
    }

    private static ConfigView view() {
        return ConfigView.of(
                1,
                IntStream.range(0, ORGANISATIONS)
                        .mapToObj(
                                n ->
                                        new Organisation(
                                                OrganisationId.of("organisation-" + n), 10, 20, 1)),
                Stream.empty(),
                Stream.empty(),
                IntStream.range(0, ROUTES)
                        .mapToObj(
                                n ->
                                        Route.of(
                                                RouteId.of("route-" + n),
                                                "/v1/part-" + n + "/calls",
                                                SERVICE,
                                                true,
                                                Set.of(),
                                                Set.of(),
                                                5_000)));
    }

    private static FleetMessage.Roster roster() {
        List<HostId> hosts =
                IntStream.range(0, HOSTS).mapToObj(ReportMeasurement::host).sorted().toList();
        return new FleetMessage.Roster(
                1,
                List.of(HostId.of("10.0.9.9")),
                hosts.subList(0, 23),
                hosts.subList(23, HOSTS),
                0,
                List.of(),
                List.of(),
                hosts.stream()
                        .map(h -> new FleetMessage.HostPlacement(h, DataCentre.of("centre-1")))
                        .toList());
    }

    private static Object limitWait(Targets targets) {
        return targets.limitWaitNanos(SERVICE, target -> true, 0);
    }

    private static Object choosesForBatch(Targets targets) {
        return targets.chooseForBatch(SERVICE, target -> true, 5, 0);
    }

    private FleetMessage.Reports reports(int hosts, int uses, int counts) {
        return new FleetMessage.Reports(hostReports(hosts, uses, counts).toList(), List.of());
    }

    private Stream<FleetMessage.HostReport> hostReports(int hosts, int uses, int counts) {
        return IntStream.range(0, hosts)
                .mapToObj(
                        host ->
                                new FleetMessage.HostReport(
                                        host(host),
                                        0x1234_5678_9abc_def0L + host,
                                        ++mSequence,
                                        new FleetMessage.InFlight(uses(uses), false),
                                        new FleetMessage.Usage(counts(counts)),
                                        null,
                                        List.of(),
                                        null,
                                        List.of()));
    }

    private List<FleetMessage.TargetUse> uses(int uses) {
        int first = mRandom.nextInt(TARGETS);
        return IntStream.range(0, uses)
                .mapToObj(
                        use ->
                                new FleetMessage.TargetUse(
                                        target((first + use) % TARGETS),
                                        1 + mRandom.nextInt(3),
                                        mRandom.nextInt(2),
                                        0,
                                        mRandom.nextInt(2),
                                        0,
                                        mRandom.nextInt(5_000),
                                        mRandom.nextInt(10_000),
                                        100))
                .toList();
    }

    private List<FleetMessage.AdmissionCount> counts(int counts) {
        int first = mRandom.nextInt(ORGANISATIONS);
        return IntStream.range(0, counts)
                .mapToObj(
                        count ->
                                new FleetMessage.AdmissionCount(
                                        OrganisationId.of(
                                                "organisation-" + (first + count) % ORGANISATIONS),
                                        1_000 + mRandom.nextInt(1_000),
                                        20 * mRandom.nextDouble()))
                .toList();
    }

    private static HostId host(int host) {
        return HostId.of("10.0." + host / 10 + "." + host % 10);
    }

    private static TargetId target(int target) {
        return TargetId.of("engine-" + target + "-a1b2c3");
    }

    private static FleetMessage.Listing listing() {
        return new FleetMessage.Listing(
                17,
                IntStream.range(0, TARGETS)
                        .mapToObj(
                                target ->
                                        new ListedTarget(
                                                target(target),
                                                SERVICE,
                                                DataCentre.of("centre-" + target % 4),
                                                "10.8.0." + target + ":8000",
                                                false,
                                                8,
                                                1_700_000_000_000L + target,
                                                SoftwareVersion.of("1.4"),
                                                ListedTarget.WARM))
                        .toList(),
                List.of());
    }

    private static FleetMessage.Enrol enrolment() {
        return new FleetMessage.Enrol(
                FleetRole.ENTRY,
                "front-7",
                DataCentre.of("centre-1"),
                new FleetMessage.KnownVersions(0x1234_5678_9abc_def0L, 17),
                null,
                List.of(),
                0);
    }

    private static RaftMessage.Append append() {
        Incarnation incarnation = Incarnation.of(0x1234_5678_9abc_def0L);
        return new RaftMessage.Append(
                0, incarnation, 3, incarnation, 512, 3, 512, 1_234_567_890_123L, List.of());
    }

    private static RaftMessage.AppendAnswer answer() {
        return new RaftMessage.AppendAnswer(
                0, Incarnation.of(0x1234_5678_9abc_def0L), 3, true, 512, 1_234_567_890_123L);
    }

    private void time(String name, Supplier<?> work) {
        long[] nanos = new long[Math.max(2, mRounds / BATCH)];
        long bytes = 0;
        for (int batch = 0; batch < nanos.length; batch++) {
            long startBytes = THREADS.getCurrentThreadAllocatedBytes();
            long start = THREADS.getCurrentThreadCpuTime();
            for (int i = 0; i < BATCH; i++) {
                mLast = work.get();
            }
            nanos[batch] = THREADS.getCurrentThreadCpuTime() - start;
            bytes = THREADS.getCurrentThreadAllocatedBytes() - startBytes;
        }
        List<Long> later = new ArrayList<>();
        IntStream.range(nanos.length / 2, nanos.length).forEach(i -> later.add(nanos[i]));
        double mean = later.stream().mapToLong(n -> n).average().orElseThrow();
        System.out.printf(
                "%-44s %10d %10.0f %10d%n",
                name, nanos[0] / FIRST_ROUNDS, mean / BATCH, bytes / BATCH);
        if (mLast == null) {
            throw new IllegalStateException("nothing was measured");
        }
    }
}
