package org.coltsfootproxy.storage;

import java.util.List;
import org.coltsfootproxy.base.ProxyException;

/**
 * The files of one data folder; names are relative to it, with slashes.
 *
 * <p>What is written to a file lasts once the file is synced; that a file was made, renamed or
 * deleted lasts once its folder is synced. Methods throw kind {@link
 * org.coltsfootproxy.base.ErrorKind#STORAGE_FULL} if the disk is full and {@link
 * org.coltsfootproxy.base.ErrorKind#STORAGE_DAMAGED}, naming the file, if it failed otherwise.
 */
public interface Disk extends AutoCloseable {
    /** Makes a folder if it is not there. */
    void makeFolder(String folder) throws ProxyException;

    /** Returns the sorted names of the files in a folder, without the folder. */
    List<String> list(String folder) throws ProxyException;

    /** Tells whether a file or folder is there. */
    boolean exists(String name) throws ProxyException;

    /** Returns the whole content of a file. */
    byte[] read(String name) throws ProxyException;

    /** Makes an empty file, in place of any that is there, and opens it for appending. */
    DiskFile create(String name) throws ProxyException;

    /** Cuts a file to a length, in bytes, and syncs it. */
    void truncate(String name, long length) throws ProxyException;

    /** Renames a file, in place of any that has the new name. */
    void rename(String from, String to) throws ProxyException;

    /** Deletes a file. */
    void delete(String name) throws ProxyException;

    /** Syncs the names in a folder. */
    void syncFolder(String folder) throws ProxyException;

    /** Gives up the lock of the folder. */
    @Override
    void close();
}
