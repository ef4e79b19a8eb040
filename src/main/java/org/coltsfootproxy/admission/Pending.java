package org.coltsfootproxy.admission;

/**
 * Work that waits.
 *
 * @param sequence order of arrival
 */
record Pending(Work work, long sequence, Lane lane) {}
