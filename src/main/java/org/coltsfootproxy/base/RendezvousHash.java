package org.coltsfootproxy.base;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Collectors;

/**
 * Assigns keys to hosts by rendezvous hashing (highest random weight).
 *
 * <p>All processes that know the same set of hosts compute the same ranking. If a host is added or
 * removed, only the keys that are assigned to that host move.
 */
public final class RendezvousHash {
    private RendezvousHash() {}

    /** Returns the distinct hosts by descending score for the key, in O(n log n) time. */
    public static List<HostId> rank(String key, Collection<HostId> hosts) {
        checkNotNull(key, "key");
        return hosts.stream()
                .distinct()
                .sorted(
                        Comparator.comparingLong((HostId host) -> score(key, host))
                                .reversed()
                                .thenComparing(Comparator.naturalOrder()))
                .collect(Collectors.toList());
    }

    /** Returns a number from 0 (inclusive) to {@code buckets} (exclusive) by the key's hash. */
    public static int bucket(String key, int buckets) {
        return (int) Math.floorMod(hash(key), (long) buckets);
    }

    /** Returns the hash of a host id, for use with {@link #score(long, long)}. */
    public static long hashOf(HostId host) {
        return hash(host.value());
    }

    /** Returns the score of a host for a key, both given by their hashes; the highest one wins. */
    public static long score(long hostHash, long keyHash) {
        return Hashing.murmur3_128().newHasher().putLong(hostHash).putLong(keyHash).hash().asLong();
    }

    private static long score(String key, HostId host) {
        return hash(host.value() + '\n' + key);
    }

    private static long hash(String text) {
        return Hashing.murmur3_128().hashString(text, StandardCharsets.UTF_8).asLong();
    }
}
