package org.coltsfootproxy.config;

import static org.testng.Assert.assertEquals;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import org.coltsfootproxy.base.DataCentre;
import org.coltsfootproxy.base.ProxyException;
import org.coltsfootproxy.base.ServiceId;
import org.coltsfootproxy.config.Verdict.Outcome;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests orders to evacuate data centres in {@link ConfigState}. */
public final class EvacuationStateTest {
    private static final DataCentre EAST = DataCentre.of("east");
    private static final DataCentre WEST = DataCentre.of("west");

    /**
     * Snapshot of commit e16e11d, before there were evacuations: document 7 with service lm, then
     * ticket 8, which removes it.
     */
    private static final String EARLIER_SNAPSHOT =
            "AAGaAgAAkZPEDwAFkZKnU0VSVklDRaJsbQgCkQiRzxj+UBaJL8Wskc9Gk8V2womyxpECkJIHxAJ7fQ==";

    private static Verdict apply(ConfigState state, ConfigCommand command) {
        try {
            return ConfigResult.verdict(state.apply(0, command.encode()));
        } catch (ProxyException e) {
            throw new AssertionError(e);
        }
    }

    private static ConfigCommand evacuate(DataCentre dataCentre, long basis) {
        return new ConfigCommand.Evacuate(dataCentre, basis);
    }

    private static ConfigCommand end(DataCentre dataCentre, long basis) {
        return new ConfigCommand.EndEvacuation(dataCentre, basis);
    }

    private static ConfigCommand document(long number) {
        Service service = Service.of(ServiceId.of("lm" + number), true, 8, List.of());
        var ticket =
                new Ticket(number, List.of(), List.of(), List.of(service), List.of(), List.of());
        return new ConfigCommand.ReplaceAll(ticket, ("" + number).getBytes(StandardCharsets.UTF_8));
    }

    private static ConfigState restarted(ConfigState state) {
        ConfigState restored = ConfigState.create();
        restored.restore(state.snapshot());
        return restored;
    }

    /** Guards against an order that is refused, or makes a new version, when it is sent again. */
    @Test
    public void anOrderIsAcceptedAgainWithoutANewVersion() {
        ConfigState state = ConfigState.create();
        List<ConfigCommand> orders =
                List.of(end(EAST, 0), evacuate(EAST, 1), evacuate(WEST, 0), end(EAST, 3));
        for (ConfigCommand order : orders) {
            Verdict first = apply(state, order);
            Verdict again = apply(state, order);
            assertEquals(first.outcome(), Outcome.ACCEPTED, order + ": " + first);
            assertEquals(again, first);
        }
        assertEquals(state.version(), 4);
        assertEquals(state.view().evacuated(), Set.of(WEST));
    }

    /** Guards against a late copy of an order that undoes a later, opposite one. */
    @Test
    public void aCopyThatArrivesAfterALaterOrderChangesNothing() {
        ConfigState state = ConfigState.create();
        apply(state, evacuate(EAST, 0));
        ConfigCommand end = end(EAST, state.version());
        apply(state, end);
        apply(state, evacuate(EAST, state.version()));
        Verdict late = apply(state, end);

        assertEquals(late.outcome(), Outcome.STALE);
        assertEquals(state.view().evacuated(), Set.of(EAST));
    }

    @DataProvider
    public Object[][] seeds() {
        return IntStream.range(0, 20).mapToObj(s -> new Object[] {s}).toArray(Object[][]::new);
    }

    /**
     * Guards against lost or revived evacuations among copies of orders, documents that replace
     * everything, restarts from snapshots, and subscribers that miss versions.
     */
    @Test(dataProvider = "seeds")
    public void theLatestAcceptedOrderOnEachDataCentreIsInForce(int seed) {
        var random = new Random(seed);
        ConfigState state = ConfigState.create();
        ConfigView subscriber = ConfigView.empty();
        Set<DataCentre> expected = new java.util.HashSet<>();
        List<ConfigCommand> sent = new ArrayList<>();
        for (int step = 1; step < 300; step++) {
            DataCentre dataCentre = random.nextBoolean() ? EAST : WEST;
            boolean isEvacuation = random.nextBoolean();
            switch (random.nextInt(5)) {
                case 0 -> apply(state, document(step));
                case 1 -> state = restarted(state);
                case 2 -> {
                    if (!sent.isEmpty()) {
                        apply(state, sent.get(random.nextInt(sent.size())));
                    }
                }
                default -> {
                    ConfigCommand order =
                            isEvacuation
                                    ? evacuate(dataCentre, state.version())
                                    : end(dataCentre, state.version());
                    assertEquals(apply(state, order).outcome(), Outcome.ACCEPTED);
                    boolean unused =
                            isEvacuation ? expected.add(dataCentre) : expected.remove(dataCentre);
                    sent.add(order);
                }
            }
            if (random.nextInt(3) == 0) {
                ConfigState.ChangeSet changes = state.changesSince(subscriber.version());
                ConfigView base = changes.from() == 0 ? ConfigView.empty() : subscriber;
                subscriber = base.with(changes.to(), changes.changes());
                assertEquals(subscriber.evacuated(), expected, "subscriber at step " + step);
            }
            assertEquals(state.view().evacuated(), expected, "step " + step);
        }
    }

    /** Guards against a ticket that ends an evacuation, which only an order may do. */
    @Test
    public void aTicketCannotRemoveAnEvacuation() {
        ConfigState state = ConfigState.create();
        apply(state, evacuate(EAST, 0));
        var ticket =
                new Ticket(
                        5,
                        List.of(),
                        List.of(),
                        List.of(),
                        List.of(),
                        List.of(ObjectName.of(ObjectKind.EVACUATION, "east")));
        Verdict byTicket = apply(state, new ConfigCommand.ApplyTicket(ticket));
        Verdict byDocument = apply(state, new ConfigCommand.ReplaceAll(ticket, new byte[0]));

        assertEquals(byTicket.outcome(), Outcome.INVALID);
        assertEquals(byDocument.outcome(), Outcome.INVALID);
        assertEquals(state.view().evacuated(), Set.of(EAST));
    }

    /** Guards against a control host that can't start from its snapshot after an upgrade. */
    @Test
    public void aSnapshotOfTheEarlierVersionIsRead() {
        ConfigState state = ConfigState.create();
        state.restore(Base64.getDecoder().decode(EARLIER_SNAPSHOT));

        assertEquals(state.version(), 2);
        assertEquals(state.document().orElseThrow().number(), 7);
        assertEquals(state.view().evacuated(), Set.of());
        assertEquals(Base64.getEncoder().encodeToString(state.snapshot()), EARLIER_SNAPSHOT);
        assertEquals(apply(state, evacuate(EAST, 2)).outcome(), Outcome.ACCEPTED);
        assertEquals(restarted(state).view().evacuated(), Set.of(EAST));
    }
}
