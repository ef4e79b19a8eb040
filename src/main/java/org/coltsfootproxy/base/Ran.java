package org.coltsfootproxy.base;

/** What is known about whether a request has run at a target. */
public enum Ran {
    /** The request has not run and never will. */
    NO,
    /** The request may have run. */
    MAYBE,
    /** The request has run, in whole or in part. */
    YES;

    /** Returns the name used in answers. */
    public String label() {
        return name().toLowerCase(java.util.Locale.ROOT);
    }
}
