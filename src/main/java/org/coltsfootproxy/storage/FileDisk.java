package org.coltsfootproxy.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.List;
import java.util.Locale;
import java.util.stream.Stream;
import org.coltsfootproxy.base.ErrorKind;
import org.coltsfootproxy.base.ProxyException;

/** A folder in the file system, locked against other processes while it is open. */
public final class FileDisk implements Disk {
    private static final String LOCK_NAME = "lock";

    private final Path mRoot;
    private final FileChannel mLockChannel;

    private FileDisk(Path root, FileChannel lockChannel) {
        mRoot = root;
        mLockChannel = lockChannel;
    }

    /** A file system operation that may throw {@link IOException}. */
    private interface IoAction<T> {
        T run() throws IOException;
    }

    /**
     * Opens a data folder and creates it if it does not exist.
     *
     * @throws ProxyException of kind {@link ErrorKind#SETTINGS_INVALID} if another process has it
     *     open or it cannot be opened
     */
    public static FileDisk open(Path root) throws ProxyException {
        try {
            Files.createDirectories(root);
            FileChannel channel =
                    FileChannel.open(
                            root.resolve(LOCK_NAME),
                            StandardOpenOption.CREATE,
                            StandardOpenOption.WRITE);
            if (!lock(channel)) {
                channel.close();
                String detail = "data folder " + root + " is in use by another process";
                throw ProxyException.of(ErrorKind.SETTINGS_INVALID, detail);
            }
            return new FileDisk(root, channel);
        } catch (IOException e) {
            String detail = "data folder " + root + " cannot be opened: " + e;
            throw ProxyException.of(ErrorKind.SETTINGS_INVALID, detail, e);
        }
    }

    private static boolean lock(FileChannel channel) throws IOException {
        try {
            FileLock lock = channel.tryLock();
            return lock != null;
        } catch (OverlappingFileLockException e) {
            return false;
        }
    }

    private <T> T run(String name, IoAction<T> action) throws ProxyException {
        try {
            return action.run();
        } catch (IOException e) {
            throw failure(mRoot.resolve(name), e);
        }
    }

    private static ProxyException failure(Path path, IOException e) {
        String text = String.valueOf(e.getMessage()).toLowerCase(Locale.ROOT);
        boolean full = text.contains("no space left") || text.contains("quota exceeded");
        ErrorKind kind = full ? ErrorKind.STORAGE_FULL : ErrorKind.STORAGE_DAMAGED;
        return ProxyException.of(kind, "file " + path + ": " + e, e);
    }

    @Override
    public void createFolder(String folder) throws ProxyException {
        run(folder, () -> Files.createDirectories(mRoot.resolve(folder)));
    }

    @Override
    public List<String> list(String folder) throws ProxyException {
        return run(
                folder,
                () -> {
                    try (Stream<Path> paths = Files.list(mRoot.resolve(folder))) {
                        return paths.map(path -> path.getFileName().toString()).sorted().toList();
                    }
                });
    }

    @Override
    public boolean exists(String name) {
        return Files.exists(mRoot.resolve(name));
    }

    @Override
    public byte[] read(String name) throws ProxyException {
        return run(name, () -> Files.readAllBytes(mRoot.resolve(name)));
    }

    @Override
    public DiskFile create(String name) throws ProxyException {
        Path path = mRoot.resolve(name);
        FileChannel channel =
                run(
                        name,
                        () ->
                                FileChannel.open(
                                        path,
                                        StandardOpenOption.CREATE,
                                        StandardOpenOption.TRUNCATE_EXISTING,
                                        StandardOpenOption.WRITE));
        return new ChannelFile(path, channel);
    }

    @Override
    public void truncate(String name, long length) throws ProxyException {
        run(
                name,
                () -> {
                    Path path = mRoot.resolve(name);
                    try (FileChannel channel = FileChannel.open(path, StandardOpenOption.WRITE)) {
                        channel.truncate(length).force(true);
                    }
                    return length;
                });
    }

    @Override
    public void rename(String from, String to) throws ProxyException {
        run(
                from,
                () ->
                        Files.move(
                                mRoot.resolve(from),
                                mRoot.resolve(to),
                                StandardCopyOption.ATOMIC_MOVE,
                                StandardCopyOption.REPLACE_EXISTING));
    }

    @Override
    public void delete(String name) throws ProxyException {
        run(name, () -> Files.deleteIfExists(mRoot.resolve(name)));
    }

    @Override
    public void syncFolder(String folder) throws ProxyException {
        run(
                folder,
                () -> {
                    Path path = mRoot.resolve(folder);
                    try (FileChannel channel = FileChannel.open(path, StandardOpenOption.READ)) {
                        channel.force(true);
                    }
                    return folder;
                });
    }

    @Override
    public void close() {
        closeQuietly(mLockChannel);
    }

    /** Closes a channel whose content is either synced or no longer needed. */
    private static void closeQuietly(FileChannel channel) {
        try {
            channel.close();
        } catch (IOException e) {
            // Ignored: whatever must be durable was synced before the close.
            return;
        }
    }

    private static final class ChannelFile implements DiskFile {
        private final Path mPath;
        private final FileChannel mChannel;

        ChannelFile(Path path, FileChannel channel) {
            mPath = path;
            mChannel = channel;
        }

        @Override
        public void append(byte[] bytes) throws ProxyException {
            ByteBuffer buffer = ByteBuffer.wrap(bytes);
            try {
                while (buffer.hasRemaining()) {
                    mChannel.write(buffer);
                }
            } catch (IOException e) {
                throw failure(mPath, e);
            }
        }

        @Override
        public void truncate(long length) throws ProxyException {
            try {
                mChannel.truncate(length);
            } catch (IOException e) {
                throw failure(mPath, e);
            }
        }

        @Override
        public void sync() throws ProxyException {
            try {
                mChannel.force(false);
            } catch (IOException e) {
                throw failure(mPath, e);
            }
        }

        @Override
        public void close() {
            closeQuietly(mChannel);
        }
    }
}
