package org.coltsfootproxy.message;

/**
 * Identifies one lease of one item of a batch job.
 *
 * @param job number of the job in its group
 * @param item index of the item in the job, from 0
 * @param fence fencing number of the lease; a later lease has a higher number
 */
public record LeaseRef(long job, int item, long fence) {}
