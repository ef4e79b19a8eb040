package org.coltsfootproxy.control;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Stream;
import org.coltsfootproxy.base.Metric;
import org.coltsfootproxy.message.ConfigMessage;
import org.coltsfootproxy.node.Effect;

/**
 * Tracks the backlog of batch work of each organisation, from the latest measurements of the job
 * groups that this host leads.
 */
final class BacklogTracker {
    private final Map<String, Map<Metric, Double>> mLatest = new TreeMap<>();

    /** Records a measurement; ignores it if it does not describe the backlog. */
    void update(Effect.Measure measure) {
        boolean isBacklog =
                switch (measure.metric()) {
                    case ITEMS_WAITING, OLDEST_ITEM_SECONDS, JOBS_AT_RISK -> true;
                    default -> false;
                };
        if (isBacklog) {
            mLatest.computeIfAbsent(measure.organisation(), o -> new HashMap<>())
                    .put(measure.metric(), measure.value());
        }
    }

    /** Removes all measurements; called when this host leads no job group. */
    void clear() {
        mLatest.clear();
    }

    /** Returns the backlogs of the organisations that have waiting items. */
    Stream<ConfigMessage.BacklogState> backlogs() {
        return mLatest.entrySet().stream()
                .map(
                        e ->
                                new ConfigMessage.BacklogState(
                                        e.getKey(),
                                        Math.round(value(e.getValue(), Metric.ITEMS_WAITING)),
                                        value(e.getValue(), Metric.OLDEST_ITEM_SECONDS),
                                        Math.round(value(e.getValue(), Metric.JOBS_AT_RISK))))
                .filter(backlog -> backlog.itemsWaiting() > 0);
    }

    private static double value(Map<Metric, Double> values, Metric metric) {
        return values.getOrDefault(metric, 0.0);
    }
}
