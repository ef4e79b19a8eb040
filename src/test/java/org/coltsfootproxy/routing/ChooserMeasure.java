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

/** Measures the choice of agents against round robin; run by name. */
public final class ChooserMeasure {
    private static final int AGENTS = 16;
    private static final int LIMIT = 10;
    private static final int STEPS = 200_000;
    private static final int REPORT_LAG = 200;
    private static final double ARRIVALS = 0.85;
    private static final long STEP_NANOS = 1_000_000;
    private static final int PREFIXES = 200;

    /** One agent whose requests end after a random time; the last one is three times as slow. */
    private static final class Agent {
        private final List<Long> mEnds = new ArrayList<>();
        private final Map<Long, Boolean> mCache =
                new LinkedHashMap<>(16, 0.75f, true) {
                    @Override
                    protected boolean removeEldestEntry(Map.Entry<Long, Boolean> eldest) {
                        return size() > 24;
                    }
                };
    }

    @Test
    public void figuresOfTheChoosers() {
        DataCentre here = DataCentre.of("solway");
        ChooserSettings d = ChooserSettings.defaults();
        Map<String, Supplier<AgentChooser>> choosers = new LinkedHashMap<>();
        choosers.put("round robin", AgentChooser::roundRobin);
        for (int candidates : new int[] {1, 2, 3, 16}) {
            ChooserSettings plain =
                    new ChooserSettings(16, candidates, 0, 0, d.reportLifeNanos(), 3, 1, 1, 0.5);
            choosers.put(
                    "best of " + candidates,
                    () -> AgentChooser.leastLoaded(HostId.of("entry"), here, plain, new Random(1)));
        }
        choosers.put(
                "best of 3 with affinity",
                () -> AgentChooser.leastLoaded(HostId.of("entry"), here, d, new Random(1)));
        choosers.forEach((name, maker) -> run(name, maker.get(), here));
    }

    private static void run(String name, AgentChooser chooser, DataCentre here) {
        Random random = new Random(7);
        List<Agent> agents = new ArrayList<>();
        List<ServiceTarget> targets = new ArrayList<>();
        for (int i = 0; i < AGENTS; i++) {
            agents.add(new Agent());
            HostId host = HostId.of("agent-" + i);
            targets.add(new ServiceTarget(TargetId.of("t-" + i), here, host, "10.0.0.1:1"));
        }
        chooser.targets(targets);
        targets.forEach(t -> chooser.up(t.agent(), Incarnation.of(1)));
        List<Integer> loads = new ArrayList<>();
        long hits = 0;
        long cpu = 0;
        for (long step = 0; step < STEPS; step++) {
            finish(chooser, agents, targets, step);
            if (random.nextDouble() < ARRIVALS) {
                long prefix = (long) (PREFIXES * Math.pow(random.nextDouble(), 3));
                long start = System.nanoTime();
                long now = step * STEP_NANOS;
                HostId chosen =
                        chooser.choose(OptionalLong.of(prefix), Set.of(), now).orElseThrow();
                cpu += System.nanoTime() - start;
                int index = Integer.parseInt(chosen.value().substring("agent-".length()));
                chooser.sent(chosen, now);
                Agent agent = agents.get(index);
                hits += agent.mCache.put(prefix, true) == null ? 0 : 1;
                loads.add(agent.mEnds.size());
                double mean = index == AGENTS - 1 ? 300 : 100;
                agent.mEnds.add(step + (long) (-Math.log(1 - random.nextDouble()) * mean));
            }
        }
        loads.sort(null);
        System.out.printf(
                "| %s | %d | %d | %d | %.1f%% | %d |%n",
                name,
                loads.get(loads.size() / 2),
                loads.get(loads.size() * 99 / 100),
                loads.get(loads.size() - 1),
                100.0 * hits / loads.size(),
                cpu / loads.size());
    }

    private static void finish(
            AgentChooser chooser, List<Agent> agents, List<ServiceTarget> targets, long step) {
        for (int i = 0; i < AGENTS; i++) {
            HostId host = targets.get(i).agent();
            List<Long> ends = agents.get(i).mEnds;
            long over = ends.stream().filter(end -> end <= step).count();
            ends.removeIf(end -> end <= step);
            for (long j = 0; j < over; j++) {
                chooser.ended(host, Outcome.ANSWERED, step * STEP_NANOS);
            }
            if (step % REPORT_LAG == 0) {
                AgentReport report =
                        new AgentReport(host, Incarnation.of(1), false, ends.size(), 0, LIMIT);
                chooser.report(report, step * STEP_NANOS);
            }
        }
    }
}
