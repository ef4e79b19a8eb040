package org.coltsfootproxy.direct;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.base.TargetId;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that the parts of all hosts add up to no more than the whole. */
public final class CallerSharesTest {
    private static final long SECOND = TimeUnit.SECONDS.toNanos(1);
    private static final int CALLS = 23;

    private static List<HostId> hosts(int role, int count) {
        return IntStream.rangeClosed(1, count)
                .mapToObj(n -> HostId.of("10.0." + role + "." + n))
                .toList();
    }

    private static CallerShares sharesOf(
            HostId self, List<HostId> entries, List<HostId> stores, long now) {
        var shares = new CallerShares();
        shares.started(0);
        update(shares, self, entries, stores, now);
        return shares;
    }

    private static void update(
            CallerShares shares, HostId self, List<HostId> entries, List<HostId> stores, long now) {
        List<HostId> all = Stream.concat(entries.stream(), stores.stream()).toList();
        shares.hosts(self, self.value().startsWith("10.0.2."), all, entries, now);
        shares.version(now);
    }

    private static int sum(List<HostId> entries, List<HostId> stores, TargetId target, long now) {
        return Stream.concat(entries.stream(), stores.stream())
                .mapToInt(host -> sharesOf(host, entries, stores, now).of(target, CALLS))
                .sum();
    }

    @DataProvider
    Object[][] fleets() {
        return new Object[][] {{1, 0}, {1, 1}, {5, 4}, {19, 6}, {20, 5}, {23, 8}, {100, 20}};
    }

    /** Guards against a target getting more than it stands while no host hears another. */
    @Test(dataProvider = "fleets")
    public void thePartsUseTheWholeButOneCallForAHostThatJoins(int entries, int stores) {
        for (int n = 0; n < 20; n++) {
            TargetId target = TargetId.of("lm-" + n);
            int sum = sum(hosts(2, entries), hosts(1, stores), target, 60 * SECOND);
            assertEquals(sum, CALLS - 1, target.value());
        }
    }

    /** Guards against hosts that have just started dividing by too few hosts. */
    @Test
    public void aHostThatHasJustStartedTakesOneCallAtMost() {
        List<HostId> first = hosts(2, 1);
        CallerShares shares = sharesOf(first.get(0), first, List.of(), SECOND);
        assertEquals(shares.of(TargetId.of("lm-1"), CALLS), 1);
        assertTrue(shares.version(60 * SECOND) > 0);
        assertEquals(shares.of(TargetId.of("lm-1"), CALLS), CALLS - 1);
    }

    /**
     * Guards against the part of an unreachable host being given to others while it still sends.
     */
    @Test
    public void aHostThatLeavesTheRosterKeepsItsPartForAWhile() {
        List<HostId> entries = hosts(2, 2);
        TargetId target = TargetId.of("lm-1");
        CallerShares shares = sharesOf(entries.get(0), entries, List.of(), 20 * SECOND);
        update(shares, entries.get(0), entries.subList(0, 1), List.of(), 21 * SECOND);
        assertEquals(shares.of(target, CALLS), (CALLS - 1) / 2);
        update(shares, entries.get(0), entries.subList(0, 1), List.of(), 45 * SECOND);
        assertEquals(shares.of(target, CALLS), (CALLS - 1) / 2);
        int version = shares.version(50 * SECOND);
        assertTrue(shares.version(51 * SECOND) > version);
        assertEquals(shares.of(target, CALLS), CALLS - 1);
    }

    /** Guards against calls to a host that knows of no other being unlimited. */
    @Test
    public void aHostWithoutARosterGetsNothing() {
        assertEquals(new CallerShares().of(TargetId.of("lm-1"), CALLS), 0);
    }
}
