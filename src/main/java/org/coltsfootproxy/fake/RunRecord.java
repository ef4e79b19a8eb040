package org.coltsfootproxy.fake;

import com.google.common.collect.ImmutableSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

/** Counts how often each request ran and notes whether a caller's key arrived. Thread-safe. */
public final class RunRecord {
    /** Names of header fields that carry callers' keys, in lower case. */
    public static final Set<String> KEY_FIELDS =
            ImmutableSet.of("authorization", "proxy-authorization", "x-api-key", "cookie");

    private static final int MAX_IDS = 1_000_000;

    private final Map<String, Integer> mRuns = new ConcurrentHashMap<>();
    private final Map<String, Integer> mCompleted = new ConcurrentHashMap<>();
    private final Set<String> mKeyFields = ConcurrentHashMap.newKeySet();
    private final AtomicLong mRequests = new AtomicLong();

    private RunRecord() {}

    /** Returns an empty record. */
    static RunRecord create() {
        return new RunRecord();
    }

    /**
     * A snapshot of the record.
     *
     * @param requests number of requests received
     * @param runs number of times that each request started to run, by request id
     * @param completed number of complete answers per request id, counted just before they are
     *     written to the network
     * @param keyFields names of header fields with callers' keys that arrived
     * @param doubles ids of requests that started to run more than once
     */
    public record Snapshot(
            long requests,
            Map<String, Integer> runs,
            Map<String, Integer> completed,
            Set<String> keyFields,
            List<String> doubles) {}

    /** Records the arrival of a request with the given header fields. */
    void recordArrival(Set<String> fieldNames) {
        mRequests.incrementAndGet();
        fieldNames.stream()
                .map(n -> n.toLowerCase(Locale.ROOT))
                .filter(KEY_FIELDS::contains)
                .forEach(mKeyFields::add);
    }

    /**
     * Records that a request starts to run and returns how often it has. Beyond {@value #MAX_IDS}
     * ids, new ids are not recorded and 1 is returned.
     */
    int recordStart(String id) {
        return increment(mRuns, id);
    }

    /** Records that the complete answer to a request is about to be sent. */
    void recordCompletion(String id) {
        increment(mCompleted, id);
    }

    private static int increment(Map<String, Integer> counts, String id) {
        return counts.size() < MAX_IDS || counts.containsKey(id)
                ? counts.merge(id, 1, Integer::sum)
                : 1;
    }

    /** Clears the record. */
    void reset() {
        mRuns.clear();
        mCompleted.clear();
        mKeyFields.clear();
        mRequests.set(0);
    }

    /** Returns a snapshot of the record. */
    public Snapshot snapshot() {
        List<String> doubles =
                mRuns.entrySet().stream()
                        .filter(e -> e.getValue() > 1)
                        .map(Map.Entry::getKey)
                        .sorted()
                        .toList();
        return new Snapshot(
                mRequests.get(),
                new TreeMap<>(mRuns),
                new TreeMap<>(mCompleted),
                new TreeSet<>(mKeyFields),
                doubles);
    }
}
