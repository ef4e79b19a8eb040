package org.coltsfootproxy.quarantine;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.coltsfootproxy.base.SuspectId;

/** The prompt parts with which calls were answered recently. */
final class SoundParts {
    /**
     * Time after an answer during which a part can't be the suspect of a crash. A part that turns
     * bad, for instance by a new version of a model, becomes a suspect after it.
     */
    static final long VALIDITY_NANOS = TimeUnit.SECONDS.toNanos(30);

    private static final int MAX_PARTS = 4_096;

    /** When the last answer was seen; the least recently answered part first. */
    private final Map<SuspectId, Long> mAnsweredAt =
            new LinkedHashMap<>(16, 0.75f, true) {
                private static final long serialVersionUID = 1L;

                @Override
                protected boolean removeEldestEntry(Map.Entry<SuspectId, Long> eldest) {
                    return size() > MAX_PARTS;
                }
            };

    /** Notes that a call with a part was answered. */
    void answered(SuspectId part, long nowNanos) {
        mAnsweredAt.put(part, nowNanos);
    }

    /** Returns whether a call with a part was answered recently. */
    boolean contains(SuspectId part, long nowNanos) {
        Long answeredAt = mAnsweredAt.get(part);
        return answeredAt != null && nowNanos - answeredAt < VALIDITY_NANOS;
    }
}
