package org.coltsfootproxy.base;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests {@link StateChart}. */
public final class StateChartTest {
    enum Door {
        OPEN,
        SHUT,
        GONE
    }

    enum Push {
        PUSH,
        REMOVE
    }

    @Test
    public void aChartFollowsItsTransitionsAndStaysInATerminalState() {
        StateChart<Door, Push> chart = StateChart.load("test-door", Door.class, Push.class);

        assertEquals(chart.next(chart.initial(), Push.PUSH), Door.SHUT);
        assertEquals(chart.next(Door.SHUT, Push.PUSH), Door.SHUT);
        assertEquals(chart.next(Door.GONE, Push.PUSH), Door.GONE);
        assertTrue(chart.isTerminal(Door.GONE));
    }

    @DataProvider
    Object[][] brokenCharts() {
        return new Object[][] {
            {"test-unreachable", "can't be reached"},
            {"test-incomplete", "neither handles nor ignores"},
            {"test-unknown-event", "unknown Push"},
        };
    }

    @Test(dataProvider = "brokenCharts")
    public void anInvalidChartIsRefusedWithTheReason(String name, String reason) {
        var error =
                expectThrows(
                        IllegalArgumentException.class,
                        () -> StateChart.load(name, Door.class, Push.class));

        assertTrue(error.getMessage().contains(reason), error.getMessage());
    }

    @Test
    public void aMissingChartIsRefused() {
        assertThrows(
                IllegalArgumentException.class,
                () -> StateChart.load("nowhere", Door.class, Push.class));
    }
}
