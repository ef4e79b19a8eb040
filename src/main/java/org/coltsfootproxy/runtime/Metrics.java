package org.coltsfootproxy.runtime;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.EnumMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.coltsfootproxy.base.Metric;

/**
 * The metrics of one host.
 *
 * <p>To bound memory, organisations beyond the first {@link #MAX_ORGANISATIONS} share the label
 * value {@code other}.
 */
public final class Metrics {
    /** Number of organisations that have their own label value. */
    static final int MAX_ORGANISATIONS = 64;

    private static final String OTHER_LABEL = "other";
    private static final double[] BUCKETS_SECONDS = {
        0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 0.7, 1, 2, 5, 10, 30, 60
    };

    private final PrometheusRegistry mRegistry = new PrometheusRegistry();
    private final Map<Metric, Recorder> mRecorders = new EnumMap<>(Metric.class);
    private final Set<String> mOrganisations = ConcurrentHashMap.newKeySet();

    /** Records measurements of one metric. */
    @FunctionalInterface
    private interface Recorder {
        void record(String organisation, String trafficClass, double value);
    }

    private Metrics() {
        for (Metric metric : Metric.values()) {
            mRecorders.put(metric, recorder(metric));
        }
    }

    /** Returns a registry without measurements. */
    public static Metrics create() {
        return new Metrics();
    }

    private Recorder recorder(Metric metric) {
        return switch (metric.shape()) {
            case COUNTER -> counter(metric);
            case GAUGE -> gauge(metric);
            case HISTOGRAM -> histogram(metric);
        };
    }

    private Recorder counter(Metric metric) {
        Counter counter =
                Counter.builder()
                        .name(metric.exportedName())
                        .help(metric.help())
                        .labelNames("organisation", "class")
                        .register(mRegistry);
        return (organisation, trafficClass, value) ->
                counter.labelValues(organisation, trafficClass).inc(value);
    }

    private Recorder gauge(Metric metric) {
        Gauge gauge =
                Gauge.builder()
                        .name(metric.exportedName())
                        .help(metric.help())
                        .labelNames("organisation", "class")
                        .register(mRegistry);
        return (organisation, trafficClass, value) ->
                gauge.labelValues(organisation, trafficClass).set(value);
    }

    private Recorder histogram(Metric metric) {
        Histogram histogram =
                Histogram.builder()
                        .name(metric.exportedName())
                        .help(metric.help())
                        .labelNames("organisation", "class")
                        .classicOnly()
                        .classicUpperBounds(BUCKETS_SECONDS)
                        .register(mRegistry);
        return (organisation, trafficClass, value) ->
                histogram.labelValues(organisation, trafficClass).observe(value);
    }

    /**
     * Records one measurement: adds it to a counter, sets a gauge or observes it in a histogram.
     *
     * @param organisation value of the organisation label, or empty
     * @param trafficClass value of the class label, or empty
     */
    public void record(Metric metric, String organisation, String trafficClass, double value) {
        mRecorders.get(metric).record(organisationLabel(organisation), trafficClass, value);
    }

    private String organisationLabel(String organisation) {
        if (organisation.isEmpty() || mOrganisations.contains(organisation)) {
            return organisation;
        }
        if (mOrganisations.size() >= MAX_ORGANISATIONS) {
            return OTHER_LABEL;
        }
        mOrganisations.add(organisation);
        return organisation;
    }

    /** Returns all metrics in the Prometheus text format. */
    public byte[] exposition() {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        try {
            PrometheusTextFormatWriter.create().write(out, mRegistry.scrape());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return out.toByteArray();
    }
}
