package org.coltsfootproxy.work;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.OptionalDouble;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;

/** Tests of {@link TargetSpeed}. */
public final class TargetSpeedTest {
    private static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);

    private final Random mRandom = new Random(3);

    private double noise() {
        return Math.exp(0.3 * mRandom.nextGaussian());
    }

    private static void assertNear(double actual, double expected) {
        assertTrue(Math.abs(actual / expected - 1) < 0.2, actual + " is not near " + expected);
    }

    /** Guards against a slow target that never tells its speed and counts as fast. */
    @Test
    public void aTargetThatTellsNothingIsKnownByItsCalls() {
        TargetSpeed speed = new TargetSpeed();
        assertEquals(speed.current(0), 1.0);
        for (int i = 0; i < 200; i++) {
            speed.observed(1.3 * noise(), OptionalDouble.empty());
        }

        assertNear(speed.current(0), 1.3);
    }

    /** Guards against an old figure that outlives the phase in which it was true. */
    @Test
    public void aFigureCountsWhileItIsFresh() {
        TargetSpeed speed = new TargetSpeed();
        speed.told(2.5, 0);

        assertEquals(speed.current(499 * MILLI), 2.5);
        assertEquals(speed.current(500 * MILLI), 1.0);
    }

    /** Guards against a machine's lasting slowness that is counted twice or not at all. */
    @Test
    public void aFigureMayOrMayNotIncludeTheMachinesLastingSpeed() {
        TargetSpeed relative = new TargetSpeed();
        TargetSpeed absolute = new TargetSpeed();
        for (int i = 0; i < 400; i++) {
            double phase = i % 5 == 0 ? 2.5 : 1;
            relative.observed(1.3 * phase * noise(), OptionalDouble.of(phase));
            absolute.observed(1.3 * phase * noise(), OptionalDouble.of(1.3 * phase));
        }
        relative.told(2.5, 0);
        absolute.told(3.25, 0);

        assertNear(relative.current(0), 3.25);
        assertNear(absolute.current(0), 3.25);
    }

    /** Guards against a target that draws calls, or repels them, by false figures. */
    @Test
    public void figuresThatExplainNothingAreIgnored() {
        TargetSpeed speed = new TargetSpeed();
        for (int i = 0; i < 400; i++) {
            speed.observed(noise(), OptionalDouble.of(mRandom.nextBoolean() ? 0.2 : 5));
        }
        speed.told(0.2, 0);

        assertNear(speed.current(0), 1);
    }
}
