package org.coltsfootproxy.config;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.stream.Stream;

/**
 * The first answers to tickets, so that a resend gets the same one.
 *
 * <p>Memory is bounded: accepted numbers beyond the capacity are forgotten from the lowest on, and
 * the {@link #floor} rises to the highest forgotten one. No number up to the floor is accepted
 * again, so forgetting never lets a ticket in twice. Refusals are forgotten oldest first; they
 * changed nothing.
 */
final class AnswerRecord {
    private final int mMaxAccepted;
    private final int mMaxRefused;
    private final TreeMap<Long, Accepted> mAccepted = new TreeMap<>();
    private final Map<Content, String> mRefused = new LinkedHashMap<>();
    private long mFloor;

    /** An accepted ticket. */
    record Accepted(ContentDigest digest, long version) {}

    /** Number and content of a refused ticket. */
    record Content(long number, ContentDigest digest) {}

    private AnswerRecord(int maxAccepted, int maxRefused) {
        checkArgument(maxAccepted > 0, "maxAccepted %s is not positive", maxAccepted);
        mMaxAccepted = maxAccepted;
        mMaxRefused = maxRefused;
    }

    static AnswerRecord create(int maxAccepted, int maxRefused) {
        return new AnswerRecord(maxAccepted, maxRefused);
    }

    /** Returns the first answer to this number and content, if it is remembered. */
    Optional<Verdict> firstAnswer(long number, ContentDigest digest) {
        Accepted accepted = mAccepted.get(number);
        if (accepted != null && accepted.digest().equals(digest)) {
            return Optional.of(Verdict.accepted(number, accepted.version()));
        }
        return Optional.ofNullable(mRefused.get(new Content(number, digest)))
                .map(detail -> Verdict.refused(Verdict.Outcome.INVALID, number, detail));
    }

    /** Returns the accepted ticket of this number, whatever its content. */
    Optional<Accepted> accepted(long number) {
        return Optional.ofNullable(mAccepted.get(number));
    }

    /** Returns all accepted tickets that are remembered, by number. */
    Stream<Map.Entry<Long, Accepted>> accepted() {
        return mAccepted.entrySet().stream();
    }

    /** Returns all refusals that are remembered, oldest first. */
    Stream<Map.Entry<Content, String>> refused() {
        return mRefused.entrySet().stream();
    }

    /** Returns the number up to which tickets are refused unless remembered. */
    long floor() {
        return mFloor;
    }

    void raiseFloor(long number) {
        mFloor = Math.max(mFloor, number);
    }

    void addAccepted(long number, ContentDigest digest, long version) {
        mAccepted.put(number, new Accepted(digest, version));
        while (mAccepted.size() > mMaxAccepted) {
            raiseFloor(mAccepted.pollFirstEntry().getKey());
        }
    }

    void addRefused(long number, ContentDigest digest, String detail) {
        mRefused.put(new Content(number, digest), detail);
        if (mRefused.size() > mMaxRefused) {
            mRefused.remove(mRefused.keySet().iterator().next());
        }
    }
}
