package org.coltsfootproxy.storage;

import java.util.List;
import java.util.Optional;
import org.coltsfootproxy.base.ProxyException;
import org.coltsfootproxy.node.LogWrite;

/**
 * The snapshot files of one group.
 *
 * <p>A snapshot replaces the previous one atomically: it is written to a temporary file, which is
 * synced and renamed, and then the folder is synced.
 */
final class SnapshotFiles {
    private static final String PREFIX = "snapshot-";
    private static final String UNFINISHED_NAME = "unfinished-snapshot";

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

    /** Returns the latest snapshot, and deletes earlier and unfinished ones. */
    Optional<LogWrite.Snapshot> recover() throws ProxyException {
        if (mDisk.exists(path(UNFINISHED_NAME))) {
            mDisk.delete(path(UNFINISHED_NAME));
        }
        List<String> names = names();
        if (names.isEmpty()) {
            return Optional.empty();
        }
        String latest = names.get(names.size() - 1);
        LogWrite.Snapshot snapshot = read(path(latest));
        deleteBefore(latest);
        return Optional.of(snapshot);
    }

    private LogWrite.Snapshot read(String path) throws ProxyException {
        List<SegmentRecord> records = Frames.read(path, mDisk.read(path), false).records();
        if (records.size() == 1
                && records.get(0) instanceof SegmentRecord.SnapshotRecord record
                && record.format() == FileLogStore.FORMAT
                && record.group() == mGroup) {
            return new LogWrite.Snapshot(
                    record.index(), record.term(), record.members(), record.state());
        }
        throw Frames.damaged(path, 0, "not a snapshot of group " + mGroup);
    }

    private void deleteBefore(String latest) throws ProxyException {
        for (String name : names()) {
            if (name.compareTo(latest) < 0) {
                mDisk.delete(path(name));
            }
        }
    }

    /** Writes a snapshot to the temporary file, which is deleted if the write fails. */
    void prepare(LogWrite.Snapshot snapshot) throws ProxyException {
        SnapshotFrame frame = SnapshotFrame.of(mGroup, snapshot);
        try (DiskFile file = mDisk.create(path(UNFINISHED_NAME))) {
            frame.appendTo(file);
            file.sync();
        } catch (ProxyException e) {
            mDisk.delete(path(UNFINISHED_NAME));
            throw e;
        }
    }

    /** Deletes the prepared snapshot. */
    void discard() throws ProxyException {
        mDisk.delete(path(UNFINISHED_NAME));
    }

    private static String name(long index) {
        return String.format("%s%020d", PREFIX, index);
    }

    /** Makes the prepared snapshot the current one. */
    void commit(long index) throws ProxyException {
        mDisk.rename(path(UNFINISHED_NAME), path(name(index)));
        mDisk.syncFolder(mFolder);
    }

    /** Deletes a snapshot whose commit has failed. */
    void rollBack(long index) throws ProxyException {
        mDisk.delete(path(name(index)));
        discard();
    }

    /** Deletes the snapshots before the current one. */
    void deleteEarlier(long index) throws ProxyException {
        deleteBefore(name(index));
    }
}
