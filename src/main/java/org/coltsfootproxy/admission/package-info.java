/**
 * Admission of requests and batch items to the target of an agent.
 *
 * <p>{@link org.coltsfootproxy.admission.AdmissionQueue} bounds the waiting and running work,
 * shares the target fairly between organisations, prefers online to batch and adapts the
 * concurrency limit. {@link org.coltsfootproxy.admission.SeenRequests} keeps a request from running
 * twice.
 */
package org.coltsfootproxy.admission;
