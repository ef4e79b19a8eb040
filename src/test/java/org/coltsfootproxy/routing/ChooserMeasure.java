package org.coltsfootproxy.routing;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import java.util.function.Supplier;
import org.coltsfootproxy.base.DataCentre;
import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.base.Incarnation;
import org.coltsfootproxy.base.TargetId;
import org.coltsfootproxy.config.Service.ServiceTarget;
import org.testng.annotations.Test;

/**
 * Measures the least-loaded chooser against round robin.
 *
 * <p>Runs only if it is named explicitly.
 */
public final class ChooserMeasure {
    private static final int AGENTS = 16;
    private static final int CONCURRENCY_LIMIT = 10;
    private static final int STEPS = 200_000;
    private static final int REPORT_INTERVAL_STEPS = 200;
    private static final double ARRIVALS_PER_STEP = 0.85;
    private static final long STEP_NANOS = 1_000_000;
    private static final int PREFIXES = 200;

    /** An agent whose requests end after a random time; the last agent is three times as slow. */
    private static final class Agent {
        private final List<Long> mEndSteps = new ArrayList<>();
        private final Map<Long, Boolean> mPrefixCache =
                new LinkedHashMap<>(16, 0.75f, true) {
                    @Override
                    protected boolean removeEldestEntry(Map.Entry<Long, Boolean> eldest) {
                        return size() > 24;
                    }
                };
    }

    @Test
    public void figuresOfTheChoosers() {
        DataCentre localDataCentre = DataCentre.of("solway");
        ChooserSettings standard = ChooserSettings.defaults();
        Map<String, Supplier<AgentChooser>> choosers = new LinkedHashMap<>();
        choosers.put("round robin", AgentChooser::roundRobin);
        for (int candidates : new int[] {1, 2, 3, 16}) {
            ChooserSettings withoutAffinity =
                    new ChooserSettings(
                            16, candidates, 0, 0, standard.maxReportAgeNanos(), 3, 1, 1, 0.5);
            choosers.put(
                    "best of " + candidates,
                    () ->
                            AgentChooser.leastLoaded(
                                    HostId.of("entry"),
                                    localDataCentre,
                                    withoutAffinity,
                                    new Random(1)));
        }
        choosers.put(
                "best of 3 with affinity",
                () ->
                        AgentChooser.leastLoaded(
                                HostId.of("entry"), localDataCentre, standard, new Random(1)));
        choosers.forEach((name, factory) -> run(name, factory.get(), localDataCentre));
    }

    private static void run(String name, AgentChooser chooser, DataCentre localDataCentre) {
        Random random = new Random(7);
        List<Agent> agents = new ArrayList<>();
        List<ServiceTarget> targets = new ArrayList<>();
        for (int i = 0; i < AGENTS; i++) {
            agents.add(new Agent());
            HostId host = HostId.of("agent-" + i);
            targets.add(
                    new ServiceTarget(TargetId.of("t-" + i), localDataCentre, host, "10.0.0.1:1"));
        }
        chooser.targets(targets);
        targets.forEach(t -> chooser.up(t.agent(), Incarnation.of(1)));
        List<Integer> loads = new ArrayList<>();
        long cacheHits = 0;
        long choiceNanos = 0;
        for (long step = 0; step < STEPS; step++) {
            finish(chooser, agents, targets, step);
            if (random.nextDouble() < ARRIVALS_PER_STEP) {
                long prefix = (long) (PREFIXES * Math.pow(random.nextDouble(), 3));
                long start = System.nanoTime();
                long now = step * STEP_NANOS;
                HostId chosen =
                        chooser.choose(OptionalLong.of(prefix), Set.of(), now).orElseThrow();
                choiceNanos += System.nanoTime() - start;
                int index = Integer.parseInt(chosen.value().substring("agent-".length()));
                chooser.sent(chosen, now);
                Agent agent = agents.get(index);
                cacheHits += agent.mPrefixCache.put(prefix, true) == null ? 0 : 1;
                loads.add(agent.mEndSteps.size());
                double mean = index == AGENTS - 1 ? 300 : 100;
                agent.mEndSteps.add(step + (long) (-Math.log(1 - random.nextDouble()) * mean));
            }
        }
        loads.sort(null);
        System.out.printf(
                "| %s | %d | %d | %d | %.1f%% | %d |%n",
                name,
                loads.get(loads.size() / 2),
                loads.get(loads.size() * 99 / 100),
                loads.get(loads.size() - 1),
                100.0 * cacheHits / loads.size(),
                choiceNanos / loads.size());
    }

    private static void finish(
            AgentChooser chooser, List<Agent> agents, List<ServiceTarget> targets, long step) {
        for (int i = 0; i < AGENTS; i++) {
            HostId host = targets.get(i).agent();
            List<Long> endSteps = agents.get(i).mEndSteps;
            long endedCount = endSteps.stream().filter(end -> end <= step).count();
            endSteps.removeIf(end -> end <= step);
            for (long j = 0; j < endedCount; j++) {
                chooser.ended(host, Outcome.ANSWERED, step * STEP_NANOS);
            }
            if (step % REPORT_INTERVAL_STEPS == 0) {
                AgentReport report =
                        new AgentReport(
                                host,
                                Incarnation.of(1),
                                false,
                                endSteps.size(),
                                0,
                                CONCURRENCY_LIMIT);
                chooser.report(report, step * STEP_NANOS);
            }
        }
    }
}
