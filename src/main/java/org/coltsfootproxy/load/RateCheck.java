package org.coltsfootproxy.load;

import java.util.Arrays;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Decides whether an organisation passed more requests than its rate and burst allow.
 *
 * <p>A request passed at some time between its sending and the first byte of its answer. So those
 * that were sent after the start of a window and answered before its end passed within it, whatever
 * the clocks of the hosts say. Each window from a sending to an answer is looked at.
 */
final class RateCheck {
    private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);
    private static final int MAX_STARTS = 4_000;

    private RateCheck() {}

    /** A request that passed, with times in nanoseconds. */
    record Passed(long sentNanos, long answeredNanos) {}

    /**
     * Returns the largest excess over all windows in requests; none if it isn't above 0.
     *
     * <p>Takes time in proportion to the square of the requests; beyond {@value #MAX_STARTS} only
     * some windows are looked at.
     */
    static double excess(List<Passed> passed, double ratePerSecond, double burst) {
        Passed[] byAnswer =
                passed.stream()
                        .sorted((a, b) -> Long.compare(a.answeredNanos, b.answeredNanos))
                        .toArray(Passed[]::new);
        int step = Math.max(1, byAnswer.length / MAX_STARTS);
        double worst = Double.NEGATIVE_INFINITY;
        for (int i = 0; i < byAnswer.length; i += step) {
            worst = Math.max(worst, from(byAnswer, byAnswer[i].sentNanos, ratePerSecond) - burst);
        }
        return worst;
    }

    private static double from(Passed[] byAnswer, long start, double ratePerSecond) {
        double worst = Double.NEGATIVE_INFINITY;
        int count = 0;
        for (Passed p : byAnswer) {
            if (p.sentNanos >= start) {
                count++;
                double seconds = (p.answeredNanos - start) / NANOS_PER_SECOND;
                worst = Math.max(worst, count - ratePerSecond * seconds);
            }
        }
        return worst;
    }

    /**
     * Returns how many of the requests a bucket would have passed that sees them as they were sent.
     *
     * @param sentNanos times of all requests in order
     */
    static boolean[] within(long[] sentNanos, double ratePerSecond, double burst) {
        boolean[] within = new boolean[sentNanos.length];
        double tokens = burst;
        long last = sentNanos.length == 0 ? 0 : sentNanos[0];
        for (int i = 0; i < sentNanos.length; i++) {
            double filled = (sentNanos[i] - last) / NANOS_PER_SECOND * ratePerSecond;
            tokens = Math.min(burst, tokens + filled);
            last = sentNanos[i];
            within[i] = tokens >= 1;
            tokens -= within[i] ? 1 : 0;
        }
        return Arrays.copyOf(within, within.length);
    }
}
