package org.coltsfootproxy.load;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.testng.annotations.Test;

/** Contract of {@link RateCheck}. */
public final class RateCheckTest {
    private static final long SECOND = 1_000_000_000L;

    /** The oracle: looks at each pair of a sending and an answer and counts anew. */
    private static double worst(List<RateCheck.Passed> passed, double rate, double burst) {
        double worst = Double.NEGATIVE_INFINITY;
        for (RateCheck.Passed from : passed) {
            for (RateCheck.Passed to : passed) {
                long start = from.sentNanos();
                long end = to.answeredNanos();
                long within =
                        passed.stream()
                                .filter(p -> p.sentNanos() >= start && p.answeredNanos() <= end)
                                .count();
                if (within > 0) {
                    double seconds = (end - start) / (double) SECOND;
                    worst = Math.max(worst, within - rate * seconds - burst);
                }
            }
        }
        return worst;
    }

    @Test
    public void theExcessIsThatOfTheWorstWindow() {
        SplittableRandom random = new SplittableRandom(11);
        for (int round = 0; round < 200; round++) {
            List<RateCheck.Passed> passed = new ArrayList<>();
            for (int i = 0; i < 1 + random.nextInt(30); i++) {
                long sent = random.nextLong(10 * SECOND);
                passed.add(new RateCheck.Passed(sent, sent + random.nextLong(SECOND)));
            }
            assertEquals(RateCheck.excess(passed, 2, 3), worst(passed, 2, 3), 1e-6);
        }
    }

    @Test
    public void whatABucketPassesNeverExceedsItsRate() {
        SplittableRandom random = new SplittableRandom(12);
        long[] sent = random.longs(2000, 0, 20 * SECOND).sorted().toArray();
        boolean[] within = RateCheck.within(sent, 10, 5);
        List<RateCheck.Passed> passed = new ArrayList<>();
        for (int i = 0; i < sent.length; i++) {
            if (within[i]) {
                passed.add(new RateCheck.Passed(sent[i], sent[i]));
            }
        }
        assertTrue(passed.size() > 190, "passed " + passed.size());
        assertTrue(RateCheck.excess(passed, 10, 5) <= 1e-6);
    }
}
