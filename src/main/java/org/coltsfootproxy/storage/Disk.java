package org.coltsfootproxy.storage;

import java.util.List;
import org.coltsfootproxy.base.ProxyException;

/**
 * The files of one data folder. Names are paths relative to it, separated by slashes.
 *
 * <p>The content of a file is durable once the file is synced; the creation, renaming or deletion
 * of a file is durable once its folder is synced. Methods throw kind {@link
 * org.coltsfootproxy.base.ErrorKind#STORAGE_FULL} if the disk is full and {@link
 * org.coltsfootproxy.base.ErrorKind#STORAGE_DAMAGED}, naming the file, on any other failure.
 */
public interface Disk extends AutoCloseable {
    /** Creates a folder if it does not exist. */
    void createFolder(String folder) throws ProxyException;

    /** Returns the sorted names of the files in a folder, without the folder's path. */
    List<String> list(String folder) throws ProxyException;

    /** Returns whether a file or folder exists. */
    boolean exists(String name) throws ProxyException;

    /** Returns the complete content of a file. */
    byte[] read(String name) throws ProxyException;

    /** Creates an empty file, replacing any existing one, and opens it for appending. */
    DiskFile create(String name) throws ProxyException;

    /** Truncates a file to a length in bytes and syncs it. */
    void truncate(String name, long length) throws ProxyException;

    /** Renames a file, replacing any file that has the new name. */
    void rename(String from, String to) throws ProxyException;

    /** Deletes a file if it exists. */
    void delete(String name) throws ProxyException;

    /** Makes the creation, renaming and deletion of files in a folder durable. */
    void syncFolder(String folder) throws ProxyException;

    /** Releases the lock on the data folder. */
    @Override
    void close();
}
