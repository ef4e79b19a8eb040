package org.coltsfootproxy.storage;

import org.coltsfootproxy.base.ProxyException;
import org.coltsfootproxy.consensus.RecoveredState;
import org.coltsfootproxy.node.LogWrite;

/**
 * The durable state of one group of a replicated log.
 *
 * <p>Not thread-safe. Calls block on disk I/O.
 */
public interface LogStore extends AutoCloseable {
    /** Returns the state that was recovered when the store was opened. */
    RecoveredState recovered();

    /**
     * Writes to the log; the write is durable only once {@link #sync} has returned.
     *
     * @throws ProxyException of kind {@link org.coltsfootproxy.base.ErrorKind#STORAGE_FULL} if the
     *     disk is full: the write has had no effect, earlier writes remain and later ones may be
     *     tried; of kind {@link org.coltsfootproxy.base.ErrorKind#STORAGE_DAMAGED} if the disk
     *     failed: the store accepts no further writes
     */
    void apply(LogWrite write) throws ProxyException;

    /**
     * Makes all applied writes durable.
     *
     * @throws ProxyException of kind {@link org.coltsfootproxy.base.ErrorKind#STORAGE_DAMAGED} if
     *     the disk failed: the writes since the last sync may or may not be durable, and the store
     *     accepts no further writes
     */
    void sync() throws ProxyException;

    /** Closes the files without syncing. */
    @Override
    void close();
}
