package org.coltsfootproxy.platform;

import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;

/** Tests that entries avoid a target that tells that its work takes longer. */
public final class SlowTargetTest {
    private static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);
    private static final int ENTRIES = 5;
    private static final int TARGETS = 8;

    /** Guards against a figure that is decoded and changes no choice, from header to target. */
    @Test
    public void aSlowTargetGetsFewerRequestsThanTheOthers() {
        Random random = new Random(4);
        PlatformSimulation simulation = PlatformSimulation.startServing(4, ENTRIES);
        List<SimulatedTarget> targets = new ArrayList<>();
        for (int i = 3; i < 3 + TARGETS; i++) {
            targets.add(
                    simulation.target("lm-" + i, PlatformSimulation.LM_SERVICE, "z" + (1 + i % 3)));
        }
        targets.forEach(target -> target.mSpeed = ",100");
        targets.get(0).mSpeed = ",250";
        targets.get(0).mEventIntervalNanos = 50 * MILLI;
        simulation.run(3_000 * MILLI);
        for (int i = 0; i < 600; i++) {
            simulation.request(simulation.entry(random.nextInt(ENTRIES)), "q" + i, "/ask/" + i);
            simulation.run(10 * MILLI);
        }

        int slow = targets.get(0).mArrivals.size();
        double others =
                targets.stream().skip(1).mapToInt(t -> t.mArrivals.size()).average().orElseThrow();
        assertTrue(slow > 0 && slow < 0.5 * others, slow + ", others " + others);
    }
}
