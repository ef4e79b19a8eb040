package org.coltsfootproxy.storage;

import org.coltsfootproxy.base.ProxyException;
import org.coltsfootproxy.consensus.RecoveredState;
import org.coltsfootproxy.node.StoreWrite;

/**
 * The durable state of one group of a replicated log.
 *
 * <p>Used by one thread at a time. Calls block on the disk.
 */
public interface LogStore extends AutoCloseable {
    /** Returns the state that was found when the store was opened. */
    RecoveredState recovered();

    /**
     * Writes; what was written lasts only once {@link #sync} has returned.
     *
     * @throws ProxyException of kind {@link org.coltsfootproxy.base.ErrorKind#STORAGE_FULL} if the
     *     disk is full: the write has left nothing behind, earlier ones stand and later ones may be
     *     tried; of kind {@link org.coltsfootproxy.base.ErrorKind#STORAGE_DAMAGED} if the disk
     *     failed: the store takes nothing any more
     */
    void apply(StoreWrite write) throws ProxyException;

    /**
     * Makes everything that was applied last.
     *
     * @throws ProxyException of kind {@link org.coltsfootproxy.base.ErrorKind#STORAGE_DAMAGED} if
     *     the disk failed: nothing is known of the writes since the last sync, and the store takes
     *     nothing any more
     */
    void sync() throws ProxyException;

    /** Closes the files without syncing. */
    @Override
    void close();
}
