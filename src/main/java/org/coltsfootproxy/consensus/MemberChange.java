package org.coltsfootproxy.consensus;

import org.coltsfootproxy.base.HostId;

/** A change of a group's members that an operator asks for. */
public sealed interface MemberChange {
    /** Returns the host that joins or leaves. */
    HostId host();

    /**
     * The host joins in the life in which it last asked to; a former life of the same host is
     * replaced.
     */
    record Add(HostId host) implements MemberChange {}

    /** The host leaves. */
    record Remove(HostId host) implements MemberChange {}
}
