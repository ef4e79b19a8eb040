package org.coltsfootproxy.storage;

import java.io.ByteArrayOutputStream;
import java.util.Arrays;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.random.RandomGenerator;
import org.coltsfootproxy.base.ErrorKind;
import org.coltsfootproxy.base.ProxyException;

/** An in-memory disk that loses unsynced data in a crash, and that can fill up or fail to sync. */
public final class FakeDisk implements Disk {
    private static final class Content {
        private byte[] mData = new byte[0];
        private byte[] mSynced = new byte[0];
    }

    private final Map<String, Content> mNames = new TreeMap<>();
    private final Map<String, Content> mSyncedNames = new TreeMap<>();
    private long mFreeBytes = Long.MAX_VALUE;
    private Set<Refusal> mRefusals = EnumSet.noneOf(Refusal.class);
    private boolean mFailing;
    private int mSyncs;

    /** What a full disk may refuse besides new bytes and new files. */
    public enum Refusal {
        /** Syncs of files with unsynced bytes, as blocks are allocated only then. */
        SYNC,
        /** Truncation of files, as the file system copies what it changes. */
        TRUNCATE,
        /** Changes of names, and syncs of folders whose names have changed. */
        NAMES
    }

    /** Sets what the disk refuses while it is full, besides new bytes and new files. */
    public void setRefusals(Set<Refusal> refusals) {
        mRefusals = Set.copyOf(refusals);
    }

    private void checkSpace(Refusal refusal) throws ProxyException {
        if (mFreeBytes <= 0 && mRefusals.contains(refusal)) {
            throw ProxyException.of(ErrorKind.STORAGE_FULL, "no space left for " + refusal);
        }
    }

    /** Sets how many more bytes can be written before the disk is full. */
    public void setFreeBytes(long bytes) {
        mFreeBytes = bytes;
    }

    /** Sets whether every sync of a file fails. */
    public void setFailing(boolean failing) {
        mFailing = failing;
    }

    public int syncs() {
        return mSyncs;
    }

    /**
     * Loses unsynced data. At random, the changes of names since the last folder sync are all lost
     * or all kept; of each file, a random prefix of the unsynced bytes is kept, at times with one
     * bit flipped.
     */
    public void crash(RandomGenerator random) {
        if (random.nextBoolean()) {
            mNames.clear();
            mNames.putAll(mSyncedNames);
        } else {
            mSyncedNames.clear();
            mSyncedNames.putAll(mNames);
        }
        mNames.values().forEach(content -> crash(content, random));
    }

    private static void crash(Content content, RandomGenerator random) {
        int synced = content.mSynced.length;
        int extra = content.mData.length - synced;
        if (extra <= 0) {
            content.mData = content.mSynced;
            return;
        }
        byte[] remaining = Arrays.copyOf(content.mData, synced + random.nextInt(extra + 1));
        if (remaining.length > synced && random.nextBoolean()) {
            remaining[synced + random.nextInt(remaining.length - synced)] ^= 0x40;
        }
        content.mData = remaining;
        content.mSynced = remaining;
    }

    /** Flips a bit of the byte at an offset of a file. */
    public void damage(String name, int offset) {
        Content content = mNames.get(name);
        content.mData = content.mData.clone();
        content.mData[offset] ^= 0x10;
        content.mSynced = content.mData;
    }

    @Override
    public void createFolder(String folder) {
        mNames.put(folder, new Content());
    }

    @Override
    public List<String> list(String folder) {
        String prefix = folder.isEmpty() ? "" : folder + "/";
        return mNames.keySet().stream()
                .filter(name -> name.startsWith(prefix))
                .map(name -> name.substring(prefix.length()))
                .filter(name -> !name.contains("/"))
                .toList();
    }

    @Override
    public boolean exists(String name) {
        return mNames.containsKey(name);
    }

    @Override
    public byte[] read(String name) {
        return mNames.get(name).mData;
    }

    @Override
    public DiskFile create(String name) throws ProxyException {
        reserveSpace(0);
        Content content = new Content();
        mNames.put(name, content);
        return new FakeFile(content);
    }

    private int reserveSpace(int bytes) throws ProxyException {
        if (mFreeBytes <= 0) {
            throw ProxyException.of(ErrorKind.STORAGE_FULL, "no space left");
        }
        int reserved = (int) Math.min(bytes, mFreeBytes);
        mFreeBytes -= reserved;
        return reserved;
    }

    @Override
    public void truncate(String name, long length) throws ProxyException {
        checkSpace(Refusal.TRUNCATE);
        Content content = mNames.get(name);
        content.mData = Arrays.copyOf(content.mData, (int) length);
        content.mSynced = content.mData;
    }

    @Override
    public void rename(String from, String to) throws ProxyException {
        checkSpace(Refusal.NAMES);
        mNames.put(to, mNames.remove(from));
    }

    @Override
    public void delete(String name) {
        mNames.remove(name);
    }

    @Override
    public void syncFolder(String folder) throws ProxyException {
        checkSpace(Refusal.NAMES);
        String prefix = folder.isEmpty() ? "" : folder + "/";
        mSyncedNames.keySet().removeIf(name -> isIn(prefix, name));
        mNames.forEach(
                (name, content) -> {
                    if (isIn(prefix, name)) {
                        mSyncedNames.put(name, content);
                    }
                });
    }

    private static boolean isIn(String prefix, String name) {
        return name.startsWith(prefix) && !name.substring(prefix.length()).contains("/");
    }

    @Override
    public void close() {
        // No resources to release.
    }

    private final class FakeFile implements DiskFile {
        private final Content mContent;

        FakeFile(Content content) {
            mContent = content;
        }

        @Override
        public void append(byte[] bytes) throws ProxyException {
            int reserved = reserveSpace(bytes.length);
            ByteArrayOutputStream joined = new ByteArrayOutputStream();
            joined.writeBytes(mContent.mData);
            joined.write(bytes, 0, reserved);
            mContent.mData = joined.toByteArray();
            if (reserved < bytes.length) {
                throw ProxyException.of(ErrorKind.STORAGE_FULL, "no space left");
            }
        }

        @Override
        public void truncate(long length) throws ProxyException {
            checkSpace(Refusal.TRUNCATE);
            mContent.mData = Arrays.copyOf(mContent.mData, (int) length);
        }

        @Override
        public void sync() throws ProxyException {
            if (mFailing) {
                throw ProxyException.of(ErrorKind.STORAGE_DAMAGED, "input/output error");
            }
            if (mContent.mSynced != mContent.mData) {
                checkSpace(Refusal.SYNC);
            }
            mSyncs++;
            mContent.mSynced = mContent.mData;
        }

        @Override
        public void close() {
            // No resources to release.
        }
    }
}
