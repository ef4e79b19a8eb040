package org.coltsfootproxy.load;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.testng.annotations.Test;

/** Tests {@link RateCheck}. */
public final class RateCheckTest {
    private static final long NANOS_PER_SECOND = 1_000_000_000L;

    /** Reference implementation: counts the requests in each window from a sending to an answer. */
    private static double referenceExcess(
            List<RateCheck.AdmittedRequest> admitted, double rate, double burst) {
        double max = Double.NEGATIVE_INFINITY;
        for (RateCheck.AdmittedRequest from : admitted) {
            for (RateCheck.AdmittedRequest to : admitted) {
                long start = from.sentNanos();
                long end = to.answeredNanos();
                long inWindow =
                        admitted.stream()
                                .filter(p -> p.sentNanos() >= start && p.answeredNanos() <= end)
                                .count();
                if (inWindow > 0) {
                    double seconds = (end - start) / (double) NANOS_PER_SECOND;
                    max = Math.max(max, inWindow - rate * seconds - burst);
                }
            }
        }
        return max;
    }

    @Test
    public void excessIsTheMaximumOverAllWindows() {
        SplittableRandom random = new SplittableRandom(11);
        for (int round = 0; round < 200; round++) {
            List<RateCheck.AdmittedRequest> admitted = new ArrayList<>();
            for (int i = 0; i < 1 + random.nextInt(30); i++) {
                long sent = random.nextLong(10 * NANOS_PER_SECOND);
                admitted.add(
                        new RateCheck.AdmittedRequest(
                                sent, sent + random.nextLong(NANOS_PER_SECOND)));
            }
            assertEquals(RateCheck.excess(admitted, 2, 3), referenceExcess(admitted, 2, 3), 1e-6);
        }
    }

    @Test
    public void requestsThatABucketAdmitsDoNotExceedItsRate() {
        SplittableRandom random = new SplittableRandom(12);
        long[] sent = random.longs(2000, 0, 20 * NANOS_PER_SECOND).sorted().toArray();
        boolean[] admits = RateCheck.bucketAdmits(sent, 10, 5);
        List<RateCheck.AdmittedRequest> admitted = new ArrayList<>();
        for (int i = 0; i < sent.length; i++) {
            if (admits[i]) {
                admitted.add(new RateCheck.AdmittedRequest(sent[i], sent[i]));
            }
        }
        assertTrue(admitted.size() > 190, "admitted " + admitted.size());
        assertTrue(RateCheck.excess(admitted, 10, 5) <= 1e-6);
    }
}
