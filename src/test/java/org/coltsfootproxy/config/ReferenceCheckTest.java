package org.coltsfootproxy.config;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.lang.management.ManagementFactory;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.coltsfootproxy.base.OrganisationId;
import org.coltsfootproxy.base.ProxyException;
import org.coltsfootproxy.base.RouteId;
import org.coltsfootproxy.base.ServiceId;
import org.testng.annotations.Test;

/** Tests {@link ReferenceCheck} through {@link ConfigState}. */
public final class ReferenceCheckTest {
    private static final Organisation ORGANISATION = RandomTickets.organisation("o", 10);
    private static final Service SERVICE = Service.of(ServiceId.of("s"), false, 1, List.of());

    private static Route route(String name, String host, String path, String... organisations) {
        return new Route(
                RouteId.of(name),
                host,
                path,
                ServiceId.of("s"),
                false,
                Set.copyOf(Stream.of(organisations).map(OrganisationId::of).toList()),
                Set.of(),
                1_000,
                RoutePolicy.DEFAULT);
    }

    private static Verdict apply(ConfigState state, long number, ConfigChange... changes) {
        Ticket ticket = RandomTickets.ticket(number, List.of(changes));
        return verdict(state, new ConfigCommand.ApplyTicket(ticket));
    }

    private static Verdict verdict(ConfigState state, ConfigCommand command) {
        try {
            return ConfigResult.verdict(state.apply(0, command.encode()));
        } catch (ProxyException e) {
            throw new AssertionError(e);
        }
    }

    /**
     * Guards against replicas of two versions that answer a refused ticket with different texts,
     * which would make their snapshots differ.
     */
    @Test
    public void aRouteOfATakenPathIsRefusedWithTheFirstOtherRouteOfThatPath() {
        ConfigState state = ConfigState.create();
        assertTrue(
                apply(state, 1, ORGANISATION, SERVICE, route("b", "Host.Example", "/p"))
                        .isAccepted());
        assertTrue(apply(state, 2, route("d", "other", "/p")).isAccepted());
        assertEquals(
                apply(state, 3, route("c", "hOST.eXAMPLE", "/p")).detail(),
                "route 'c': its pathPrefix is that of route 'b'");
        assertEquals(
                apply(state, 4, route("f", "OTHER", "/p"), route("e", "other", "/p")).detail(),
                "route 'e': its pathPrefix is that of route 'f'");
        assertTrue(
                apply(state, 5, route("b", "moved", "/p"), route("c", "host.example", "/p"))
                        .isAccepted());
    }

    /** Guards against a removal that leaves a reference, or that names another referrer. */
    @Test
    public void theRemovalOfAnObjectInUseIsRefusedWithItsFirstReferrer() {
        ConfigState state = ConfigState.create();
        Key key = RandomTickets.key("k", "o", 1);
        assertTrue(
                apply(state, 1, ORGANISATION, SERVICE, key, route("r", "", "/r", "o"))
                        .isAccepted());
        Removed organisation = new Removed(ORGANISATION.objectName());
        Removed service = new Removed(SERVICE.objectName());
        assertEquals(
                apply(state, 2, organisation).detail(),
                "organisation 'o': can't be removed: key 'k' refers to it");
        assertEquals(
                apply(state, 3, organisation, new Removed(key.objectName())).detail(),
                "organisation 'o': can't be removed: route 'r' refers to it");
        assertEquals(
                apply(state, 4, service).detail(),
                "service 's': can't be removed: route 'r' refers to it");
        assertEquals(
                apply(state, 5, service, route("q", "", "/q")).detail(),
                "route 'q': refers to service 's', which does not exist");
        Removed route = new Removed(ObjectName.of(ObjectKind.ROUTE, "r"));
        assertTrue(
                apply(state, 6, organisation, service, new Removed(key.objectName()), route)
                        .isAccepted());
    }

    /**
     * Guards against a check whose cost grows with the square of the routes: with 1,440 routes it
     * took 3.5 s at each control host for each change. Allocated bytes stand for the cost, since
     * they don't depend on the machine's load.
     */
    @Test
    public void theCostOfACheckGrowsInProportionToTheRoutes() {
        allocatedBytes(200);
        long few = allocatedBytes(200);
        long many = allocatedBytes(1_600);
        assertTrue(many < 12 * few, many + " bytes for 1,600 routes, " + few + " for 200");
    }

    private static long allocatedBytes(int routes) {
        ConfigState state = ConfigState.create();
        Ticket ticket =
                RandomTickets.ticket(
                        1,
                        Stream.<ConfigChange>concat(
                                        Stream.of(ORGANISATION, SERVICE),
                                        IntStream.range(0, routes)
                                                .mapToObj(n -> route("r" + n, "h", "/p" + n)))
                                .toList());
        var command = new ConfigCommand.ReplaceAll(ticket, new byte[0]);
        var threads = (com.sun.management.ThreadMXBean) ManagementFactory.getThreadMXBean();
        long before = threads.getCurrentThreadAllocatedBytes();
        assertTrue(verdict(state, command).isAccepted());
        return threads.getCurrentThreadAllocatedBytes() - before;
    }
}
