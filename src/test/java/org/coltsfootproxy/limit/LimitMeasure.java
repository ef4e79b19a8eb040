package org.coltsfootproxy.limit;

import static org.coltsfootproxy.limit.LimitSimulation.MILLI_NANOS;
import static org.coltsfootproxy.limit.LimitSimulation.SECOND_NANOS;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.base.OrganisationId;
import org.coltsfootproxy.config.ConfigView;
import org.coltsfootproxy.config.Organisation;
import org.testng.annotations.Test;

/**
 * Measures the limiters against each other.
 *
 * <p>Runs only if it is named explicitly, not with the default tests.
 */
public final class LimitMeasure {
    private static final int ENTRIES = 8;
    private static final long WARM_UP_NANOS = 40 * SECOND_NANOS;
    private static final long LENGTH_NANOS = 20 * SECOND_NANOS;
    private static final int SEEDS = 3;
    private static final int ORGANISATIONS = 2_600;
    private static final double FLEET_REQUESTS_PER_SECOND = 2_100;

    private static Map<String, LimitSimulation.LimiterFactory> policies() {
        LimitSettings settings = LimitSettings.defaults();
        Map<String, LimitSimulation.LimiterFactory> policies = new LinkedHashMap<>();
        policies.put(
                "fixed shares",
                (self, incarnation, leases, listener) -> FixedShareLimiter.create(() -> ENTRIES));
        policies.put("ask each time", LimitSimulation.grants(settings.withoutPrefetch()));
        policies.put(
                "grants 50 ms", LimitSimulation.grants(settings.withPrefetch(50 * MILLI_NANOS)));
        policies.put("grants 200 ms", LimitSimulation.grants(settings));
        policies.put("grants 1000 ms", LimitSimulation.grants(settings.withPrefetch(SECOND_NANOS)));
        return policies;
    }

    private static Map<String, Consumer<LimitSimulation>> loads() {
        Map<String, Consumer<LimitSimulation>> loads = new LinkedHashMap<>();
        loads.put("200 small at 60%", simulation -> smallOrganisations(simulation, 200, false));
        loads.put("200 small, moving", simulation -> smallOrganisations(simulation, 200, true));
        loads.put(
                "one large at 80%",
                simulation -> load(simulation, "large", 1_000, 200, 800, false));
        loads.put(
                "one at 5 times, 50 inside",
                simulation -> {
                    load(simulation, "flood", 100, 50, 500, false);
                    smallOrganisations(simulation, 50, false);
                });
        loads.put("2600 by Zipf at 60%", LimitMeasure::zipfOrganisations);
        loads.put(
                "entry lost", simulation -> fault(simulation, false, LimitSimulation.Node::crash));
        loads.put("owner lost", simulation -> fault(simulation, true, LimitSimulation.Node::crash));
        loads.put(
                "owner cut off 5 s",
                simulation -> fault(simulation, true, node -> partition(simulation, node)));
        loads.put(
                "owner restarts",
                simulation -> fault(simulation, true, node -> restart(simulation, node)));
        return loads;
    }

    private static void smallOrganisations(
            LimitSimulation simulation, int count, boolean isMoving) {
        for (int i = 0; i < count; i++) {
            load(simulation, "small-" + i, 10, 20, 6, isMoving);
        }
    }

    private static void zipfOrganisations(LimitSimulation simulation) {
        double sum = 0;
        for (int i = 1; i <= ORGANISATIONS; i++) {
            sum += 1.0 / i;
        }
        for (int i = 1; i <= ORGANISATIONS; i++) {
            double demand = FLEET_REQUESTS_PER_SECOND / sum / i;
            load(simulation, "zipf-" + i, demand / 0.6, Math.max(5, 2 * demand), demand, false);
        }
    }

    private static void load(
            LimitSimulation simulation,
            String name,
            double rate,
            double burst,
            double demand,
            boolean isMoving) {
        OrganisationId id = simulation.addOrganisation(name, rate, burst);
        int shift = simulation.mStats.size();
        simulation.at(
                simulation.mNow + WARM_UP_NANOS,
                () ->
                        simulation.demand(
                                id,
                                demand,
                                simulation.mNow + LENGTH_NANOS,
                                () ->
                                        isMoving
                                                ? movingNode(simulation, shift)
                                                : liveNode(simulation)));
    }

    private static LimitSimulation.Node movingNode(LimitSimulation simulation, int shift) {
        return simulation.mNodes.get((int) ((simulation.mNow / SECOND_NANOS + shift) % ENTRIES));
    }

    private static LimitSimulation.Node liveNode(LimitSimulation simulation) {
        LimitSimulation.Node node = simulation.anyNode();
        return node.mUp && !node.mPartitioned ? node : liveNode(simulation);
    }

    private static void fault(
            LimitSimulation simulation, boolean atOwner, Consumer<LimitSimulation.Node> fault) {
        smallOrganisations(simulation, 100, false);
        OrganisationId first = OrganisationId.of("small-0");
        simulation.at(
                simulation.mNow + WARM_UP_NANOS + 5 * SECOND_NANOS,
                () -> {
                    LimitSimulation.Node owner = simulation.owner(first).orElseThrow();
                    Optional<LimitSimulation.Node> other =
                            simulation.mNodes.stream().filter(n -> n != owner).findFirst();
                    fault.accept(atOwner ? owner : other.orElseThrow());
                });
    }

    private static void partition(LimitSimulation simulation, LimitSimulation.Node node) {
        node.mPartitioned = true;
        simulation.at(simulation.mNow + 5 * SECOND_NANOS, () -> node.mPartitioned = false);
    }

    private static void restart(LimitSimulation simulation, LimitSimulation.Node node) {
        node.crash();
        simulation.at(simulation.mNow + SECOND_NANOS, node::restart);
    }

    @Test
    public void figuresOfThePolicies() {
        loads().forEach(
                        (load, setUp) ->
                                policies()
                                        .forEach(
                                                (policy, factory) ->
                                                        run(load, setUp, policy, factory)));
    }

    private static void run(
            String load,
            Consumer<LimitSimulation> setUp,
            String policy,
            LimitSimulation.LimiterFactory factory) {
        List<Long> waits = new ArrayList<>();
        long admitted = 0;
        long refused = 0;
        long refusedWithinRate = 0;
        long unavailable = 0;
        double excess = 0;
        long messages = 0;
        long bytes = 0;
        for (int seed = 1; seed <= SEEDS; seed++) {
            LimitSimulation simulation = new LimitSimulation(seed, factory);
            setUp.accept(simulation);
            simulation.addNodes(ENTRIES);
            simulation.runUntil(simulation.mNow + WARM_UP_NANOS);
            simulation.mMessages = 0;
            simulation.mCountBytes = true;
            simulation.runUntil(simulation.mNow + LENGTH_NANOS + 5 * SECOND_NANOS);
            messages += simulation.mMessages;
            bytes += simulation.mBytes;
            for (LimitSimulation.CallerStats stats : simulation.mStats.values()) {
                admitted += stats.mAdmitted;
                refused += stats.mRefused;
                refusedWithinRate += isFlood(simulation, stats) ? 0 : stats.mRefusedWithinRate;
                unavailable += stats.mUnavailable;
                excess = Math.max(excess, stats.mMaxExcess);
                waits.addAll(stats.mWaits);
            }
        }
        waits.sort(null);
        long requests = waits.size();
        System.out.printf(
                "| %s | %s | %d | %d | %d | %d | %.1f | %.1f | %.1f | %.0f | %.0f | %.2f |"
                        + " %.1f |%n",
                load,
                policy,
                admitted,
                refused,
                refusedWithinRate,
                unavailable,
                excess,
                waits.get((int) (requests / 2)) / (double) MILLI_NANOS,
                waits.get((int) (requests * 99 / 100)) / (double) MILLI_NANOS,
                waits.get((int) requests - 1) / (double) MILLI_NANOS,
                messages / (SEEDS * LENGTH_NANOS / (double) SECOND_NANOS),
                messages / (double) requests,
                bytes / 1024.0 / ENTRIES / (SEEDS * LENGTH_NANOS / (double) SECOND_NANOS));
    }

    /** Returns whether these are the stats of the organisation that exceeds its rate. */
    private static boolean isFlood(LimitSimulation simulation, LimitSimulation.CallerStats stats) {
        return simulation.mStats.get(OrganisationId.of("flood")) == stats;
    }

    @Test
    public void costOfADecision() {
        OwnerLease leases =
                new OwnerLease() {
                    private final HostId mSelf = HostId.of("entry-0");

                    @Override
                    public Optional<Owner> owner(int shard) {
                        return Optional.of(new Owner(mSelf, 1));
                    }

                    @Override
                    public Optional<Held> held(int shard, long now) {
                        return Optional.of(new Held(1, 0, Long.MAX_VALUE));
                    }
                };
        GrantLimiter limiter =
                GrantLimiter.create(
                        HostId.of("entry-0"),
                        1,
                        LimitSettings.defaults(),
                        leases,
                        (call, decision, now, out) -> {});
        List<OrganisationId> ids =
                Stream.iterate(0, i -> i + 1)
                        .limit(2_600)
                        .map(i -> OrganisationId.of("organisation-" + i))
                        .toList();
        limiter.configure(
                ConfigView.of(
                        1,
                        ids.stream().map(id -> new Organisation(id, 100, 100, 1)),
                        Stream.empty(),
                        Stream.empty(),
                        Stream.empty()),
                0);
        long now = 100 * SECOND_NANOS;
        for (int round = 0; round < 5; round++) {
            int count = 500_000;
            long start = System.nanoTime();
            for (int i = 0; i < count; i++) {
                now += 50_000;
                limiter.tryAcquire(ids.get(i % ids.size()), i, now, effect -> {});
                if (limiter.nextTickNanos() <= now) {
                    limiter.tick(now, effect -> {});
                }
            }
            System.out.printf(
                    "limiter, own shard, 2600 organisations: %d ns%n",
                    (System.nanoTime() - start) / count);
        }
    }
}
