package org.coltsfootproxy.membership;

import static com.google.common.base.Preconditions.checkNotNull;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.coltsfootproxy.base.ErrorKind;
import org.coltsfootproxy.base.ProxyException;

/** A {@link HostList} in a file that the platform replaces on each change. */
public final class FileHostList implements HostList {
    private final Path mPath;

    private FileHostList(Path path) {
        mPath = path;
    }

    /** Returns a host list that is read from the given file. */
    public static FileHostList of(Path path) {
        return new FileHostList(checkNotNull(path, "path is missing"));
    }

    @Override
    public HostListing read() throws ProxyException {
        try (var in = Files.newInputStream(mPath)) {
            byte[] bytes = in.readNBytes(MAX_BYTES + 1);
            if (bytes.length > MAX_BYTES) {
                throw ProxyException.of(
                        ErrorKind.BODY_TOO_LARGE,
                        mPath + " exceeds the maximum size of a host list, 4 MiB");
            }
            return HostListing.parse(bytes);
        } catch (IOException e) {
            throw ProxyException.of(ErrorKind.NOT_FOUND, "can't read " + mPath + ": " + e, e);
        }
    }
}
