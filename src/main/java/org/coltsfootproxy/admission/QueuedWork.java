package org.coltsfootproxy.admission;

/**
 * Work that waits in the queue of its organisation.
 *
 * @param sequence number that increases in the order of arrival
 */
record QueuedWork(Work work, long sequence, OrganisationQueue queue) {}
