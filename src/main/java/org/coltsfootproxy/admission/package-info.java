/**
 * Admission of requests and batch items to targets.
 *
 * <p>At an agent, {@link org.coltsfootproxy.admission.AdmissionQueue} bounds the waiting and
 * running work, shares the target fairly between organisations, prefers online to batch and adapts
 * the concurrency limit. {@link org.coltsfootproxy.admission.SeenRequests} keeps a request from
 * running twice.
 *
 * <p>Entries that call targets themselves have no such queue. There {@link
 * org.coltsfootproxy.admission.ContentionControl} decides which requests are refused while targets
 * are contended, by rank, by what organisations have received and by reservations for returns.
 */
package org.coltsfootproxy.admission;
