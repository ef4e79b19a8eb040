package org.coltsfootproxy.base;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * A member of a replicated log: one incarnation of a host.
 *
 * <p>A host that comes back with an empty disk has a new incarnation and is a different member.
 */
public record Member(HostId host, Incarnation incarnation) implements Comparable<Member> {
    /** Checks that both components are present. */
    public Member {
        checkNotNull(host, "host is missing");
        checkNotNull(incarnation, "incarnation is missing");
    }

    /** Returns the member with the given parts. */
    public static Member of(HostId host, Incarnation incarnation) {
        return new Member(host, incarnation);
    }

    @Override
    public int compareTo(Member other) {
        int byHost = host.compareTo(other.host);
        return byHost != 0 ? byHost : Long.compare(incarnation.value(), other.incarnation.value());
    }

    @Override
    public String toString() {
        return host + "#" + incarnation;
    }
}
