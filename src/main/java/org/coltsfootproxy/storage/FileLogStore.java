package org.coltsfootproxy.storage;

import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import org.agrona.collections.LongArrayList;
import org.coltsfootproxy.base.ErrorKind;
import org.coltsfootproxy.base.ProxyException;
import org.coltsfootproxy.consensus.RecoveredState;
import org.coltsfootproxy.message.LogEntry;
import org.coltsfootproxy.node.LogWrite;

/**
 * A log store in one folder, made of append-only segment files and snapshot files.
 *
 * <p>Votes and entries are written to the same segment, so that one sync covers a batch of both.
 * Each segment begins with the current vote, so that earlier segments can be deleted once a
 * snapshot covers their entries.
 */
final class FileLogStore implements LogStore {
    /** Version of the file format. */
    static final int FORMAT = 1;

    private static final String SEGMENT_PREFIX = "log-";

    /** Length beyond which the next write starts a new segment. */
    private static final int SEGMENT_BYTES = 8 * 1024 * 1024;

    /** A closed segment; {@code lastIndex} is the highest index of its entries, or 0. */
    private record Segment(String path, long lastIndex) {}

    private final Disk mDisk;
    private final String mFolder;
    private final int mGroup;
    private final SnapshotFiles mSnapshots;
    private final List<Segment> mSegments = new ArrayList<>();

    /** Terms of the entries after {@code mSnapshotIndex}, in order. */
    private final LongArrayList mEntryTerms = new LongArrayList();

    private RecoveredState mRecovered;
    private LogWrite.Vote mVote;
    private long mSnapshotIndex;
    private long mActiveSequence;
    private String mActivePath;
    private DiskFile mActive;
    private long mActiveLastIndex;
    private long mActiveLength;
    private long mActiveSyncedLength;

    /**
     * Whether further writes are refused, since a failure has left the files in an unknown state.
     */
    private boolean mHasFailed;

    /**
     * Whether the files have to be brought back to what was synced last before the next write,
     * since a step that a full disk refused may have been done in part.
     */
    private boolean mIsUnsettled;

    /** Whether bytes whose sync was refused are dropped, so that no later sync may succeed. */
    private boolean mHasDropped;

    /** Index of a snapshot whose commit was refused; 0 if there is none. */
    private long mUncommittedIndex;

    private FileLogStore(Disk disk, String folder, int group) {
        mDisk = disk;
        mFolder = folder;
        mGroup = group;
        mSnapshots = new SnapshotFiles(disk, folder, group);
    }

    /**
     * Opens the store in an existing folder.
     *
     * @throws ProxyException of kind {@link ErrorKind#STORAGE_DAMAGED}, naming file and offset, if
     *     synced data is damaged
     */
    static FileLogStore open(Disk disk, String folder, int group) throws ProxyException {
        FileLogStore store = new FileLogStore(disk, folder, group);
        store.mRecovered = store.recover();
        return store;
    }

    private RecoveredState recover() throws ProxyException {
        // A name that was found here must not be lost once an earlier file is deleted.
        mDisk.syncFolder(mFolder);
        mSegments.clear();
        mEntryTerms.clear();
        Optional<LogWrite.Snapshot> snapshot = mSnapshots.recover();
        mSnapshotIndex = snapshot.map(LogWrite.Snapshot::index).orElse(0L);
        Replay replay = new Replay(mGroup);
        List<String> names =
                mDisk.list(mFolder).stream()
                        .filter(name -> name.startsWith(SEGMENT_PREFIX))
                        .toList();
        for (String name : names) {
            boolean last = name.equals(names.get(names.size() - 1));
            mActiveSequence = Long.parseLong(name.substring(SEGMENT_PREFIX.length()));
            replaySegment(mFolder + "/" + name, last, replay);
        }
        RecoveredState recovered = replay.finish(mFolder, snapshot);
        mVote = recovered.vote();
        recovered.entries().forEach(entry -> mEntryTerms.addLong(entry.term()));
        startSegment(replay.hasDropped() ? snapshot : Optional.empty());
        return recovered;
    }

    /**
     * Brings the files back to what was synced last, if a full disk has left them in another state.
     *
     * @throws ProxyException of kind {@link ErrorKind#STORAGE_FULL} if the disk is still full; the
     *     files stay unsettled then
     */
    private void settle() throws ProxyException {
        if (!mIsUnsettled) {
            return;
        }
        if (mActive != null) {
            mActive.close();
            mDisk.truncate(mActivePath, mActiveSyncedLength);
            mActive = null;
        }
        if (mUncommittedIndex > 0) {
            mSnapshots.rollBack(mUncommittedIndex);
            mUncommittedIndex = 0;
        }
        recover();
        mIsUnsettled = false;
        mHasDropped = false;
    }

    private void replaySegment(String path, boolean last, Replay replay) throws ProxyException {
        byte[] bytes = mDisk.read(path);
        Frames.Content content = Frames.read(path, bytes, last);
        if (content.records().isEmpty()) {
            boolean isOnlySegment = mSegments.isEmpty() && mSnapshotIndex > 0;
            if (!last || isOnlySegment) {
                throw Frames.damaged(path, 0, "the segment has no header");
            }
            mDisk.delete(path);
            return;
        }
        if (last && replay.isUnfinished(content.records(), mSnapshotIndex)) {
            mDisk.delete(path);
            return;
        }
        if (content.length() < bytes.length) {
            mDisk.truncate(path, content.length());
        }
        mSegments.add(new Segment(path, replay.add(path, content.records())));
    }

    /** Starts a new segment; the active one must be synced. */
    private void startSegment(Optional<LogWrite.Snapshot> reset) throws ProxyException {
        String path = String.format("%s/%s%020d", mFolder, SEGMENT_PREFIX, mActiveSequence + 1);
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        Frames.write(
                new SegmentRecord.Header(
                        FORMAT, mGroup, mVote.term(), mVote.candidate().orElse(null)),
                0,
                bytes);
        reset.ifPresent(snapshot -> Frames.write(reset(snapshot), 0, bytes));
        DiskFile file = createSegment(path, bytes.toByteArray());
        if (mActive != null) {
            mActive.close();
            mSegments.add(new Segment(mActivePath, mActiveLastIndex));
        }
        mActiveSequence++;
        mActive = file;
        mActivePath = path;
        mActiveLastIndex = 0;
        mActiveLength = bytes.size();
        mActiveSyncedLength = mActiveLength;
    }

    private DiskFile createSegment(String path, byte[] bytes) throws ProxyException {
        DiskFile file = mDisk.create(path);
        try {
            file.append(bytes);
            file.sync();
            mDisk.syncFolder(mFolder);
            return file;
        } catch (ProxyException e) {
            file.close();
            mDisk.delete(path);
            throw e;
        }
    }

    private static SegmentRecord reset(LogWrite.Snapshot snapshot) {
        return new SegmentRecord.Reset(snapshot.index(), snapshot.term());
    }

    @Override
    public RecoveredState recovered() {
        return mRecovered;
    }

    @Override
    public void apply(LogWrite write) throws ProxyException {
        checkUsable();
        try {
            settle();
            if (mActiveLength > SEGMENT_BYTES) {
                sync();
                startSegment(Optional.empty());
            }
            if (write.snapshot().isPresent()) {
                applySnapshot(write.snapshot().get());
            } else {
                append(write);
            }
        } catch (ProxyException e) {
            mHasFailed = mHasFailed || e.kind() != ErrorKind.STORAGE_FULL;
            throw e;
        }
    }

    private void checkUsable() throws ProxyException {
        if (mHasFailed) {
            String detail =
                    "folder " + mFolder + " accepts no writes after an earlier disk failure";
            throw ProxyException.of(ErrorKind.STORAGE_DAMAGED, detail);
        }
    }

    private void append(LogWrite write) throws ProxyException {
        List<LogEntry> entries =
                write.entries().stream().filter(e -> e.index() > mSnapshotIndex).toList();
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        write.vote()
                .ifPresent(
                        vote ->
                                Frames.write(
                                        SegmentRecord.VoteRecord.of(vote),
                                        mActiveSyncedLength,
                                        bytes));
        entries.forEach(
                entry ->
                        Frames.write(
                                new SegmentRecord.EntryRecord(entry), mActiveSyncedLength, bytes));
        appendAtomically(bytes.toByteArray());
        mVote = write.vote().orElse(mVote);
        entries.forEach(this::trackEntry);
    }

    /** Appends all of the bytes, or none if the disk is full. */
    private void appendAtomically(byte[] bytes) throws ProxyException {
        try {
            mActive.append(bytes);
            mActiveLength += bytes.length;
        } catch (ProxyException e) {
            mIsUnsettled = true;
            mActive.truncate(mActiveLength);
            mIsUnsettled = false;
            throw e;
        }
    }

    private void trackEntry(LogEntry entry) {
        int position = (int) (entry.index() - mSnapshotIndex - 1);
        while (mEntryTerms.size() > position) {
            mEntryTerms.removeAt(mEntryTerms.size() - 1);
        }
        mEntryTerms.addLong(entry.term());
        mActiveLastIndex = Math.max(mActiveLastIndex, entry.index());
    }

    /**
     * Makes a snapshot the current one. The new segment is created before the snapshot is
     * committed, since the disk may be too full for it. If the snapshot replaces all entries, the
     * segment has a reset record, which takes effect only once the snapshot is committed.
     */
    private void applySnapshot(LogWrite.Snapshot snapshot) throws ProxyException {
        if (snapshot.index() <= mSnapshotIndex) {
            // Its write was reported as failed because of a later write in the same batch.
            return;
        }
        sync();
        boolean isMatching = matchesLog(snapshot);
        mSnapshots.prepare(snapshot);
        try {
            startSegment(isMatching ? Optional.empty() : Optional.of(snapshot));
        } catch (ProxyException e) {
            mSnapshots.discard();
            throw e;
        }
        mIsUnsettled = true;
        mUncommittedIndex = snapshot.index();
        mSnapshots.commit(snapshot.index());
        mUncommittedIndex = 0;
        mIsUnsettled = false;
        dropFirstTerms(isMatching ? (int) (snapshot.index() - mSnapshotIndex) : mEntryTerms.size());
        mSnapshotIndex = snapshot.index();
        deleteReplaced(isMatching ? snapshot.index() : Long.MAX_VALUE);
    }

    /**
     * Deletes the files that the current snapshot replaces. What a full disk refuses to delete is
     * deleted after the next snapshot.
     */
    private void deleteReplaced(long lastIndex) throws ProxyException {
        try {
            mSnapshots.deleteEarlier(mSnapshotIndex);
            deleteCoveredSegments(lastIndex);
        } catch (ProxyException e) {
            if (e.kind() != ErrorKind.STORAGE_FULL) {
                throw e;
            }
        }
    }

    /**
     * Returns whether the log holds the snapshot's last entry, so that later entries stay valid.
     */
    private boolean matchesLog(LogWrite.Snapshot snapshot) {
        int covered = (int) (snapshot.index() - mSnapshotIndex);
        return covered == 0
                || covered <= mEntryTerms.size()
                        && mEntryTerms.getLong(covered - 1) == snapshot.term();
    }

    private void dropFirstTerms(int count) {
        long[] remaining = mEntryTerms.longStream().skip(count).toArray();
        mEntryTerms.clear();
        Arrays.stream(remaining).forEach(mEntryTerms::addLong);
    }

    /** Deletes the oldest segments whose entries are all at or below an index. */
    private void deleteCoveredSegments(long index) throws ProxyException {
        while (!mSegments.isEmpty() && mSegments.get(0).lastIndex() <= index) {
            mDisk.delete(mSegments.get(0).path());
            mSegments.remove(0);
            mDisk.syncFolder(mFolder);
        }
    }

    @Override
    public void sync() throws ProxyException {
        checkUsable();
        if (mHasDropped) {
            throw ProxyException.of(
                    ErrorKind.STORAGE_FULL, "folder " + mFolder + " was full at the last sync");
        }
        if (mActive == null || mActiveSyncedLength == mActiveLength) {
            return;
        }
        try {
            mActive.sync();
            mActiveSyncedLength = mActiveLength;
        } catch (ProxyException e) {
            if (e.kind() == ErrorKind.STORAGE_FULL) {
                // What was not synced may be lost although a later sync succeeds.
                mIsUnsettled = true;
                mHasDropped = true;
                throw e;
            }
            mHasFailed = true;
            throw ProxyException.of(ErrorKind.STORAGE_DAMAGED, e.getMessage(), e);
        }
    }

    @Override
    public void close() {
        if (mActive != null) {
            mActive.close();
        }
    }
}
