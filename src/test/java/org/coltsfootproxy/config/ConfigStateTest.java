package org.coltsfootproxy.config;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;
import java.util.stream.LongStream;
import org.coltsfootproxy.base.ProxyException;
import org.coltsfootproxy.config.Verdict.Outcome;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests {@link ConfigState} against {@link TicketOracle}. */
public final class ConfigStateTest {
    private static final int STEPS = 400;

    @DataProvider
    public Object[][] seeds() {
        return LongStream.range(0, 25).mapToObj(s -> new Object[] {s}).toArray(Object[][]::new);
    }

    private static Verdict apply(ConfigState state, Ticket ticket) {
        try {
            byte[] command = new ConfigCommand.ApplyTicket(ticket).encode();
            return ConfigResult.verdict(state.apply(0, command));
        } catch (ProxyException e) {
            throw new AssertionError(e);
        }
    }

    /**
     * Operators take ticket numbers from one narrow window. Their tickets are committed in any
     * order, some of them twice, and the host restarts from its snapshot at random moments.
     */
    @Test(dataProvider = "seeds")
    public void verdictsAndObjectsMatchTheOracle(long seed) {
        var random = new Random(seed);
        var tickets = new RandomTickets(random);
        var oracle = new TicketOracle();
        ConfigState state = ConfigState.create();
        List<Ticket> queue = new ArrayList<>();
        List<Ticket> sent = new ArrayList<>();
        for (int step = 0; step < STEPS; step++) {
            Ticket ticket =
                    !sent.isEmpty() && random.nextInt(4) == 0
                            ? sent.get(random.nextInt(sent.size()))
                            : tickets.next(1 + step / 3 + random.nextInt(8));
            sent.add(ticket);
            queue.add(ticket);
            if (random.nextInt(3) > 0) {
                Ticket next = queue.remove(random.nextInt(queue.size()));
                Verdict verdict = apply(state, next);
                assertEquals(verdict.outcome(), oracle.apply(next), seed + ": " + verdict);
            }
            if (random.nextInt(20) == 0) {
                state = restarted(state);
            }
            assertEquals(state.version(), oracle.version());
            assertEquals(objects(state), oracle.objects());
        }
        assertTrue(
                state.version() > 20,
                "seed " + seed + " accepted too few tickets to be conclusive");
    }

    private static ConfigState restarted(ConfigState state) {
        ConfigState restored = ConfigState.create();
        restored.restore(state.snapshot());
        return restored;
    }

    private static Map<ObjectName, ConfigObject> objects(ConfigState state) {
        return new TreeMap<>(
                state.objects().collect(Collectors.toMap(ConfigObject::objectName, o -> o)));
    }

    /**
     * With small caches a resent ticket may be refused as stale, but no ticket is ever applied
     * twice.
     */
    @Test(dataProvider = "seeds")
    public void evictionNeverLetsATicketBeAppliedTwice(long seed) {
        checkEviction(seed, 4, 1000);
        checkEviction(seed, 1000, 2);
        checkEviction(seed, 4, 3);
    }

    private static void checkEviction(long seed, int maxAccepted, int maxTombstones) {
        var random = new Random(seed);
        var tickets = new RandomTickets(random);
        ConfigState state = ConfigState.create(maxAccepted, maxTombstones);
        Map<Long, Ticket> accepted = new HashMap<>();
        Map<ObjectName, Long> numbers = new HashMap<>();
        List<Ticket> sent = new ArrayList<>();
        for (int step = 0; step < STEPS; step++) {
            Ticket ticket =
                    !sent.isEmpty() && random.nextInt(3) == 0
                            ? sent.get(random.nextInt(sent.size()))
                            : tickets.next(1 + random.nextInt(2 + step));
            sent.add(ticket);
            long before = state.version();
            Verdict verdict = apply(state, ticket);
            if (state.version() > before) {
                assertEquals(accepted.put(ticket.number(), ticket), null, "accepted twice");
                ticket.changes()
                        .forEach(
                                c -> {
                                    Long old = numbers.put(c.objectName(), ticket.number());
                                    assertTrue(old == null || old < ticket.number());
                                });
            } else if (verdict.outcome() == Outcome.ACCEPTED) {
                assertEquals(accepted.get(ticket.number()), ticket);
            }
            state = random.nextInt(10) == 0 ? restarted(state, maxAccepted, maxTombstones) : state;
        }
        assertTrue(
                accepted.size() > 10,
                "seed " + seed + " accepted too few tickets to be conclusive");
    }

    private static ConfigState restarted(ConfigState state, int maxAccepted, int maxTombstones) {
        ConfigState restored = ConfigState.create(maxAccepted, maxTombstones);
        restored.restore(state.snapshot());
        return restored;
    }

    /** The changes since any earlier version lead to the current objects. */
    @Test(dataProvider = "seeds")
    public void changesSinceAnyVersionLeadToTheCurrentObjects(long seed) {
        var random = new Random(seed);
        var tickets = new RandomTickets(random);
        ConfigState state = ConfigState.create(1000, 2);
        List<ConfigView> views = new ArrayList<>(List.of(ConfigView.empty()));
        for (int step = 1; step < STEPS; step++) {
            if (!apply(state, tickets.next(step)).isAccepted()) {
                continue;
            }
            ConfigView old = views.get(random.nextInt(views.size()));
            ConfigState.ChangeSet set = state.changesSince(old.version());
            ConfigView base = set.from() == 0 ? ConfigView.empty() : old;
            ConfigView view = base.with(set.to(), set.changes());
            assertEquals(viewObjects(view), state.objects().collect(Collectors.toSet()));
            view.keys().forEach(k -> assertEquals(view.keyByDigest(k.digest()).get(), k));
            views.add(view);
        }
    }

    private static Set<ConfigObject> viewObjects(ConfigView view) {
        Set<ConfigObject> objects = new HashSet<>();
        view.organisations().forEach(objects::add);
        view.keys().forEach(objects::add);
        view.services().forEach(objects::add);
        view.routes().forEach(objects::add);
        return objects;
    }
}
