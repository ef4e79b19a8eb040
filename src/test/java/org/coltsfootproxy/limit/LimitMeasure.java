package org.coltsfootproxy.limit;

import static org.coltsfootproxy.limit.LimitSimulation.MILLI;
import static org.coltsfootproxy.limit.LimitSimulation.SECOND;

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

/** Measures the limiter against its baselines; run by name, not part of the default tests. */
public final class LimitMeasure {
    private static final int ENTRIES = 8;
    private static final long WARM_UP = 40 * SECOND;
    private static final long LENGTH = 20 * SECOND;
    private static final int SEEDS = 3;
    private static final int ORGANISATIONS = 2_600;
    private static final double FLEET_REQUESTS = 2_100;

    private static Map<String, LimitSimulation.Maker> policies() {
        LimitSettings settings = LimitSettings.defaults();
        Map<String, LimitSimulation.Maker> policies = new LinkedHashMap<>();
        policies.put(
                "fixed shares",
                (self, life, leases, listener) -> FixedShareLimiter.create(() -> ENTRIES));
        policies.put("ask each time", LimitSimulation.grants(settings.withoutAhead()));
        policies.put("grants 50 ms", LimitSimulation.grants(settings.withAhead(50 * MILLI)));
        policies.put("grants 200 ms", LimitSimulation.grants(settings));
        policies.put("grants 1000 ms", LimitSimulation.grants(settings.withAhead(SECOND)));
        return policies;
    }

    private static Map<String, Consumer<LimitSimulation>> loads() {
        Map<String, Consumer<LimitSimulation>> loads = new LinkedHashMap<>();
        loads.put("200 small at 60%", world -> small(world, 200, false));
        loads.put("200 small, moving", world -> small(world, 200, true));
        loads.put("one large at 80%", world -> load(world, "large", 1_000, 200, 800, false));
        loads.put(
                "one at 5 times, 50 inside",
                world -> {
                    load(world, "flood", 100, 50, 500, false);
                    small(world, 50, false);
                });
        loads.put("2600 by Zipf at 60%", LimitMeasure::zipf);
        loads.put("entry lost", world -> fault(world, false, LimitSimulation.Node::crash));
        loads.put("owner lost", world -> fault(world, true, LimitSimulation.Node::crash));
        loads.put("owner cut off 5 s", world -> fault(world, true, node -> cut(world, node)));
        loads.put("owner restarts", world -> fault(world, true, node -> restart(world, node)));
        return loads;
    }

    private static void small(LimitSimulation world, int count, boolean moving) {
        for (int i = 0; i < count; i++) {
            load(world, "small-" + i, 10, 20, 6, moving);
        }
    }

    private static void zipf(LimitSimulation world) {
        double sum = 0;
        for (int i = 1; i <= ORGANISATIONS; i++) {
            sum += 1.0 / i;
        }
        for (int i = 1; i <= ORGANISATIONS; i++) {
            double demand = FLEET_REQUESTS / sum / i;
            load(world, "zipf-" + i, demand / 0.6, Math.max(5, 2 * demand), demand, false);
        }
    }

    private static void load(
            LimitSimulation world,
            String name,
            double rate,
            double burst,
            double demand,
            boolean moving) {
        OrganisationId id = world.addOrganisation(name, rate, burst);
        int shift = world.mSeen.size();
        world.at(
                world.mNow + WARM_UP,
                () ->
                        world.demand(
                                id,
                                demand,
                                world.mNow + LENGTH,
                                () -> moving ? moving(world, shift) : live(world)));
    }

    private static LimitSimulation.Node moving(LimitSimulation world, int shift) {
        return world.mNodes.get((int) ((world.mNow / SECOND + shift) % ENTRIES));
    }

    private static LimitSimulation.Node live(LimitSimulation world) {
        LimitSimulation.Node node = world.anyNode();
        return node.mUp && !node.mCut ? node : live(world);
    }

    private static void fault(
            LimitSimulation world, boolean atOwner, Consumer<LimitSimulation.Node> fault) {
        small(world, 100, false);
        OrganisationId first = OrganisationId.of("small-0");
        world.at(
                world.mNow + WARM_UP + 5 * SECOND,
                () -> {
                    LimitSimulation.Node owner = world.owner(first).orElseThrow();
                    Optional<LimitSimulation.Node> other =
                            world.mNodes.stream().filter(n -> n != owner).findFirst();
                    fault.accept(atOwner ? owner : other.orElseThrow());
                });
    }

    private static void cut(LimitSimulation world, LimitSimulation.Node node) {
        node.mCut = true;
        world.at(world.mNow + 5 * SECOND, () -> node.mCut = false);
    }

    private static void restart(LimitSimulation world, LimitSimulation.Node node) {
        node.crash();
        world.at(world.mNow + SECOND, node::restart);
    }

    @Test
    public void figuresOfThePolicies() {
        loads().forEach(
                        (load, setUp) ->
                                policies()
                                        .forEach(
                                                (policy, maker) ->
                                                        run(load, setUp, policy, maker)));
    }

    private static void run(
            String load,
            Consumer<LimitSimulation> setUp,
            String policy,
            LimitSimulation.Maker maker) {
        List<Long> waits = new ArrayList<>();
        long passed = 0;
        long refused = 0;
        long inside = 0;
        long unavailable = 0;
        double excess = 0;
        long messages = 0;
        long bytes = 0;
        for (int seed = 1; seed <= SEEDS; seed++) {
            LimitSimulation world = new LimitSimulation(seed, maker);
            setUp.accept(world);
            world.addNodes(ENTRIES);
            world.runUntil(world.mNow + WARM_UP);
            world.mMessages = 0;
            world.mCountBytes = true;
            world.runUntil(world.mNow + LENGTH + 5 * SECOND);
            messages += world.mMessages;
            bytes += world.mBytes;
            for (LimitSimulation.Seen seen : world.mSeen.values()) {
                passed += seen.mPassed;
                refused += seen.mRefused;
                inside += isFlood(world, seen) ? 0 : seen.mRefusedInside;
                unavailable += seen.mUnavailable;
                excess = Math.max(excess, seen.mWorstExcess);
                waits.addAll(seen.mWaits);
            }
        }
        waits.sort(null);
        long requests = waits.size();
        System.out.printf(
                "| %s | %s | %d | %d | %d | %d | %.1f | %.1f | %.1f | %.0f | %.0f | %.2f |"
                        + " %.1f |%n",
                load,
                policy,
                passed,
                refused,
                inside,
                unavailable,
                excess,
                waits.get((int) (requests / 2)) / (double) MILLI,
                waits.get((int) (requests * 99 / 100)) / (double) MILLI,
                waits.get((int) requests - 1) / (double) MILLI,
                messages / (SEEDS * LENGTH / (double) SECOND),
                messages / (double) requests,
                bytes / 1024.0 / ENTRIES / (SEEDS * LENGTH / (double) SECOND));
    }

    /** An organisation over its rate has no refusals inside it. */
    private static boolean isFlood(LimitSimulation world, LimitSimulation.Seen seen) {
        return world.mSeen.get(OrganisationId.of("flood")) == seen;
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
        long now = 100 * SECOND;
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
