package org.coltsfootproxy.membership;

/** Tells the leader's policies in which term they act. */
public interface Leadership {
    /** Tells whether this host leads and its lease is valid. */
    boolean isLeader(long nowNanos);

    /** Returns the current term; it grows with each change of the leader. */
    long term();
}
