package org.coltsfootproxy.membership;

/** Reports whether this host leads the control group, and in which term. */
public interface Leadership {
    /** Returns whether this host is the leader and its leader lease is valid. */
    boolean isLeader(long nowNanos);

    /** Returns the current term, which grows with each change of leader. */
    long term();
}
