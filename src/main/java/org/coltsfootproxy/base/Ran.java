package org.coltsfootproxy.base;

/** Whether a request has run at a target, as far as is known. */
public enum Ran {
    /** The request has not run and will not run. */
    NO,
    /** The request may have run. */
    MAYBE,
    /** The request has run, in whole or in part. */
    YES;

    /** Returns the name that answers carry: lower case. */
    public String label() {
        return name().toLowerCase(java.util.Locale.ROOT);
    }
}
