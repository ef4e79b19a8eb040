package org.coltsfootproxy.message;

/** Role of a host that enrols at the control hosts. */
public enum FleetRole {
    /** Accepts callers' requests. */
    ENTRY,
    /** Stores and runs batch jobs. */
    STORE
}
