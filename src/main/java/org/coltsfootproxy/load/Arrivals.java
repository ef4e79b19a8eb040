package org.coltsfootproxy.load;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import java.util.stream.Stream;

/**
 * Generates the arrival times of online requests: one Poisson process per stream, drawn before the
 * run, so that slow answers can't delay later requests.
 */
final class Arrivals {
    private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

    private Arrivals() {}

    /**
     * One scheduled request.
     *
     * @param intendedNanos scheduled sending time from the start of the run
     * @param streamIndex index of its stream in {@link LoadScenario#online}
     * @param number index of the request in its stream
     * @param randomBits non-negative random number that selects the entry and the prompt
     */
    record Arrival(long intendedNanos, int streamIndex, int number, int randomBits) {}

    /** Returns all arrivals of a scenario in order of time; deterministic for a given seed. */
    static List<Arrival> of(LoadScenario scenario) {
        SplittableRandom seedSource = new SplittableRandom(scenario.seed());
        List<SplittableRandom> randoms =
                scenario.online().stream().map(s -> seedSource.split()).toList();
        Stream<Arrival> all =
                IntStream.range(0, randoms.size())
                        .boxed()
                        .flatMap(i -> streamArrivals(scenario, i, randoms.get(i)).stream());
        return all.sorted(Comparator.comparingLong(Arrival::intendedNanos))
                .limit(scenario.maxRequests())
                .toList();
    }

    private static List<Arrival> streamArrivals(
            LoadScenario scenario, int index, SplittableRandom random) {
        LoadScenario.OnlineStream stream = scenario.online().get(index);
        double peak = stream.perSecond() * peakRateFactor(stream);
        List<Arrival> arrivals = new ArrayList<>();
        double seconds = exponentialSeconds(random, peak);
        while (seconds < scenario.seconds() && arrivals.size() < scenario.maxRequests()) {
            // Thinning: draws candidates at the peak rate and accepts a share of rate / peak.
            if (random.nextDouble() * peak < stream.perSecond() * rateFactor(stream, seconds)) {
                long nanos = (long) (seconds * NANOS_PER_SECOND);
                arrivals.add(new Arrival(nanos, index, arrivals.size(), random.nextInt() >>> 1));
            }
            seconds += exponentialSeconds(random, peak);
        }
        return arrivals;
    }

    private static double exponentialSeconds(SplittableRandom random, double perSecond) {
        return -Math.log(1 - random.nextDouble()) / perSecond;
    }

    private static double peakRateFactor(LoadScenario.OnlineStream stream) {
        return Math.max(
                1,
                stream.bursts().stream().mapToDouble(LoadScenario.Burst::factor).max().orElse(1));
    }

    private static double rateFactor(LoadScenario.OnlineStream stream, double seconds) {
        return stream.bursts().stream()
                .filter(
                        b ->
                                seconds >= b.fromSeconds()
                                        && seconds < b.fromSeconds() + b.forSeconds())
                .mapToDouble(LoadScenario.Burst::factor)
                .findFirst()
                .orElse(1);
    }
}
