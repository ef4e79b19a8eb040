package org.coltsfootproxy.control;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Stream;
import org.coltsfootproxy.base.Metric;
import org.coltsfootproxy.message.ConfigMessage;
import org.coltsfootproxy.node.Effect;

/**
 * How much batch work waits, by organisation, as the groups of jobs that this host leads have last
 * measured it.
 */
final class BacklogTracker {
    private final Map<String, Map<Metric, Double>> mMeasured = new TreeMap<>();

    /** Notes a measurement if it is about waiting batch work. */
    void note(Effect.Measure measure) {
        boolean isBacklog =
                switch (measure.metric()) {
                    case ITEMS_WAITING, OLDEST_ITEM_SECONDS, JOBS_AT_RISK -> true;
                    default -> false;
                };
        if (isBacklog) {
            mMeasured
                    .computeIfAbsent(measure.organisation(), o -> new HashMap<>())
                    .put(measure.metric(), measure.value());
        }
    }

    /** Forgets everything; called when this host leads no group of jobs. */
    void clear() {
        mMeasured.clear();
    }

    /** Returns the organisations for which work waits. */
    Stream<ConfigMessage.BacklogState> backlogs() {
        return mMeasured.entrySet().stream()
                .map(
                        e ->
                                new ConfigMessage.BacklogState(
                                        e.getKey(),
                                        Math.round(value(e.getValue(), Metric.ITEMS_WAITING)),
                                        value(e.getValue(), Metric.OLDEST_ITEM_SECONDS),
                                        Math.round(value(e.getValue(), Metric.JOBS_AT_RISK))))
                .filter(backlog -> backlog.itemsWaiting() > 0);
    }

    private static double value(Map<Metric, Double> measured, Metric metric) {
        return measured.getOrDefault(metric, 0.0);
    }
}
