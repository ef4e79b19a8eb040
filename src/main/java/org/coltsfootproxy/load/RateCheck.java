package org.coltsfootproxy.load;

import java.util.Arrays;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Checks whether more requests of an organisation were admitted than its rate and burst allow.
 *
 * <p>A request is admitted at some time between its sending and the first byte of its answer. So
 * requests that were sent after the start of a window and answered before its end were admitted
 * within the window, independent of the hosts' clocks. The check covers each window from a sending
 * to an answer.
 */
final class RateCheck {
    private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);
    private static final int MAX_WINDOW_STARTS = 4_000;

    private RateCheck() {}

    /**
     * An admitted request, with times in nanoseconds.
     *
     * @param answeredNanos time of the first byte of its answer
     */
    record AdmittedRequest(long sentNanos, long answeredNanos) {}

    /**
     * Returns the largest excess over rate and burst in any window, in requests. The limit was
     * observed if the result is not positive.
     *
     * <p>The time is quadratic in the number of requests. From twice {@value #MAX_WINDOW_STARTS}
     * requests on, only a sample of the window starts is checked.
     */
    static double excess(List<AdmittedRequest> admitted, double ratePerSecond, double burst) {
        AdmittedRequest[] byAnswerTime =
                admitted.stream()
                        .sorted((a, b) -> Long.compare(a.answeredNanos, b.answeredNanos))
                        .toArray(AdmittedRequest[]::new);
        int step = Math.max(1, byAnswerTime.length / MAX_WINDOW_STARTS);
        double max = Double.NEGATIVE_INFINITY;
        for (int i = 0; i < byAnswerTime.length; i += step) {
            max =
                    Math.max(
                            max,
                            maxExcessFrom(byAnswerTime, byAnswerTime[i].sentNanos, ratePerSecond)
                                    - burst);
        }
        return max;
    }

    private static double maxExcessFrom(
            AdmittedRequest[] byAnswerTime, long startNanos, double ratePerSecond) {
        double max = Double.NEGATIVE_INFINITY;
        int count = 0;
        for (AdmittedRequest request : byAnswerTime) {
            if (request.sentNanos >= startNanos) {
                count++;
                double seconds = (request.answeredNanos - startNanos) / NANOS_PER_SECOND;
                max = Math.max(max, count - ratePerSecond * seconds);
            }
        }
        return max;
    }

    /**
     * Returns for each request whether a token bucket would have admitted it at its sending time.
     *
     * @param sentNanos sending times of all requests, in ascending order
     */
    static boolean[] bucketAdmits(long[] sentNanos, double ratePerSecond, double burst) {
        boolean[] admits = new boolean[sentNanos.length];
        double tokens = burst;
        long lastNanos = sentNanos.length == 0 ? 0 : sentNanos[0];
        for (int i = 0; i < sentNanos.length; i++) {
            double refill = (sentNanos[i] - lastNanos) / NANOS_PER_SECOND * ratePerSecond;
            tokens = Math.min(burst, tokens + refill);
            lastNanos = sentNanos[i];
            admits[i] = tokens >= 1;
            tokens -= admits[i] ? 1 : 0;
        }
        return Arrays.copyOf(admits, admits.length);
    }
}
