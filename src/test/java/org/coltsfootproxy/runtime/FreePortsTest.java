package org.coltsfootproxy.runtime;

import static org.testng.Assert.assertEquals;

import java.util.HashSet;
import java.util.Set;
import org.testng.annotations.Test;

public class FreePortsTest {
    private static final int FLEETS = 3_000;
    private static final int PORTS_PER_FLEET = 9;

    // Guards against a demonstration that gives one port to two of its hosts.
    @Test
    public void noPortIsGivenOutTwiceToOneFleet() throws Exception {
        int fleetsWithRepeatedPort = 0;
        for (int i = 0; i < FLEETS; i++) {
            Set<Integer> ports = new HashSet<>();
            try (FreePorts free = FreePorts.create()) {
                for (int j = 0; j < PORTS_PER_FLEET; j++) {
                    ports.add(free.next());
                }
            }
            fleetsWithRepeatedPort += ports.size() < PORTS_PER_FLEET ? 1 : 0;
        }
        assertEquals(fleetsWithRepeatedPort, 0);
    }
}
