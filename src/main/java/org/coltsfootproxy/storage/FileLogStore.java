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
import org.coltsfootproxy.node.StoreWrite;

/**
 * A log store in one folder: segments of records that are only appended to, and snapshot files.
 *
 * <p>Votes and entries go into the same segment, so that one sync covers a batch of both. Each
 * segment begins with the vote, so that earlier segments can go once a snapshot covers them.
 */
final class FileLogStore implements LogStore {
    /** Version of the layout of the files. */
    static final int FORMAT = 1;

    private static final String PREFIX = "log-";
    private static final int SEGMENT_BYTES = 8 * 1024 * 1024;

    /** A segment that is no longer written to. */
    private record Segment(String path, long lastIndex) {}

    private final Disk mDisk;
    private final String mFolder;
    private final int mGroup;
    private final SnapshotFiles mSnapshots;
    private final List<Segment> mSegments = new ArrayList<>();
    private final LongArrayList mTerms = new LongArrayList();
    private RecoveredState mRecovered;
    private StoreWrite.Vote mVote;
    private long mBaseIndex;
    private long mSequence;
    private String mActivePath;
    private DiskFile mActive;
    private long mActiveLastIndex;
    private long mLength;
    private long mSyncedLength;
    private boolean mBroken;

    private FileLogStore(Disk disk, String folder, int group) {
        mDisk = disk;
        mFolder = folder;
        mGroup = group;
        mSnapshots = new SnapshotFiles(disk, folder, group);
    }

    /**
     * Opens the store in a folder that is there.
     *
     * @throws ProxyException of kind {@link ErrorKind#STORAGE_DAMAGED}, naming file and offset, if
     *     something is damaged that was synced
     */
    static FileLogStore open(Disk disk, String folder, int group) throws ProxyException {
        FileLogStore store = new FileLogStore(disk, folder, group);
        store.recover();
        return store;
    }

    private void recover() throws ProxyException {
        Optional<StoreWrite.Snapshot> snapshot = mSnapshots.recover();
        mBaseIndex = snapshot.map(StoreWrite.Snapshot::index).orElse(0L);
        Replay replay = new Replay(mGroup);
        List<String> names =
                mDisk.list(mFolder).stream().filter(name -> name.startsWith(PREFIX)).toList();
        for (String name : names) {
            boolean last = name.equals(names.get(names.size() - 1));
            mSequence = Long.parseLong(name.substring(PREFIX.length()));
            replaySegment(mFolder + "/" + name, last, replay);
        }
        mRecovered = replay.finish(mFolder, snapshot);
        mVote = mRecovered.vote();
        mRecovered.entries().forEach(entry -> mTerms.addLong(entry.term()));
        startSegment(replay.hasDropped() ? snapshot : Optional.empty());
    }

    private void replaySegment(String path, boolean last, Replay replay) throws ProxyException {
        byte[] bytes = mDisk.read(path);
        Frames.Content content = Frames.read(path, bytes, last);
        if (content.records().isEmpty()) {
            boolean only = mSegments.isEmpty() && mBaseIndex > 0;
            if (!last || only) {
                throw Frames.damaged(path, 0, "the segment has no header");
            }
            mDisk.delete(path);
            return;
        }
        if (last && replay.isUnfinished(content.records(), mBaseIndex)) {
            mDisk.delete(path);
            return;
        }
        if (content.length() < bytes.length) {
            mDisk.truncate(path, content.length());
        }
        mSegments.add(new Segment(path, replay.add(path, content.records())));
    }

    /** Begins a new segment; the one before must be synced. */
    private void startSegment(Optional<StoreWrite.Snapshot> reset) throws ProxyException {
        String path = String.format("%s/%s%020d", mFolder, PREFIX, mSequence + 1);
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
        mSequence++;
        mActive = file;
        mActivePath = path;
        mActiveLastIndex = 0;
        mLength = bytes.size();
        mSyncedLength = mLength;
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

    private static SegmentRecord reset(StoreWrite.Snapshot snapshot) {
        return new SegmentRecord.Reset(snapshot.index(), snapshot.term());
    }

    @Override
    public RecoveredState recovered() {
        return mRecovered;
    }

    @Override
    public void apply(StoreWrite write) throws ProxyException {
        checkUsable();
        try {
            if (mLength > SEGMENT_BYTES) {
                sync();
                startSegment(Optional.empty());
            }
            if (write.snapshot().isPresent()) {
                applySnapshot(write.snapshot().get());
            } else {
                append(write);
            }
        } catch (ProxyException e) {
            mBroken = mBroken || e.kind() != ErrorKind.STORAGE_FULL;
            throw e;
        }
    }

    private void checkUsable() throws ProxyException {
        if (mBroken) {
            String detail = "folder " + mFolder + " is not written to after a failure";
            throw ProxyException.of(ErrorKind.STORAGE_DAMAGED, detail);
        }
    }

    private void append(StoreWrite write) throws ProxyException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        write.vote()
                .ifPresent(
                        vote ->
                                Frames.write(
                                        SegmentRecord.VoteRecord.of(vote), mSyncedLength, bytes));
        write.entries()
                .forEach(
                        entry ->
                                Frames.write(
                                        new SegmentRecord.EntryRecord(entry),
                                        mSyncedLength,
                                        bytes));
        appendWhole(bytes.toByteArray());
        mVote = write.vote().orElse(mVote);
        write.entries().forEach(this::noteEntry);
    }

    /** Appends all of the bytes or, if the disk is full, none. */
    private void appendWhole(byte[] bytes) throws ProxyException {
        try {
            mActive.append(bytes);
            mLength += bytes.length;
        } catch (ProxyException e) {
            mBroken = true;
            mActive.truncate(mLength);
            mBroken = false;
            throw e;
        }
    }

    private void noteEntry(LogEntry entry) {
        int place = (int) (entry.index() - mBaseIndex - 1);
        while (mTerms.size() > place) {
            mTerms.removeAt(mTerms.size() - 1);
        }
        mTerms.addLong(entry.term());
        mActiveLastIndex = Math.max(mActiveLastIndex, entry.index());
    }

    /**
     * Puts a snapshot into force. The new segment comes first, since the disk may be too full for
     * it; a mark in it that entries were replaced counts only once the snapshot is in force.
     */
    private void applySnapshot(StoreWrite.Snapshot snapshot) throws ProxyException {
        sync();
        boolean fits = goesOnFrom(snapshot);
        mSnapshots.prepare(snapshot);
        try {
            startSegment(fits ? Optional.empty() : Optional.of(snapshot));
        } catch (ProxyException e) {
            mSnapshots.discard();
            throw e;
        }
        mBroken = true;
        mSnapshots.finish(snapshot.index());
        mBroken = false;
        dropTerms(fits ? (int) (snapshot.index() - mBaseIndex) : mTerms.size());
        mBaseIndex = snapshot.index();
        deleteCovered(fits ? snapshot.index() : Long.MAX_VALUE);
    }

    private boolean goesOnFrom(StoreWrite.Snapshot snapshot) {
        int covered = (int) (snapshot.index() - mBaseIndex);
        return covered == 0
                || covered <= mTerms.size() && mTerms.getLong(covered - 1) == snapshot.term();
    }

    private void dropTerms(int count) {
        long[] left = mTerms.longStream().skip(count).toArray();
        mTerms.clear();
        Arrays.stream(left).forEach(mTerms::addLong);
    }

    /** Deletes the oldest segments as long as they hold nothing that is still needed. */
    private void deleteCovered(long index) throws ProxyException {
        while (!mSegments.isEmpty() && mSegments.get(0).lastIndex() <= index) {
            mDisk.delete(mSegments.remove(0).path());
            mDisk.syncFolder(mFolder);
        }
    }

    @Override
    public void sync() throws ProxyException {
        checkUsable();
        if (mSyncedLength == mLength) {
            return;
        }
        try {
            mActive.sync();
            mSyncedLength = mLength;
        } catch (ProxyException e) {
            mBroken = true;
            throw ProxyException.of(ErrorKind.STORAGE_DAMAGED, e.getMessage(), e);
        }
    }

    @Override
    public void close() {
        mActive.close();
    }
}
