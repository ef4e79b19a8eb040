package org.coltsfootproxy.storage;

import java.io.ByteArrayOutputStream;
import java.util.List;
import java.util.Optional;
import org.coltsfootproxy.base.ProxyException;
import org.coltsfootproxy.node.StoreWrite;

/** The snapshot files of one group: written beside, synced, renamed, folder synced. */
final class SnapshotFiles {
    private static final String PREFIX = "snapshot-";
    private static final String UNFINISHED = "unfinished-snapshot";

    private final Disk mDisk;
    private final String mFolder;
    private final int mGroup;

    SnapshotFiles(Disk disk, String folder, int group) {
        mDisk = disk;
        mFolder = folder;
        mGroup = group;
    }

    private String path(String name) {
        return mFolder + "/" + name;
    }

    private List<String> names() throws ProxyException {
        return mDisk.list(mFolder).stream().filter(name -> name.startsWith(PREFIX)).toList();
    }

    /** Returns the latest snapshot and deletes what else is there. */
    Optional<StoreWrite.Snapshot> recover() throws ProxyException {
        if (mDisk.exists(path(UNFINISHED))) {
            mDisk.delete(path(UNFINISHED));
        }
        List<String> names = names();
        if (names.isEmpty()) {
            return Optional.empty();
        }
        String latest = names.get(names.size() - 1);
        StoreWrite.Snapshot snapshot = read(path(latest));
        deleteBefore(latest);
        return Optional.of(snapshot);
    }

    private StoreWrite.Snapshot read(String path) throws ProxyException {
        List<SegmentRecord> records = Frames.read(path, mDisk.read(path), false).records();
        if (records.size() == 1
                && records.get(0) instanceof SegmentRecord.SnapshotRecord record
                && record.format() == FileLogStore.FORMAT
                && record.group() == mGroup) {
            return new StoreWrite.Snapshot(
                    record.index(), record.term(), record.members(), record.state());
        }
        throw Frames.damaged(path, 0, "no snapshot of group " + mGroup);
    }

    private void deleteBefore(String latest) throws ProxyException {
        for (String name : names()) {
            if (name.compareTo(latest) < 0) {
                mDisk.delete(path(name));
            }
        }
    }

    /** Writes a snapshot beside the one in force; nothing is left of it if that fails. */
    void prepare(StoreWrite.Snapshot snapshot) throws ProxyException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        SegmentRecord record =
                new SegmentRecord.SnapshotRecord(
                        FileLogStore.FORMAT,
                        mGroup,
                        snapshot.index(),
                        snapshot.term(),
                        snapshot.members(),
                        snapshot.state());
        Frames.write(record, 0, bytes);
        writeBeside(bytes.toByteArray());
    }

    /** Drops the snapshot that was prepared. */
    void discard() throws ProxyException {
        mDisk.delete(path(UNFINISHED));
    }

    /** Puts the snapshot that was prepared into force, then deletes earlier ones. */
    void finish(long index) throws ProxyException {
        String name = String.format("%s%020d", PREFIX, index);
        mDisk.rename(path(UNFINISHED), path(name));
        mDisk.syncFolder(mFolder);
        deleteBefore(name);
    }

    private void writeBeside(byte[] bytes) throws ProxyException {
        try (DiskFile file = mDisk.create(path(UNFINISHED))) {
            file.append(bytes);
            file.sync();
        } catch (ProxyException e) {
            mDisk.delete(path(UNFINISHED));
            throw e;
        }
    }
}
