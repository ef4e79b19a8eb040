/**
 * Durable storage of a host's replicated logs.
 *
 * <p>{@link org.coltsfootproxy.storage.DataFolder} is the data folder of a host: it holds the
 * host's incarnation and one {@link org.coltsfootproxy.storage.LogStore} for each group. A log
 * store keeps votes and entries in checksummed, append-only segment files, and snapshots in files
 * of their own. All file access goes through {@link org.coltsfootproxy.storage.Disk}; {@link
 * org.coltsfootproxy.storage.FileDisk} implements it on the file system and locks the folder
 * against other processes.
 */
package org.coltsfootproxy.storage;
