package org.coltsfootproxy.job;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.base.Incarnation;
import org.coltsfootproxy.base.JobId;
import org.coltsfootproxy.base.OrganisationId;
import org.coltsfootproxy.message.ItemReport;
import org.coltsfootproxy.message.JobItem;
import org.coltsfootproxy.message.JobMessage;
import org.coltsfootproxy.message.JobSpec;
import org.coltsfootproxy.message.JobState;
import org.coltsfootproxy.message.LeasedItem;
import org.coltsfootproxy.node.Effect;

/**
 * Measures the job ledger and service. The results are in docs/measurements/jobs.md.
 *
 * <p>Run with one argument: throughput, locality, memory, recovery, deadlines or fairness.
 */
public final class JobMeasurements {
    private static final long SEED = 20_260_501;
    private static final long DISTANT_DEADLINE_MILLIS =
            FakeFleet.EPOCH + Duration.ofDays(300).toMillis();
    private static final int BODY_BYTES = 500;
    private static final int ITEMS_PER_PIECE = 1_000;
    private static final double NANOS_PER_SECOND = 1e9;

    private JobMeasurements() {}

    /** Runs one measurement. */
    public static void main(String[] args) throws IOException {
        switch (args[0]) {
            case "throughput" -> throughput();
            case "locality" -> locality();
            case "memory" -> memory();
            case "recovery" -> recovery();
            case "deadlines" -> deadlines();
            case "fairness" -> fairness();
            default -> throw new IllegalArgumentException("no measurement " + args[0]);
        }
    }

    private static JobMessage.Submit job(
            OrganisationId organisation, String id, int items, int bytes, long deadline) {
        JobSpec spec =
                JobSpec.of(
                        JobId.of(id),
                        FakeFleet.SERVICE,
                        "POST",
                        "/p",
                        true,
                        10_000,
                        deadline,
                        "" + deadline,
                        items);
        List<JobItem> bodies =
                IntStream.range(0, items)
                        .mapToObj(i -> JobItem.of("item-" + i, body(id + "/" + i, bytes)))
                        .toList();
        return new JobMessage.Submit(1, 1, organisation, spec, bodies);
    }

    private static byte[] body(String text, int bytes) {
        byte[] body = new byte[Math.max(bytes, text.length())];
        java.util.Arrays.fill(body, (byte) '.');
        byte[] start = text.getBytes(java.nio.charset.StandardCharsets.UTF_8);
        System.arraycopy(start, 0, body, 0, start.length);
        return body;
    }

    /** Submits a job in pieces, as callers with large jobs do. */
    private static void apply(JobLedger ledger, JobMessage.Submit job) {
        JobLimits limits = new JobLimits(71_000, 10_000, 10_000_000, 4L << 30, 4L << 30);
        OrganisationId organisation = job.organisation();
        JobId id = job.spec().id();
        apply(ledger, new JobCommand.Begin(FakeFleet.EPOCH, organisation, job.spec(), limits));
        for (int i = 0; i < job.items().size(); i += ITEMS_PER_PIECE) {
            int end = Math.min(job.items().size(), i + ITEMS_PER_PIECE);
            List<JobItem> piece = job.items().subList(i, end);
            apply(
                    ledger,
                    new JobCommand.Append(FakeFleet.EPOCH, organisation, id, i, piece, limits));
        }
        apply(ledger, new JobCommand.Commit(FakeFleet.EPOCH, organisation, id));
    }

    private static void apply(JobLedger ledger, JobCommand command) {
        ledger.apply(1, JobLedger.encode(command));
    }

    /** Measures items per second of a service whose log syncs a file for each batch of commands. */
    private static void throughput() throws IOException {
        for (int round = 0; round < 2; round++) {
            throughput("one item a lease, one command an item", Duration.ZERO, 1, 1, 1_500);
            throughput("one slot's worth in a lot of 16", Duration.ofSeconds(8), 16, 16, 20_000);
            throughput("lots of 64", Duration.ofSeconds(32), 64, 64, 40_000);
        }
    }

    private static void throughput(
            String name, Duration lotTime, int maxItems, int agents, int items) throws IOException {
        Path file = Files.createTempFile("coltsfootproxy-log", ".bin");
        try (FileChannel channel = FileChannel.open(file, StandardOpenOption.WRITE)) {
            Run run = new Run(JobSettings.defaults().withLots(lotTime, maxItems));
            run.submit(
                    job(
                            FakeFleet.organisation(1),
                            "j",
                            items,
                            BODY_BYTES,
                            DISTANT_DEADLINE_MILLIS));
            if (!run.mIsAccepted) {
                throw new IllegalStateException("the job was refused");
            }
            int firstCommands = run.mLog.commands();
            long firstBytes = run.mLog.bytes();
            long syncs = 0;
            long begin = System.nanoTime();
            while (run.mDone < items) {
                IntStream.range(0, agents).forEach(run::pull);
                run.report();
                List<byte[]> all = run.mLog.committed();
                int from = all.size();
                run.commit();
                for (byte[] command : all.subList(from, all.size())) {
                    channel.write(ByteBuffer.wrap(command));
                }
                channel.force(false);
                syncs++;
            }
            double seconds = (System.nanoTime() - begin) / NANOS_PER_SECOND;
            System.out.printf(
                    "%s: %d items, %.0f items/s, %.3f commands/item, %.3f syncs/item, "
                            + "%.0f log bytes/item%n",
                    name,
                    items,
                    items / seconds,
                    (run.mLog.commands() - firstCommands) / (double) items,
                    syncs / (double) items,
                    (run.mLog.bytes() - firstBytes) / (double) items);
        } finally {
            Files.delete(file);
        }
    }

    /**
     * Measures the number of jobs per lot, and how evenly eight organisations are served when half
     * of the work is done.
     */
    private static void locality() {
        for (int round = 0; round < 3; round++) {
            Run run = new Run(JobSettings.defaults().withLots(Duration.ofSeconds(8), 64));
            IntStream.range(0, 8)
                    .forEach(
                            o ->
                                    run.submit(
                                            job(
                                                    FakeFleet.organisation(o),
                                                    "j",
                                                    5_000,
                                                    50,
                                                    DISTANT_DEADLINE_MILLIS)));
            long begin = System.nanoTime();
            while (run.mDone < 20_000) {
                IntStream.range(0, 64).forEach(run::pull);
                run.report();
                run.commit();
            }
            double seconds = (System.nanoTime() - begin) / NANOS_PER_SECOND;
            JobLedger ledger = run.mLog.host(0).ledger();
            List<Integer> done = ledger.jobs().map(job -> job.status().done()).toList();
            System.out.printf(
                    "%.2f jobs a lot of %.1f items, %.0f items/s, done by organisation %s%n",
                    run.mJobsInLots / (double) run.mLots,
                    run.mItemsInLots / (double) run.mLots,
                    run.mDone / seconds,
                    done);
        }
    }

    /** A service that is called directly, so that only its own work is measured. */
    private static final class Run {
        private final FakeLog mLog = new FakeLog();
        private final JobService mService;
        private final List<JobMessage.Report> mReports = new ArrayList<>();
        private final List<HostId> mReporters = new ArrayList<>();
        private final byte[] mResult = body("", BODY_BYTES);
        private long mNow = 1;
        private long mSequence;
        private int mDone;
        private boolean mIsAccepted;
        private long mLots;
        private long mItemsInLots;
        private long mJobsInLots;

        Run(JobSettings settings) {
            FakeLog.Host host = mLog.addHost("control-1");
            mLog.changeLeader(host, 0);
            mService =
                    JobService.create(
                            host.id(),
                            1,
                            host.ledger(),
                            host,
                            settings,
                            o -> 1,
                            JobServices.atSubmission(),
                            EpochClock.of(0, FakeFleet.EPOCH));
            mService.tick(mNow, this::collect);
            mLog.commitAll();
            mNow += settings.maxLease().toNanos();
            mService.tick(mNow, this::collect);
        }

        void submit(JobMessage.Submit job) {
            deliver(new JobMessage.Begin(1, 1, job.organisation(), job.spec()));
            for (int i = 0; i < job.items().size(); i += ITEMS_PER_PIECE) {
                int end = Math.min(job.items().size(), i + ITEMS_PER_PIECE);
                List<JobItem> piece = job.items().subList(i, end);
                JobId id = job.spec().id();
                deliver(new JobMessage.Append(1, 1, job.organisation(), id, i, piece));
            }
            deliver(new JobMessage.Commit(1, 1, job.organisation(), job.spec().id()));
        }

        private void deliver(JobMessage message) {
            mService.handle(FakeFleet.ENTRY, message, mNow, this::collect);
            commit();
        }

        void commit() {
            mNow += 1_000_000;
            mLog.commitAll();
            mService.tick(mNow, this::collect);
        }

        void pull(int agent) {
            HostId id = HostId.of("agent-" + agent);
            var pull =
                    new JobMessage.Pull(1, Incarnation.of(1), FakeFleet.SERVICE, ++mSequence, 4, 4);
            mService.handle(id, pull, mNow, this::collect);
        }

        private void collect(Effect effect) {
            if (effect instanceof Effect.Send send
                    && send.message() instanceof JobMessage.Lot lot) {
                mLots++;
                mItemsInLots += lot.items().size();
                mJobsInLots += lot.items().stream().map(i -> i.lease().job()).distinct().count();
                List<ItemReport> reports = lot.items().stream().map(this::done).toList();
                mReporters.add(send.to());
                mReports.add(new JobMessage.Report(1, Incarnation.of(1), reports));
            } else if (effect instanceof Effect.Send send
                    && send.message() instanceof JobMessage.Reported reported) {
                mDone += reported.settled().size();
            } else if (effect instanceof Effect.Send send
                    && send.message() instanceof JobMessage.Status status) {
                mIsAccepted = status.status().state() == JobState.RUNNING;
            }
        }

        private ItemReport done(LeasedItem item) {
            return new ItemReport(item.lease(), ItemReport.Outcome.DONE, 200, mResult, "", 500);
        }

        void report() {
            for (int i = 0; i < mReports.size(); i++) {
                mService.handle(mReporters.get(i), mReports.get(i), mNow, this::collect);
            }
            mReports.clear();
            mReporters.clear();
        }
    }

    private static long usedBytes() {
        for (int i = 0; i < 3; i++) {
            System.gc();
        }
        Runtime runtime = Runtime.getRuntime();
        return runtime.totalMemory() - runtime.freeMemory();
    }

    /** Measures the heap bytes per item of a large job, for several body sizes. */
    private static void memory() {
        for (int bytes : new int[] {0, 100, BODY_BYTES}) {
            JobLedger large = JobLedger.create();
            long before = usedBytes();
            apply(
                    large,
                    job(
                            FakeFleet.organisation(1),
                            "large",
                            71_000,
                            bytes,
                            DISTANT_DEADLINE_MILLIS));
            double used = usedBytes() - before;
            System.out.printf(
                    "one job of 71000 items with bodies of %d bytes: %.0f bytes an item%n",
                    Math.max(bytes, 11), used / large.jobs().findFirst().get().items().size());
        }
    }

    private static void recovery() {
        for (int round = 0; round < 3; round++) {
            JobLedger one = JobLedger.create();
            apply(
                    one,
                    job(
                            FakeFleet.organisation(1),
                            "large",
                            71_000,
                            BODY_BYTES,
                            DISTANT_DEADLINE_MILLIS));
            recover("one job of 71000 items", one);
            JobLedger many = JobLedger.create();
            IntStream.range(0, 1_900)
                    .forEach(
                            i ->
                                    apply(
                                            many,
                                            job(
                                                    FakeFleet.organisation(i % 260),
                                                    "job-" + i,
                                                    100,
                                                    BODY_BYTES,
                                                    DISTANT_DEADLINE_MILLIS)));
            recover("1900 jobs of 100 items", many);
        }
    }

    private static void recover(String name, JobLedger ledger) {
        long begin = System.nanoTime();
        byte[] snapshot = ledger.snapshot();
        long encoded = System.nanoTime();
        JobLedger restored = JobLedger.create();
        restored.restore(snapshot);
        long end = System.nanoTime();
        System.out.printf(
                "%s: snapshot of %d bytes written in %.0f ms, restored in %.0f ms%n",
                name, snapshot.length, (encoded - begin) / 1e6, (end - encoded) / 1e6);
    }

    /**
     * Measures the share of jobs done by their deadline, for several values of the advance that
     * deadlines may get over fair share.
     */
    private static void deadlines() {
        for (int seconds : new int[] {0, 30, 60, 300, 3_600}) {
            int met = 0;
            int all = 0;
            for (long seed = SEED; seed < SEED + 3; seed++) {
                FakeFleet fleet = fleet(seed, Duration.ofSeconds(seconds));
                submitMixed(fleet, new Random(seed));
                int[] counts = countMet(fleet);
                met += counts[0];
                all += counts[1];
            }
            System.out.printf(
                    "advance %d s: %d of %d jobs by their deadline (%.1f%%)%n",
                    seconds, met, all, 100.0 * met / all);
        }
    }

    private static FakeFleet fleet(long seed, Duration advance) {
        FakeFleet fleet = new FakeFleet(seed, 12, JobSettings.defaults().withMaxAdvance(advance));
        fleet.mIsReliable = true;
        run(fleet, 40);
        return fleet;
    }

    private static void run(FakeFleet fleet, double seconds) {
        for (int i = 0; i < seconds * 10; i++) {
            fleet.advance(100);
            while (fleet.hasMessages() || !fleet.mLog.isIdle()) {
                while (fleet.hasMessages()) {
                    fleet.deliverOne();
                }
                fleet.mLog.commitAll();
                fleet.tickServices();
            }
        }
    }

    private static long epochMillis(FakeFleet fleet) {
        return FakeFleet.EPOCH + fleet.mNow / FakeFleet.MILLI;
    }

    /**
     * Submits jobs for an hour: one organisation floods the service, and seven send occasional jobs
     * that are due after 1.5 to 12 times the time that the whole fleet needs for them alone.
     */
    private static void submitMixed(FakeFleet fleet, Random random) {
        fleet.ask(job(FakeFleet.organisation(0), "flood", 60_000, 50, DISTANT_DEADLINE_MILLIS));
        double itemSeconds = 1.55 / 24;
        for (int minute = 0; minute < 60; minute++) {
            int jobs = random.nextInt(3);
            for (int j = 0; j < jobs; j++) {
                int items = 50 + random.nextInt(700);
                double slack = 1.5 + random.nextDouble() * 10.5;
                long due = (long) (1_000 * (10 + items * itemSeconds * slack));
                OrganisationId organisation = FakeFleet.organisation(1 + random.nextInt(7));
                String id = "job-" + minute + "-" + j;
                fleet.ask(job(organisation, id, items, 50, epochMillis(fleet) + due));
            }
            run(fleet, 60);
        }
    }

    private static int[] countMet(FakeFleet fleet) {
        List<LedgerJob> due =
                fleet.ledger()
                        .jobs()
                        .filter(job -> job.spec().deadlineEpochMillis() < epochMillis(fleet))
                        .toList();
        long met =
                due.stream()
                        .filter(job -> job.status().finishedEpochMillis() > 0)
                        .filter(job -> !job.status().isLate())
                        .count();
        return new int[] {(int) met, due.size()};
    }

    /**
     * Measures the items done for each of eight organisations while one floods the service with
     * short deadlines.
     */
    private static void fairness() {
        for (int seconds : new int[] {0, 60, 300}) {
            FakeFleet fleet = fleet(SEED, Duration.ofSeconds(seconds));
            for (int k = 0; k < 10; k++) {
                long due = epochMillis(fleet) + 1_000L * (900 + 60 * k);
                fleet.ask(job(FakeFleet.organisation(0), "flood-" + k, 9_000, 50, due));
            }
            for (int o = 1; o < 8; o++) {
                fleet.ask(
                        job(FakeFleet.organisation(o), "job", 9_000, 50, DISTANT_DEADLINE_MILLIS));
            }
            for (int minutes : new int[] {5, 25}) {
                run(fleet, minutes * 60);
                List<Integer> done = IntStream.range(0, 8).mapToObj(o -> done(fleet, o)).toList();
                System.out.printf(
                        "advance %d s, after %s min more: done by organisation %s%n",
                        seconds, minutes, done);
            }
        }
    }

    private static int done(FakeFleet fleet, int organisation) {
        return fleet.ledger()
                .jobs(FakeFleet.organisation(organisation))
                .mapToInt(job -> job.status().done())
                .sum();
    }
}
