package org.coltsfootproxy.load;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.ToLongFunction;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.HdrHistogram.Histogram;

/** Computes the figures of a report from the outcomes of requests and jobs. */
final class Figures {
    private static final double NANOS_PER_MILLI = TimeUnit.MILLISECONDS.toNanos(1);
    private static final long NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);
    private static final long MAX_LATENCY_MICROS = TimeUnit.MINUTES.toMicros(10);
    private static final int SIGNIFICANT_DIGITS = 3;
    private static final double[] CURVE_PERCENTILES = {
        0, 10, 25, 50, 75, 90, 95, 99, 99.5, 99.9, 100
    };

    private final LoadScenario mScenario;
    private final List<Outcome> mOutcomes;

    Figures(LoadScenario scenario, List<Outcome> outcomes) {
        mScenario = scenario;
        mOutcomes = outcomes;
    }

    List<LoadReport.StreamFigures> streams() {
        Map<Integer, List<Outcome>> byStream =
                mOutcomes.stream().collect(Collectors.groupingBy(Outcome::streamIndex));
        return IntStream.range(0, mScenario.online().size())
                .mapToObj(i -> stream(i, byStream.getOrDefault(i, List.of())))
                .toList();
    }

    private LoadReport.StreamFigures stream(int index, List<Outcome> outcomes) {
        LoadScenario.OnlineStream stream = mScenario.online().get(index);
        return new LoadReport.StreamFigures(
                stream.name(),
                stream.organisation(),
                outcomes.size(),
                count(outcomes, Outcome::isAnswered),
                count(outcomes, Figures::isRefused),
                count(outcomes, Figures::isBroken),
                latency(outcomes, Outcome::firstByteLatencyNanos),
                latency(outcomes, Outcome::latencyNanos));
    }

    private static long count(
            List<Outcome> outcomes, java.util.function.Predicate<Outcome> predicate) {
        return outcomes.stream().filter(predicate).count();
    }

    private static boolean isRefused(Outcome outcome) {
        return !outcome.isAnswered() && outcome.status() > 0;
    }

    private static boolean isBroken(Outcome outcome) {
        return !outcome.isAnswered() && outcome.status() == 0;
    }

    private static LoadReport.Latency latency(
            List<Outcome> outcomes, ToLongFunction<Outcome> latencyNanosOf) {
        Histogram histogram = new Histogram(MAX_LATENCY_MICROS, SIGNIFICANT_DIGITS);
        outcomes.stream()
                .filter(Outcome::isAnswered)
                .mapToLong(o -> TimeUnit.NANOSECONDS.toMicros(latencyNanosOf.applyAsLong(o)))
                .forEach(v -> histogram.recordValue(Math.max(0, Math.min(MAX_LATENCY_MICROS, v))));
        List<LoadReport.Point> curve =
                java.util.Arrays.stream(CURVE_PERCENTILES)
                        .mapToObj(p -> new LoadReport.Point(p, millis(histogram, p)))
                        .toList();
        return new LoadReport.Latency(
                millis(histogram, 50),
                millis(histogram, 95),
                millis(histogram, 99),
                millis(histogram, 100),
                curve);
    }

    private static double millis(Histogram histogram, double percentile) {
        return histogram.getValueAtPercentile(percentile) / 1000.0;
    }

    List<LoadReport.OrganisationFigures> organisations() {
        Map<String, List<Outcome>> byOrganisation =
                mOutcomes.stream()
                        .collect(
                                Collectors.groupingBy(
                                        o ->
                                                mScenario
                                                        .online()
                                                        .get(o.streamIndex())
                                                        .organisation()));
        return mScenario.organisations().stream()
                .map(s -> organisation(s, byOrganisation.getOrDefault(s.id(), List.of())))
                .toList();
    }

    private LoadReport.OrganisationFigures organisation(
            LoadScenario.Sender sender, List<Outcome> outcomes) {
        Map<String, Long> refusals =
                outcomes.stream()
                        .filter(o -> !o.isAnswered())
                        .collect(
                                Collectors.groupingBy(
                                        Outcome::kind, TreeMap::new, Collectors.counting()));
        return new LoadReport.OrganisationFigures(
                sender.id(),
                sender.ratePerSecond(),
                (double) outcomes.size() / mScenario.seconds(),
                (double) count(outcomes, Outcome::isAnswered) / mScenario.seconds(),
                refusedWithinRate(sender, outcomes),
                refusals);
    }

    private static long refusedWithinRate(LoadScenario.Sender sender, List<Outcome> outcomes) {
        List<Outcome> sent =
                outcomes.stream().sorted(Comparator.comparingLong(Outcome::sentNanos)).toList();
        boolean[] admits =
                RateCheck.bucketAdmits(
                        sent.stream().mapToLong(Outcome::sentNanos).toArray(),
                        sender.ratePerSecond(),
                        sender.burst());
        return IntStream.range(0, admits.length)
                .filter(i -> admits[i] && sent.get(i).isOverRate())
                .count();
    }

    List<LoadReport.Second> timeline() {
        Map<Integer, List<Outcome>> bySecond =
                mOutcomes.stream()
                        .collect(
                                Collectors.groupingBy(
                                        o -> (int) (o.intendedNanos() / NANOS_PER_SECOND)));
        return IntStream.range(0, mScenario.seconds())
                .mapToObj(s -> second(s, bySecond.getOrDefault(s, List.of())))
                .toList();
    }

    private static LoadReport.Second second(int second, List<Outcome> outcomes) {
        return new LoadReport.Second(
                second,
                outcomes.size(),
                count(outcomes, Outcome::isAnswered),
                count(outcomes, Figures::isRefused),
                count(outcomes, Figures::isBroken));
    }

    static List<LoadReport.JobFigures> jobs(List<JobObservation> jobs) {
        Function<JobObservation, LoadReport.JobFigures> figures =
                j ->
                        new LoadReport.JobFigures(
                                j.jobId(),
                                j.accepted() ? j.state() : "not accepted: " + j.detail(),
                                j.job().items(),
                                j.items().stream().filter(i -> i.state().equals("done")).count(),
                                j.finishedNanos() == 0
                                        ? 0
                                        : (j.finishedNanos() - j.submittedNanos())
                                                / NANOS_PER_MILLI
                                                / 1000);
        return jobs.stream().map(figures).toList();
    }
}
