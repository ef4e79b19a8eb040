package org.coltsfootproxy.message;

/**
 * Names one lease of one item.
 *
 * @param job number of the job in its group
 * @param item place of the item in the job, from 0
 * @param fence fencing number of the lease; a later lease has a higher one
 */
public record LeaseRef(long job, int item, long fence) {}
