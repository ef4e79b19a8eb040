package org.coltsfootproxy.storage;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import org.coltsfootproxy.base.ErrorKind;
import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.base.Incarnation;
import org.coltsfootproxy.base.Member;
import org.coltsfootproxy.base.ProxyException;
import org.coltsfootproxy.consensus.RecoveredState;
import org.coltsfootproxy.message.LogEntry;
import org.coltsfootproxy.node.LogWrite;
import org.testng.annotations.Test;

/** Tests that {@link FileLogStore} recovers all synced data, whatever happens to unsynced data. */
public final class FileLogStoreTest {
    private static final Member CANDIDATE = Member.of(HostId.of("a"), Incarnation.of(7));
    private static final String FIRST_SEGMENT = "group-0/log-00000000000000000001";
    private static final byte[] NO_MEMBERS = new byte[0];

    /**
     * Expected content of a store: term of the vote, index of the snapshot, and terms of the
     * entries.
     */
    private record Model(long term, long snapshot, List<Long> terms) {
        static Model of(RecoveredState state) {
            return new Model(
                    state.vote().term(),
                    state.snapshot().map(LogWrite.Snapshot::index).orElse(0L),
                    state.entries().stream().map(LogEntry::term).toList());
        }

        Model withTerm(long next) {
            return new Model(next, snapshot, terms);
        }

        Model withEntry(long index, long entryTerm) {
            List<Long> kept = new ArrayList<>(terms.subList(0, (int) (index - snapshot - 1)));
            kept.add(entryTerm);
            return new Model(term, snapshot, List.copyOf(kept));
        }

        Model withSnapshot(long index, long indexTerm) {
            int covered = (int) (index - snapshot);
            boolean matchesLog = covered <= terms.size() && terms.get(covered - 1) == indexTerm;
            List<Long> kept = matchesLog ? terms.subList(covered, terms.size()) : List.of();
            return new Model(term, index, List.copyOf(kept));
        }

        long last() {
            return snapshot + terms.size();
        }
    }

    private static LogStore open(Disk disk) throws ProxyException {
        return DataFolder.open(disk, new SplittableRandom(1)).openGroup(0);
    }

    private static LogEntry entry(long index, long term) {
        return LogEntry.of(index, term, LogEntry.Kind.COMMAND, new byte[(int) (index % 50)]);
    }

    private static LogWrite.Vote vote(long term) {
        return new LogWrite.Vote(term, Optional.of(CANDIDATE));
    }

    @Test
    public void crashesLoseNoSyncedData() throws ProxyException {
        for (int seed = 0; seed < 300; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            FakeDisk disk = new FakeDisk();
            for (int run = 0; run < 8; run++) {
                runUntilCrash(disk, random, "seed " + seed + " run " + run);
            }
        }
    }

    /**
     * Applies random writes and crashes. The store must then recover the state at the last sync or
     * one of the states after it.
     */
    private static void runUntilCrash(FakeDisk disk, SplittableRandom random, String runName)
            throws ProxyException {
        List<Model> possible = new ArrayList<>();
        LogStore store = open(disk);
        possible.add(Model.of(store.recovered()));
        for (int i = random.nextInt(30); i > 0; i--) {
            disk.setFreeBytes(random.nextInt(6) == 0 ? random.nextInt(200) : Long.MAX_VALUE);
            write(store, possible, random);
            if (random.nextInt(3) == 0) {
                store.sync();
                possible.subList(0, possible.size() - 1).clear();
            }
        }
        disk.setFreeBytes(Long.MAX_VALUE);
        disk.crash(random);
        LogStore reopened = open(disk);
        Model actual = Model.of(reopened.recovered());
        assertTrue(possible.contains(actual), runName + ": " + actual + " of " + possible);
    }

    private static void write(LogStore store, List<Model> possible, SplittableRandom random) {
        Model current = possible.get(possible.size() - 1);
        List<Model> after = new ArrayList<>();
        LogWrite write = randomWrite(current, after, random);
        try {
            store.apply(write);
            possible.addAll(after);
        } catch (ProxyException e) {
            assertEquals(e.kind(), ErrorKind.STORAGE_FULL, e.getMessage());
            write.snapshot()
                    .ifPresent(s -> possible.add(0, current.withSnapshot(s.index(), s.term())));
        }
    }

    /** Guards against writes that are lost after a full disk has refused more than new bytes. */
    @Test
    public void fullDisksThatRefuseAnyStepLoseNoSyncedData() throws ProxyException {
        for (int seed = 0; seed < 600; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            FakeDisk disk = new FakeDisk();
            for (int run = 0; run < 6; run++) {
                new RefusedRun(disk, random).runUntilCrash("seed " + seed + " run " + run);
            }
        }
    }

    /**
     * Writes as a node does: what follows the last synced state is written again after a failure.
     */
    private static final class RefusedRun {
        private final FakeDisk mDisk;
        private final SplittableRandom mRandom;
        private final LogStore mStore;
        private final List<Model> mPossible = new ArrayList<>();
        private Model mSynced;
        private boolean mHasFailed;

        RefusedRun(FakeDisk disk, SplittableRandom random) throws ProxyException {
            mDisk = disk;
            mRandom = random;
            mStore = open(disk);
            mSynced = Model.of(mStore.recovered());
            mPossible.add(mSynced);
        }

        private Model current() {
            return mPossible.get(mPossible.size() - 1);
        }

        void runUntilCrash(String name) throws ProxyException {
            for (int i = mRandom.nextInt(40); i > 0; i--) {
                Set<FakeDisk.Refusal> refusals = EnumSet.noneOf(FakeDisk.Refusal.class);
                for (FakeDisk.Refusal refusal : FakeDisk.Refusal.values()) {
                    if (mRandom.nextBoolean()) {
                        refusals.add(refusal);
                    }
                }
                mDisk.setRefusals(refusals);
                mDisk.setFreeBytes(mRandom.nextInt(4) == 0 ? mRandom.nextInt(200) : Long.MAX_VALUE);
                step();
            }
            mDisk.setFreeBytes(Long.MAX_VALUE);
            mDisk.crash(mRandom);
            Model actual = Model.of(open(mDisk).recovered());
            assertTrue(mPossible.contains(actual), name + ": " + actual + " of " + mPossible);
        }

        private void step() {
            Model before = current();
            List<Model> after = new ArrayList<>();
            LogWrite write = mHasFailed ? writeAgain(after) : randomWrite(before, after, mRandom);
            try {
                mStore.apply(write);
                mPossible.addAll(after);
                mHasFailed = false;
                if (write.snapshot().isPresent()) {
                    // A node takes snapshots of what is synced.
                    mSynced = current();
                }
            } catch (ProxyException e) {
                assertEquals(e.kind(), ErrorKind.STORAGE_FULL, e.getMessage());
                // A part of the write may be on disk until the next one.
                mPossible.addAll(0, after);
                boolean isRepeated = mHasFailed;
                mHasFailed = true;
                if (!isRepeated) {
                    sync();
                }
                return;
            }
            if (mRandom.nextInt(3) == 0) {
                sync();
            }
        }

        private void sync() {
            try {
                mStore.sync();
                mSynced = current();
                if (!mHasFailed) {
                    mPossible.subList(0, mPossible.size() - 1).clear();
                }
            } catch (ProxyException e) {
                assertEquals(e.kind(), ErrorKind.STORAGE_FULL, e.getMessage());
                mHasFailed = true;
            }
        }

        private LogWrite writeAgain(List<Model> after) {
            long term = Math.max(current().term(), mSynced.term()) + 1;
            mPossible.forEach(model -> after.add(model.withTerm(term)));
            Model next = mSynced.withTerm(term);
            after.add(next);
            List<LogEntry> entries = new ArrayList<>();
            for (int i = 1 + mRandom.nextInt(3); i > 0; i--) {
                long index = next.last() + 1;
                entries.add(entry(index, term));
                next = next.withEntry(index, term);
                after.add(next);
            }
            return LogWrite.of(vote(term), entries);
        }
    }

    /** Guards against the loss of the only snapshot if it is written again and refused then. */
    @Test
    public void aSnapshotThatIsWrittenAgainIsNeverLost() throws ProxyException {
        FakeDisk disk = new FakeDisk();
        LogStore store = open(disk);
        store.apply(LogWrite.of(vote(1), List.of(entry(1, 1), entry(2, 1))));
        LogWrite snapshot = LogWrite.of(new LogWrite.Snapshot(2, 1, NO_MEMBERS, new byte[9]));
        store.apply(snapshot);
        disk.setRefusals(EnumSet.of(FakeDisk.Refusal.NAMES));
        disk.setFreeBytes(0);
        try {
            store.apply(snapshot);
        } catch (ProxyException e) {
            assertEquals(e.kind(), ErrorKind.STORAGE_FULL, e.getMessage());
        }
        disk.setFreeBytes(Long.MAX_VALUE);
        store.apply(LogWrite.of(vote(2), List.of(entry(3, 2))));
        store.sync();
        disk.crash(new SplittableRandom(1));
        assertEquals(Model.of(open(disk).recovered()), new Model(2, 2, List.of(2L)));
    }

    private static LogWrite randomWrite(Model current, List<Model> after, SplittableRandom random) {
        if (random.nextInt(8) == 0) {
            long index = current.snapshot() + 1 + random.nextInt(current.terms().size() + 3);
            boolean isInLog = index <= current.last() && random.nextBoolean();
            long term =
                    isInLog
                            ? current.terms().get((int) (index - current.snapshot() - 1))
                            : current.term() + 1;
            after.add(current.withSnapshot(index, term));
            byte[] state = new byte[random.nextInt(300)];
            return LogWrite.of(new LogWrite.Snapshot(index, term, NO_MEMBERS, state));
        }
        Model next = current.withTerm(current.term() + 1);
        after.add(next);
        List<LogEntry> entries = new ArrayList<>();
        long index = current.last() + 1 - random.nextInt(Math.min(3, current.terms().size() + 1));
        for (int i = random.nextInt(4); i > 0; i--) {
            entries.add(entry(index, next.term()));
            next = next.withEntry(index, next.term());
            after.add(next);
            index++;
        }
        return LogWrite.of(vote(next.term()), entries);
    }

    @Test
    public void damagedSyncedRecordIsReportedWithFileAndOffset() throws ProxyException {
        FakeDisk disk = new FakeDisk();
        LogStore store = open(disk);
        int offset = disk.read(FIRST_SEGMENT).length;
        for (int i = 1; i <= 3; i++) {
            store.apply(LogWrite.of(vote(i), List.of(entry(i, i))));
            store.sync();
        }

        disk.damage(FIRST_SEGMENT, offset + 12);

        ProxyException error = expectThrows(ProxyException.class, () -> open(disk));
        assertEquals(error.kind(), ErrorKind.STORAGE_DAMAGED);
        String location = "file " + FIRST_SEGMENT + " offset " + offset;
        assertTrue(error.getMessage().contains(location), error.getMessage());
    }

    @Test
    public void damageBeforeTheLastSyncIsNeverTakenForATornTail() throws ProxyException {
        for (int at = 0; ; at++) {
            FakeDisk disk = new FakeDisk();
            LogStore store = open(disk);
            store.apply(LogWrite.of(vote(1), List.of(entry(1, 1), entry(2, 1))));
            store.sync();
            int synced = disk.read(FIRST_SEGMENT).length;
            store.apply(LogWrite.of(List.of(entry(3, 1))));
            store.sync();
            if (at == synced) {
                return;
            }
            disk.damage(FIRST_SEGMENT, at);
            ProxyException error = expectThrows(ProxyException.class, () -> open(disk));
            assertEquals(error.kind(), ErrorKind.STORAGE_DAMAGED, "byte " + at);
        }
    }

    @Test
    public void damagedSnapshotIsReported() throws ProxyException {
        FakeDisk disk = new FakeDisk();
        LogStore store = open(disk);
        store.apply(LogWrite.of(new LogWrite.Snapshot(9, 2, NO_MEMBERS, new byte[100])));
        disk.damage("group-0/snapshot-00000000000000000009", 70);

        ProxyException error = expectThrows(ProxyException.class, () -> open(disk));

        assertEquals(error.kind(), ErrorKind.STORAGE_DAMAGED);
    }

    @Test
    public void segmentsCoveredByASnapshotAreDeleted() throws ProxyException {
        FakeDisk disk = new FakeDisk();
        LogStore store = open(disk);
        for (int i = 1; i <= 20; i++) {
            store.apply(LogWrite.of(vote(1), List.of(entry(i, 1))));
            store.apply(LogWrite.of(new LogWrite.Snapshot(i, 1, NO_MEMBERS, new byte[9])));
        }
        assertEquals(disk.list("group-0").size(), 2, disk.list("group-0").toString());
    }

    @Test
    public void noWriteIsAcceptedAfterAFailedSync() throws ProxyException {
        FakeDisk disk = new FakeDisk();
        LogStore store = open(disk);
        store.apply(LogWrite.of(vote(1)));
        disk.setFailing(true);
        expectThrows(ProxyException.class, store::sync);
        disk.setFailing(false);

        ProxyException error =
                expectThrows(ProxyException.class, () -> store.apply(LogWrite.of(vote(2))));

        assertEquals(error.kind(), ErrorKind.STORAGE_DAMAGED);
    }

    @Test
    public void fileSystemFolderKeepsStateAndIncarnationAndIsLocked()
            throws ProxyException, IOException {
        Path root = Files.createTempDirectory("data-folder");
        Incarnation first;
        try (FileDisk disk = FileDisk.open(root)) {
            DataFolder folder = DataFolder.open(disk, new SplittableRandom(1));
            first = folder.incarnation();
            try (LogStore store = folder.openGroup(1)) {
                store.apply(LogWrite.of(vote(3), List.of(entry(1, 3))));
                store.apply(LogWrite.of(new LogWrite.Snapshot(1, 3, NO_MEMBERS, NO_MEMBERS)));
                store.sync();
            }
            ProxyException error = expectThrows(ProxyException.class, () -> FileDisk.open(root));
            assertEquals(error.kind(), ErrorKind.SETTINGS_INVALID);
        }
        try (FileDisk disk = FileDisk.open(root)) {
            DataFolder folder = DataFolder.open(disk, new SplittableRandom(2));
            assertEquals(folder.incarnation(), first);
            RecoveredState state = folder.openGroup(1).recovered();
            assertEquals(Model.of(state), new Model(3, 1, List.of()));
            assertEquals(state.vote(), vote(3));
        }
    }
}
