package org.coltsfootproxy.base;

/**
 * Identifies one request throughout the fleet.
 *
 * @param origin random number that the entry host drew when it started
 * @param sequence number of the request at that host, from 1
 */
public record RequestId(long origin, long sequence) implements Comparable<RequestId> {
    /** Returns the id with the given parts. */
    public static RequestId of(long origin, long sequence) {
        return new RequestId(origin, sequence);
    }

    @Override
    public int compareTo(RequestId other) {
        int byOrigin = Long.compare(origin, other.origin);
        return byOrigin != 0 ? byOrigin : Long.compare(sequence, other.sequence);
    }

    @Override
    public String toString() {
        return String.format("%016x-%x", origin, sequence);
    }
}
