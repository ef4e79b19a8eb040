package org.coltsfootproxy.base;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Collectors;

/**
 * Ranks hosts for a key so that all who know the same hosts agree and a change of one host moves
 * only what it held.
 */
public final class RendezvousHash {
    private RendezvousHash() {}

    /** Returns the hosts, best first for the key; costs n log n. */
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

    /** Returns a number from 0 to below {@code buckets} that depends on the key alone. */
    public static int bucket(String key, int buckets) {
        return (int) Math.floorMod(hash(key), (long) buckets);
    }

    /** Returns the fixed hash of a host for {@link #score(long, long)}. */
    public static long hashOf(HostId host) {
        return hash(host.value());
    }

    /** Returns the rank of a host for a key, both given by their hashes; the highest is best. */
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
