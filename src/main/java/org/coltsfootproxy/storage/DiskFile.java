package org.coltsfootproxy.storage;

import org.coltsfootproxy.base.ProxyException;

/** A file that is open for appending. */
public interface DiskFile extends AutoCloseable {
    /** Appends bytes; after a failure any part of them may be there. */
    void append(byte[] bytes) throws ProxyException;

    /** Cuts the file to a length in bytes. */
    void truncate(long length) throws ProxyException;

    /** Makes the content last. */
    void sync() throws ProxyException;

    @Override
    void close();
}
