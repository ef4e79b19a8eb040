package org.coltsfootproxy.storage;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.random.RandomGenerator;
import java.util.zip.CRC32C;
import org.coltsfootproxy.base.Incarnation;
import org.coltsfootproxy.base.ProxyException;

/**
 * The data folder of a host. It holds the host's incarnation and one folder for each group, that
 * is, for each replicated log.
 */
public final class DataFolder implements AutoCloseable {
    private static final String ROOT = "";
    private static final String INCARNATION_NAME = "incarnation";
    private static final String UNFINISHED_NAME = "unfinished-incarnation";
    private static final String GROUP_PREFIX = "group-";

    private final Disk mDisk;
    private final Incarnation mIncarnation;

    private DataFolder(Disk disk, Incarnation incarnation) {
        mDisk = disk;
        mIncarnation = incarnation;
    }

    /**
     * Opens the folder. A new incarnation is drawn if the folder has none and holds no groups.
     *
     * @throws ProxyException of kind {@link org.coltsfootproxy.base.ErrorKind#STORAGE_DAMAGED} if
     *     the incarnation is damaged, or is missing although groups exist
     */
    public static DataFolder open(Disk disk, RandomGenerator random) throws ProxyException {
        Incarnation incarnation = disk.exists(INCARNATION_NAME) ? read(disk) : create(disk, random);
        return new DataFolder(disk, incarnation);
    }

    private static Incarnation create(Disk disk, RandomGenerator random) throws ProxyException {
        boolean hasGroups =
                disk.list(ROOT).stream().anyMatch(name -> name.startsWith(GROUP_PREFIX));
        if (hasGroups) {
            throw Frames.damaged(
                    INCARNATION_NAME, 0, "the file is missing but folders of groups exist");
        }
        long number = random.nextLong() | 1;
        byte[] bytes = encode(number).getBytes(StandardCharsets.US_ASCII);
        try (DiskFile file = disk.create(UNFINISHED_NAME)) {
            file.append(bytes);
            file.sync();
        }
        disk.rename(UNFINISHED_NAME, INCARNATION_NAME);
        disk.syncFolder(ROOT);
        return Incarnation.of(number);
    }

    private static String encode(long number) {
        String text = Long.toHexString(number);
        CRC32C crc = new CRC32C();
        crc.update(text.getBytes(StandardCharsets.US_ASCII));
        return text + " " + Long.toHexString(crc.getValue()) + "\n";
    }

    private static Incarnation read(Disk disk) throws ProxyException {
        String text = new String(disk.read(INCARNATION_NAME), StandardCharsets.US_ASCII);
        List<String> parts = List.of(text.split(" "));
        try {
            long number = Long.parseUnsignedLong(parts.get(0), 16);
            if (encode(number).equals(text)) {
                return Incarnation.of(number);
            }
        } catch (NumberFormatException e) {
            throw Frames.damaged(
                    INCARNATION_NAME, 0, "not a hexadecimal number: " + e.getMessage());
        }
        throw Frames.damaged(INCARNATION_NAME, 0, "the checksum does not match");
    }

    /** Returns the incarnation of the host that this folder belongs to. */
    public Incarnation incarnation() {
        return mIncarnation;
    }

    /** Opens the store of a group. A group must not be open twice at the same time. */
    public LogStore openGroup(int group) throws ProxyException {
        String folder = GROUP_PREFIX + group;
        if (!mDisk.exists(folder)) {
            mDisk.createFolder(folder);
            mDisk.syncFolder(ROOT);
        }
        return FileLogStore.open(mDisk, folder, group);
    }

    @Override
    public void close() {
        mDisk.close();
    }
}
