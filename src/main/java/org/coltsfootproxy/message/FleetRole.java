package org.coltsfootproxy.message;

/** What a host that enrols does in the fleet. */
public enum FleetRole {
    /** Takes callers' requests. */
    ENTRY,
    /** Keeps and runs batch jobs. */
    STORE
}
