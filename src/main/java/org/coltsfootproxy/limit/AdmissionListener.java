package org.coltsfootproxy.limit;

import org.coltsfootproxy.base.OrganisationId;

/** Receives the admissions that an entry makes itself or that other entries report to it. */
@FunctionalInterface
public interface AdmissionListener {
    /** Listener that ignores all admissions. */
    AdmissionListener NONE = (organisation, requests, nowNanos) -> {};

    /** Called when requests of an organisation have passed its rate limit at some entry. */
    void admitted(OrganisationId organisation, long requests, long nowNanos);
}
