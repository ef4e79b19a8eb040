package org.coltsfootproxy.direct;

import static org.testng.Assert.assertEquals;

import org.testng.annotations.Test;

/** Tests of {@link OnlinePeak}. */
public final class OnlinePeakTest {
    private static final long WINDOW = OnlinePeak.WINDOW_NANOS;

    /** Guards against a lull between two fluctuations of a peak being taken for its end. */
    @Test
    public void theHighestNumberHoldsForTheWholeWindow() {
        OnlinePeak peak = new OnlinePeak();
        peak.observe(12, 0);
        peak.observe(3, WINDOW / 2);
        assertEquals(peak.highest(WINDOW - 1), 12);
        assertEquals(peak.highest(WINDOW), 3);
    }

    /** Guards against a peak that is over keeping slots free for ever. */
    @Test
    public void afterTheWindowOnlyTheLatestNumberCounts() {
        OnlinePeak peak = new OnlinePeak();
        peak.observe(12, 0);
        peak.observe(5, 1);
        peak.observe(7, 2);
        assertEquals(peak.highest(10 * WINDOW), 7);
    }

    /** Guards against an unobserved service appearing busy. */
    @Test
    public void withoutObservationsNothingIsReserved() {
        assertEquals(new OnlinePeak().highest(0), 0);
        assertEquals(new StartPacer().reserved(0, 0), 0);
    }
}
