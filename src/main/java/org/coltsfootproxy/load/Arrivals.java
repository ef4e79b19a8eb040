package org.coltsfootproxy.load;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import java.util.stream.Stream;

/**
 * When requests are sent: a Poisson process for each stream, drawn before the run, so that no
 * answer can hold a request back.
 */
final class Arrivals {
    private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

    private Arrivals() {}

    /**
     * One request to come.
     *
     * @param nanos intended time from the start of the run
     * @param stream place of its stream in the scenario
     * @param number number of the request in its stream
     * @param draw random number for choices about this request
     */
    record Arrival(long nanos, int stream, int number, int draw) {}

    /** Returns all arrivals of a scenario in the order of time; the same for the same seed. */
    static List<Arrival> of(LoadScenario scenario) {
        SplittableRandom root = new SplittableRandom(scenario.seed());
        List<SplittableRandom> randoms = scenario.online().stream().map(s -> root.split()).toList();
        Stream<Arrival> all =
                IntStream.range(0, randoms.size())
                        .boxed()
                        .flatMap(i -> stream(scenario, i, randoms.get(i)).stream());
        return all.sorted(Comparator.comparingLong(Arrival::nanos))
                .limit(scenario.maxRequests())
                .toList();
    }

    private static List<Arrival> stream(LoadScenario scenario, int index, SplittableRandom random) {
        LoadScenario.OnlineStream stream = scenario.online().get(index);
        double peak = stream.perSecond() * peakFactor(stream);
        List<Arrival> arrivals = new ArrayList<>();
        double seconds = exponential(random, peak);
        while (seconds < scenario.seconds() && arrivals.size() < scenario.maxRequests()) {
            // Thinning: draw at the highest rate and keep the share that is due now.
            if (random.nextDouble() * peak < stream.perSecond() * factor(stream, seconds)) {
                long nanos = (long) (seconds * NANOS_PER_SECOND);
                arrivals.add(new Arrival(nanos, index, arrivals.size(), random.nextInt() >>> 1));
            }
            seconds += exponential(random, peak);
        }
        return arrivals;
    }

    private static double exponential(SplittableRandom random, double perSecond) {
        return -Math.log(1 - random.nextDouble()) / perSecond;
    }

    private static double peakFactor(LoadScenario.OnlineStream stream) {
        return Math.max(
                1,
                stream.bursts().stream().mapToDouble(LoadScenario.Burst::factor).max().orElse(1));
    }

    private static double factor(LoadScenario.OnlineStream stream, double seconds) {
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
