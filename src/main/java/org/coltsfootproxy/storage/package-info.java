/** Durable files of the replicated log: checksummed segments, snapshots and the folder lock. */
package org.coltsfootproxy.storage;
