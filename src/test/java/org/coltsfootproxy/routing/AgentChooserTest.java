package org.coltsfootproxy.routing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.coltsfootproxy.base.DataCentre;
import org.coltsfootproxy.base.ErrorKind;
import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.base.Incarnation;
import org.coltsfootproxy.base.Ran;
import org.coltsfootproxy.base.TargetId;
import org.coltsfootproxy.config.Service.ServiceTarget;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests for {@link AgentChooser} and {@link RetryPolicy}. */
public final class AgentChooserTest {
    private static final DataCentre LOCAL = DataCentre.of("solway");
    private static final DataCentre REMOTE = DataCentre.of("forth");
    private static final Incarnation INCARNATION = Incarnation.of(1);
    private static final long SECOND = 1_000_000_000;
    private static final OptionalLong NO_PREFIX = OptionalLong.empty();

    private static HostId agent(int index) {
        return HostId.of("agent-" + index);
    }

    /** Returns a chooser over agents, of which the first {@code local} are in its data centre. */
    private static AgentChooser chooser(int local, int remote) {
        AgentChooser chooser =
                AgentChooser.leastLoaded(
                        HostId.of("entry"), LOCAL, ChooserSettings.defaults(), new Random(1));
        chooser.targets(
                IntStream.range(0, local + remote)
                        .mapToObj(
                                i ->
                                        new ServiceTarget(
                                                TargetId.of("target-" + i),
                                                i < local ? LOCAL : REMOTE,
                                                agent(i),
                                                "10.0.0.1:1"))
                        .toList());
        IntStream.range(0, local + remote).forEach(i -> chooser.up(agent(i), INCARNATION));
        return chooser;
    }

    private static AgentReport report(int index, boolean draining, int inFlight) {
        return new AgentReport(agent(index), INCARNATION, draining, inFlight, 0, 10);
    }

    private static HostId choose(AgentChooser chooser, long now) {
        HostId chosen = chooser.choose(NO_PREFIX, Set.of(), now).orElseThrow();
        chooser.sent(chosen, now);
        return chosen;
    }

    @Test
    public void loadIsSpreadEvenlyOverTheLocalDataCentre() {
        AgentChooser chooser = chooser(4, 4);
        IntStream.range(0, 8).forEach(i -> chooser.report(report(i, false, 0), 0));
        Map<HostId, Integer> counts = new HashMap<>();
        IntStream.range(0, 32).forEach(i -> counts.merge(choose(chooser, 0), 1, Integer::sum));

        assertEquals(
                counts.keySet(),
                IntStream.range(0, 4).mapToObj(i -> agent(i)).collect(Collectors.toSet()));
        counts.values().forEach(count -> assertEquals(count, 8, 2));
    }

    @Test
    public void requestsGoToOtherDataCentresWhenAllLocalAgentsAreSaturated() {
        AgentChooser chooser = chooser(2, 2);
        chooser.report(report(0, false, 12), 0);
        chooser.report(report(1, false, 11), 0);
        chooser.report(report(2, false, 2), 0);
        chooser.report(report(3, false, 2), 0);

        assertTrue(Set.of(agent(2), agent(3)).contains(choose(chooser, 0)));
    }

    @Test
    public void anExpiredReportIsIgnored() {
        AgentChooser chooser = chooser(2, 0);
        chooser.report(report(0, false, 12), 0);
        chooser.report(report(1, false, 3), 0);
        assertEquals(choose(chooser, 0), agent(1));

        assertEquals(choose(chooser, 10 * SECOND), agent(0));
    }

    @Test
    public void drainingExcludedAndUnreachableAgentsAreNotChosen() {
        AgentChooser chooser = chooser(4, 0);
        chooser.report(report(0, true, 0), 0);
        chooser.down(agent(1));

        Set<HostId> excluded = Set.of(agent(2));
        assertEquals(chooser.choose(NO_PREFIX, excluded, 0), Optional.of(agent(3)));
        Set<HostId> all = Set.of(agent(2), agent(3));
        assertEquals(chooser.choose(NO_PREFIX, all, 0), Optional.empty());
    }

    @Test
    public void requestsWithTheSamePrefixShareAgentsUntilTheseAreBusy() {
        AgentChooser chooser = chooser(10, 0);
        IntStream.range(0, 10).forEach(i -> chooser.report(report(i, false, 1), 0));
        Set<HostId> chosen = new HashSet<>();
        for (int i = 0; i < 4; i++) {
            HostId agent = chooser.choose(OptionalLong.of(42), Set.of(), 0).orElseThrow();
            chooser.sent(agent, 0);
            chosen.add(agent);
        }
        assertTrue(chosen.size() <= 2, "spread over " + chosen);

        chosen.forEach(c -> chooser.report(new AgentReport(c, INCARNATION, false, 9, 0, 10), 0));
        HostId next = chooser.choose(OptionalLong.of(42), Set.of(), 0).orElseThrow();
        assertFalse(chosen.contains(next));
    }

    @Test
    public void aFailingAgentIsEjectedAndProbedByOneRequestAtATime() {
        AgentChooser chooser = chooser(4, 0);
        failRequest(chooser, agent(0), 0);
        failRequest(chooser, agent(0), 0);
        failRequest(chooser, agent(0), 0);
        assertTrue(chooser.isEjected(agent(0), SECOND / 2));

        assertEquals(choose(chooser, 2 * SECOND), agent(0));
        assertFalse(choose(chooser, 2 * SECOND).equals(agent(0)));
        chooser.ended(agent(0), Outcome.ANSWERED, 2 * SECOND);
        assertFalse(chooser.isEjected(agent(0), 2 * SECOND));
    }

    @Test
    public void atMostHalfOfTheAgentsAreEjected() {
        AgentChooser chooser = chooser(4, 0);
        for (int i = 0; i < 4; i++) {
            failRequest(chooser, agent(i), 0);
            failRequest(chooser, agent(i), 0);
            failRequest(chooser, agent(i), 0);
        }
        long ejected = IntStream.range(0, 4).filter(i -> chooser.isEjected(agent(i), 1)).count();

        assertEquals(ejected, 2);
    }

    private static void failRequest(AgentChooser chooser, HostId agent, long now) {
        chooser.sent(agent, now);
        chooser.ended(agent, Outcome.FAILED, now);
    }

    @Test
    public void theSubsetIsBoundedAndMostlyLocal() {
        AgentChooser chooser = chooser(100, 100);
        List<HostId> subset = chooser.subset();
        long local = subset.stream().filter(a -> number(a) < 100).count();

        assertEquals(subset.size(), ChooserSettings.defaults().subsetSize());
        assertEquals(local, 12);
    }

    private static int number(HostId agent) {
        return Integer.parseInt(agent.value().substring("agent-".length()));
    }

    @DataProvider
    public static Object[][] retries() {
        var retry = RetryPolicy.Verdict.RETRY;
        var answer = RetryPolicy.Verdict.ANSWER;
        var cut = RetryPolicy.Verdict.CUT;
        var lost = ErrorKind.ANSWER_LOST;
        var busy = ErrorKind.OVERLOADED;
        var bad = ErrorKind.MALFORMED_REQUEST;
        var no = Ran.NO;
        var maybe = Ran.MAYBE;
        return new Object[][] {
            {new FailedAttempt(busy, no, false, false, 1, SECOND), retry},
            {new FailedAttempt(lost, maybe, true, false, 1, SECOND), retry},
            {new FailedAttempt(lost, maybe, false, false, 1, SECOND), answer},
            {new FailedAttempt(lost, maybe, true, true, 1, SECOND), cut},
            {new FailedAttempt(busy, no, false, false, 3, SECOND), answer},
            {new FailedAttempt(busy, no, false, false, 1, 0), answer},
            {new FailedAttempt(bad, no, true, false, 1, SECOND), answer},
        };
    }

    @Test(dataProvider = "retries")
    public void aFailedAttemptIsRetriedOnlyIfThatIsSafe(
            FailedAttempt failed, RetryPolicy.Verdict verdict) {
        assertEquals(RetryPolicy.of(3, 1, RetryBudget.of(0.1, 1)).after(failed), verdict);
    }

    @Test
    public void retriesStayBelowTheirShareOfRequests() {
        RetryPolicy policy = RetryPolicy.of(3, 0, RetryBudget.of(0.1, 10));
        var busy = ErrorKind.OVERLOADED;
        var no = Ran.NO;
        int retries = 0;
        for (int i = 0; i < 1_000; i++) {
            policy.recordFirstAttempt();
            FailedAttempt failed = new FailedAttempt(busy, no, true, false, 1, SECOND);
            retries += policy.after(failed) == RetryPolicy.Verdict.RETRY ? 1 : 0;
        }

        assertEquals(retries, 109, 1);
    }
}
