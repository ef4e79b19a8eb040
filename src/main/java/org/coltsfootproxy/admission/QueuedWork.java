package org.coltsfootproxy.admission;

/**
 * Work that waits.
 *
 * @param sequence order of arrival
 */
record QueuedWork(Work work, long sequence, OrganisationQueue lane) {}
