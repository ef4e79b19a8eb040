package org.coltsfootproxy.consensus;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.HdrHistogram.Histogram;
import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.base.Incarnation;
import org.coltsfootproxy.base.Member;
import org.coltsfootproxy.base.ProxyException;
import org.coltsfootproxy.message.LogEntry;
import org.coltsfootproxy.node.Effect;
import org.coltsfootproxy.node.LogWrite;
import org.coltsfootproxy.storage.DataFolder;
import org.coltsfootproxy.storage.FileDisk;
import org.coltsfootproxy.storage.LogStore;

/**
 * Measures the replicated log and prints the results.
 *
 * <p>The first argument is {@code commit}, {@code recovery}, {@code kill} or {@code idle}; the
 * first two need a folder on the disk to measure as second argument.
 */
public final class ConsensusMeasures {
    private static final int COMMAND_BYTES = 400;
    private static final double NANOS_PER_MILLI = 1e6;
    private static final byte[] NO_MEMBERS = Members.NONE.encode();

    private ConsensusMeasures() {}

    /** Runs the measurement that the first argument names. */
    public static void main(String[] args) throws Exception {
        switch (args[0]) {
            case "commit" -> measureCommits(Path.of(args[1]));
            case "recovery" -> measureRecovery(Path.of(args[1]));
            case "kill" -> measureFailovers();
            case "idle" -> measureIdle();
            default -> throw new IllegalArgumentException(args[0]);
        }
    }

    /** Measures commits of a group of one on a real disk: the leader's own share of the latency. */
    private static void measureCommits(Path root) throws Exception {
        for (int batch : new int[] {1, 8, 64, 512}) {
            Path folder = root.resolve("commit-" + batch);
            try (FileDisk disk = FileDisk.open(folder)) {
                DataFolder data = DataFolder.open(disk, new SplittableRandom(1));
                try (LogStore store = data.openGroup(0)) {
                    commitBatches(data.incarnation(), store, batch);
                }
            }
            delete(folder);
        }
    }

    private static void commitBatches(Incarnation incarnation, LogStore store, int batch)
            throws ProxyException {
        HostId host = HostId.of("control-0");
        RaftNode node =
                RaftNode.create(
                        RaftSettings.of(List.of(host)),
                        Member.of(host, incarnation),
                        0,
                        store.recovered(),
                        new CountingMachine(),
                        new SplittableRandom(1),
                        System.nanoTime());
        List<Effect.Persist> writes = new ArrayList<>();
        while (!node.isLeader(System.nanoTime())) {
            node.tick(System.nanoTime(), effect -> collectWrite(effect, writes));
            persist(node, store, writes);
        }
        Histogram times = new Histogram(3);
        long begin = System.nanoTime();
        long end = begin + Duration.ofSeconds(5).toNanos();
        while (System.nanoTime() < end) {
            long start = System.nanoTime();
            for (int i = 0; i < batch; i++) {
                node.propose(new byte[COMMAND_BYTES], new IgnoringCompletion());
            }
            node.tick(System.nanoTime(), effect -> collectWrite(effect, writes));
            persist(node, store, writes);
            times.recordValue(System.nanoTime() - start);
        }
        double seconds = (System.nanoTime() - begin) / 1e9;
        System.out.printf(
                "commit batch=%d p50_ms=%.3f p99_ms=%.3f commands_per_s=%.0f%n",
                batch,
                times.getValueAtPercentile(50) / NANOS_PER_MILLI,
                times.getValueAtPercentile(99) / NANOS_PER_MILLI,
                times.getTotalCount() * batch / seconds);
    }

    private static void collectWrite(Effect effect, List<Effect.Persist> writes) {
        if (effect instanceof Effect.Persist persist) {
            writes.add(persist);
        }
    }

    private static void persist(RaftNode node, LogStore store, List<Effect.Persist> writes)
            throws ProxyException {
        while (!writes.isEmpty()) {
            List<Effect.Persist> batch = List.copyOf(writes);
            writes.clear();
            for (Effect.Persist write : batch) {
                store.apply(write.write());
            }
            store.sync();
            long token = batch.get(batch.size() - 1).token();
            node.persisted(token, System.nanoTime(), effect -> collectWrite(effect, writes));
        }
    }

    private static void measureRecovery(Path root) throws Exception {
        for (int entries : new int[] {500, 10_000, 100_000}) {
            for (int stateMib : new int[] {0, 1, 16}) {
                Path folder = root.resolve("recovery-" + entries + "-" + stateMib);
                writeLog(folder, entries, stateMib);
                recover(folder, entries, stateMib);
                delete(folder);
            }
        }
    }

    private static void writeLog(Path folder, int entries, int stateMib) throws Exception {
        try (FileDisk disk = FileDisk.open(folder)) {
            DataFolder data = DataFolder.open(disk, new SplittableRandom(1));
            try (LogStore store = data.openGroup(0)) {
                byte[] state = new byte[stateMib * 1024 * 1024];
                store.apply(LogWrite.of(new LogWrite.Snapshot(1, 1, NO_MEMBERS, state)));
                for (int i = 0; i < entries; i++) {
                    byte[] command = new byte[COMMAND_BYTES];
                    LogEntry entry = LogEntry.of(i + 2, 1, LogEntry.Kind.COMMAND, command);
                    LogWrite.Vote vote = new LogWrite.Vote(1, Optional.empty());
                    store.apply(LogWrite.of(vote, List.of(entry)));
                }
                store.sync();
            }
        }
    }

    private static void recover(Path folder, int entries, int stateMib) throws Exception {
        Histogram times = new Histogram(3);
        for (int i = 0; i < 5; i++) {
            long start = System.nanoTime();
            try (FileDisk disk = FileDisk.open(folder)) {
                DataFolder data = DataFolder.open(disk, new SplittableRandom(1));
                try (LogStore store = data.openGroup(0)) {
                    RaftNode.create(
                            RaftSettings.of(List.of(HostId.of("control-0"))),
                            Member.of(HostId.of("control-0"), data.incarnation()),
                            0,
                            store.recovered(),
                            new CountingMachine(),
                            new SplittableRandom(1),
                            System.nanoTime());
                    times.recordValue(System.nanoTime() - start);
                }
            }
        }
        System.out.printf(
                "recovery entries=%d state_mib=%d p50_ms=%.1f max_ms=%.1f%n",
                entries,
                stateMib,
                times.getValueAtPercentile(50) / NANOS_PER_MILLI,
                times.getMaxValue() / NANOS_PER_MILLI);
    }

    /** Measures the virtual time from a leader's crash until another holds a valid lease. */
    private static void measureFailovers() {
        for (int size : new int[] {3, 5}) {
            Histogram times = new Histogram(3);
            for (int seed = 0; seed < 1000; seed++) {
                TestCluster cluster = cluster(seed, size);
                cluster.commitOne();
                cluster.run(Duration.ofMillis(1000 + cluster.random().nextInt(500)));
                long crashNanos = cluster.timeNanos();
                cluster.crash(cluster.awaitLeader());
                cluster.awaitLeader();
                times.recordValue(cluster.timeNanos() - crashNanos);
            }
            System.out.printf(
                    "kill members=%d seeds=0..999 p50_ms=%.0f p95_ms=%.0f"
                            + " p99_ms=%.0f max_ms=%.0f%n",
                    size,
                    times.getValueAtPercentile(50) / NANOS_PER_MILLI,
                    times.getValueAtPercentile(95) / NANOS_PER_MILLI,
                    times.getValueAtPercentile(99) / NANOS_PER_MILLI,
                    times.getMaxValue() / NANOS_PER_MILLI);
        }
    }

    private static TestCluster cluster(long seed, int size) {
        return new TestCluster(seed, size, RaftSettings.of(TestCluster.hostNames(size)));
    }

    /** Measures messages and encoded bytes per second of a whole idle group over a minute. */
    private static void measureIdle() {
        IntStream.of(3, 5, 7)
                .forEach(
                        size -> {
                            TestCluster cluster = cluster(1, size);
                            cluster.commitOne();
                            long messages = cluster.messages();
                            long bytes = cluster.bytes();
                            int seconds = 60;
                            cluster.run(Duration.ofSeconds(seconds));
                            System.out.printf(
                                    "idle members=%d group_messages_per_s=%.1f"
                                            + " group_bytes_per_s=%.0f%n",
                                    size,
                                    (cluster.messages() - messages) / (double) seconds,
                                    (cluster.bytes() - bytes) / (double) seconds);
                        });
    }

    private static void delete(Path folder) throws IOException {
        try (Stream<Path> paths = Files.walk(folder)) {
            for (Path path : paths.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(path);
            }
        }
    }

    /** A state machine that only counts commands. */
    private static final class CountingMachine implements StateMachine {
        private long mCount;

        @Override
        public byte[] apply(long index, byte[] command) {
            mCount++;
            return NO_MEMBERS;
        }

        @Override
        public byte[] snapshot() {
            return Long.toString(mCount).getBytes(java.nio.charset.StandardCharsets.US_ASCII);
        }

        @Override
        public void restore(byte[] snapshot) {
            mCount = snapshot.length;
        }
    }

    private static final class IgnoringCompletion implements Proposer.Completion {
        @Override
        public void committed(long index, byte[] result) {
            // The measuring loop counts commits.
        }

        @Override
        public void failed(org.coltsfootproxy.base.ErrorKind kind) {
            throw new IllegalStateException(kind.label());
        }
    }
}
