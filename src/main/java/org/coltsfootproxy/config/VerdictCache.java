package org.coltsfootproxy.config;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.stream.Stream;

/**
 * The verdicts on recent tickets, so that a resent ticket gets the same verdict.
 *
 * <p>Memory is bounded. Accepted tickets beyond the capacity are evicted from the lowest number on,
 * and the {@link #floor} rises to the highest number evicted. No ticket numbered up to the floor is
 * accepted any more, so eviction never lets a ticket be applied twice. Refusals are evicted oldest
 * first; they changed no state.
 */
final class VerdictCache {
    private final int mMaxAccepted;
    private final int mMaxRefused;
    private final TreeMap<Long, AcceptedTicket> mAccepted = new TreeMap<>();
    private final Map<RefusedTicket, String> mRefused = new LinkedHashMap<>();
    private long mFloor;

    record AcceptedTicket(ContentDigest digest, long version) {}

    /** Identifies a refused ticket by its number and content. */
    record RefusedTicket(long number, ContentDigest digest) {}

    private VerdictCache(int maxAccepted, int maxRefused) {
        checkArgument(maxAccepted > 0, "maxAccepted %s is not positive", maxAccepted);
        mMaxAccepted = maxAccepted;
        mMaxRefused = maxRefused;
    }

    static VerdictCache create(int maxAccepted, int maxRefused) {
        return new VerdictCache(maxAccepted, maxRefused);
    }

    /** Returns the verdict on the ticket with this number and content, if it is cached. */
    Optional<Verdict> cachedVerdict(long number, ContentDigest digest) {
        AcceptedTicket accepted = mAccepted.get(number);
        if (accepted != null && accepted.digest().equals(digest)) {
            return Optional.of(Verdict.accepted(number, accepted.version()));
        }
        return Optional.ofNullable(mRefused.get(new RefusedTicket(number, digest)))
                .map(detail -> Verdict.refused(Verdict.Outcome.INVALID, number, detail));
    }

    /** Returns the accepted ticket with this number, whatever its content, if it is cached. */
    Optional<AcceptedTicket> accepted(long number) {
        return Optional.ofNullable(mAccepted.get(number));
    }

    /** Returns all cached accepted tickets, ordered by number. */
    Stream<Map.Entry<Long, AcceptedTicket>> accepted() {
        return mAccepted.entrySet().stream();
    }

    /** Returns all cached refusals, oldest first. */
    Stream<Map.Entry<RefusedTicket, String>> refused() {
        return mRefused.entrySet().stream();
    }

    /** Returns the number up to which tickets are refused unless their verdict is cached. */
    long floor() {
        return mFloor;
    }

    void raiseFloor(long number) {
        mFloor = Math.max(mFloor, number);
    }

    void addAccepted(long number, ContentDigest digest, long version) {
        mAccepted.put(number, new AcceptedTicket(digest, version));
        while (mAccepted.size() > mMaxAccepted) {
            raiseFloor(mAccepted.pollFirstEntry().getKey());
        }
    }

    void addRefused(long number, ContentDigest digest, String detail) {
        mRefused.put(new RefusedTicket(number, digest), detail);
        if (mRefused.size() > mMaxRefused) {
            mRefused.remove(mRefused.keySet().iterator().next());
        }
    }
}
