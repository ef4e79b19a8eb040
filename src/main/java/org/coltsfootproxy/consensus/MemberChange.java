package org.coltsfootproxy.consensus;

import org.coltsfootproxy.base.HostId;

/** A change to a group's members, requested by an operator. */
public sealed interface MemberChange {
    /** Returns the host that joins or leaves. */
    HostId host();

    /**
     * Adds the host with the incarnation with which it last asked to join; a previous incarnation
     * of the host is replaced.
     */
    record Add(HostId host) implements MemberChange {}

    /** Removes the host. */
    record Remove(HostId host) implements MemberChange {}
}
