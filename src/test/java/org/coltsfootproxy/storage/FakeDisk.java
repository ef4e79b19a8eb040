package org.coltsfootproxy.storage;

import java.io.ByteArrayOutputStream;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.random.RandomGenerator;
import org.coltsfootproxy.base.ErrorKind;
import org.coltsfootproxy.base.ProxyException;

/** A disk in memory that loses at a crash what was not synced, and may fill up or fail. */
public final class FakeDisk implements Disk {
    private static final class Content {
        private byte[] mData = new byte[0];
        private byte[] mSynced = new byte[0];
    }

    private final Map<String, Content> mNames = new TreeMap<>();
    private final Map<String, Content> mSyncedNames = new TreeMap<>();
    private long mFreeBytes = Long.MAX_VALUE;
    private boolean mFailing;
    private int mSyncs;

    /** Lets only this many more bytes be written. */
    public void setFreeBytes(long bytes) {
        mFreeBytes = bytes;
    }

    /** Lets every sync fail. */
    public void setFailing(boolean failing) {
        mFailing = failing;
    }

    public int syncs() {
        return mSyncs;
    }

    /** Loses what was not synced: all of it, a part, or with a torn end. */
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
        byte[] left = Arrays.copyOf(content.mData, synced + random.nextInt(extra + 1));
        if (left.length > synced && random.nextBoolean()) {
            left[synced + random.nextInt(left.length - synced)] ^= 0x40;
        }
        content.mData = left;
        content.mSynced = left;
    }

    /** Flips a bit of a file. */
    public void damage(String name, int offset) {
        Content content = mNames.get(name);
        content.mData = content.mData.clone();
        content.mData[offset] ^= 0x10;
        content.mSynced = content.mData;
    }

    @Override
    public void makeFolder(String folder) {
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
        takeSpace(0);
        Content content = new Content();
        mNames.put(name, content);
        return new FakeFile(content);
    }

    private int takeSpace(int bytes) throws ProxyException {
        if (mFreeBytes <= 0) {
            throw ProxyException.of(ErrorKind.STORAGE_FULL, "no space left");
        }
        int taken = (int) Math.min(bytes, mFreeBytes);
        mFreeBytes -= taken;
        return taken;
    }

    @Override
    public void truncate(String name, long length) {
        Content content = mNames.get(name);
        content.mData = Arrays.copyOf(content.mData, (int) length);
        content.mSynced = content.mData;
    }

    @Override
    public void rename(String from, String to) {
        mNames.put(to, mNames.remove(from));
    }

    @Override
    public void delete(String name) {
        mNames.remove(name);
    }

    @Override
    public void syncFolder(String folder) {
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
        // Nothing is held.
    }

    private final class FakeFile implements DiskFile {
        private final Content mContent;

        FakeFile(Content content) {
            mContent = content;
        }

        @Override
        public void append(byte[] bytes) throws ProxyException {
            int taken = takeSpace(bytes.length);
            ByteArrayOutputStream joined = new ByteArrayOutputStream();
            joined.writeBytes(mContent.mData);
            joined.write(bytes, 0, taken);
            mContent.mData = joined.toByteArray();
            if (taken < bytes.length) {
                throw ProxyException.of(ErrorKind.STORAGE_FULL, "no space left");
            }
        }

        @Override
        public void truncate(long length) {
            mContent.mData = Arrays.copyOf(mContent.mData, (int) length);
        }

        @Override
        public void sync() throws ProxyException {
            if (mFailing) {
                throw ProxyException.of(ErrorKind.STORAGE_DAMAGED, "input/output error");
            }
            mSyncs++;
            mContent.mSynced = mContent.mData;
        }

        @Override
        public void close() {
            // Nothing is held.
        }
    }
}
