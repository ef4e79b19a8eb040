package org.coltsfootproxy.storage;

import org.coltsfootproxy.base.ProxyException;

/** A file that is open for appending. */
public interface DiskFile extends AutoCloseable {
    /** Appends bytes; after a failure, any part of them may have been written. */
    void append(byte[] bytes) throws ProxyException;

    /** Truncates the file to a length in bytes. */
    void truncate(long length) throws ProxyException;

    /** Makes the content durable. */
    void sync() throws ProxyException;

    @Override
    void close();
}
