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

/**
 * What a target saw: how often each request ran and whether a caller's key arrived. Thread-safe.
 */
public final class RunRecord {
    /** Names of fields that carry callers' keys, in lower case. */
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
     * A record at one time.
     *
     * @param requests requests that arrived
     * @param runs how often each request began to run, by its id
     * @param completed how often each request's answer was about to be handed to the network as a
     *     whole
     * @param keyFields names of fields with callers' keys that arrived
     * @param doubles ids that began to run more than once
     */
    public record Snapshot(
            long requests,
            Map<String, Integer> runs,
            Map<String, Integer> completed,
            Set<String> keyFields,
            List<String> doubles) {}

    /** Notes a request and the names of its fields. */
    void arrived(Set<String> fieldNames) {
        mRequests.incrementAndGet();
        fieldNames.stream()
                .map(n -> n.toLowerCase(Locale.ROOT))
                .filter(KEY_FIELDS::contains)
                .forEach(mKeyFields::add);
    }

    /** Notes that a request began to run and returns how often it has. */
    int started(String id) {
        return add(mRuns, id);
    }

    /** Notes that a request's answer was sent as a whole. */
    void completed(String id) {
        add(mCompleted, id);
    }

    private static int add(Map<String, Integer> counts, String id) {
        return counts.size() < MAX_IDS || counts.containsKey(id)
                ? counts.merge(id, 1, Integer::sum)
                : 1;
    }

    /** Forgets everything. */
    void reset() {
        mRuns.clear();
        mCompleted.clear();
        mKeyFields.clear();
        mRequests.set(0);
    }

    /** Returns the record as it is now. */
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
