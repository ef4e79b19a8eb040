package org.coltsfootproxy.config;

import static org.testng.Assert.assertEquals;

import java.util.Set;
import org.coltsfootproxy.base.OrganisationId;
import org.coltsfootproxy.base.ProxyException;
import org.coltsfootproxy.base.RecordCodec;
import org.coltsfootproxy.base.RouteId;
import org.coltsfootproxy.base.ServiceId;
import org.coltsfootproxy.base.WireCode;
import org.testng.annotations.Test;

/** Checks that hosts understand each other's objects during an upgrade to ranks. */
public final class RankCompatibilityTest {
    private static final RecordCodec<Old> OLD = RecordCodec.of(Old.class);
    private static final OrganisationId ALPHA = OrganisationId.of("alpha");

    /** The objects as hosts without ranks encode them. */
    sealed interface Old {
        @WireCode(1)
        record OldOrganisation(OrganisationId id, double ratePerSecond, double burst, double weight)
                implements Old {}

        @WireCode(4)
        record OldRoute(
                RouteId id,
                String hostName,
                String pathPrefix,
                ServiceId service,
                boolean open,
                Set<OrganisationId> organisations,
                Set<String> repeatableMethods,
                long timeoutMillis,
                RoutePolicy policy)
                implements Old {}
    }

    private static Route route(int priority) {
        return new Route(
                RouteId.of("r"),
                "",
                "/r/",
                ServiceId.of("lm"),
                false,
                Set.of(),
                Set.of(),
                5_000,
                RoutePolicy.DEFAULT,
                Set.of(),
                priority);
    }

    /** Guards against a stored configuration that can't be read after an upgrade. */
    @Test
    public void objectsOfAHostWithoutRanksHaveTheMostUrgentRank() throws ProxyException {
        byte[] organisation = OLD.encode(new Old.OldOrganisation(ALPHA, 10, 5, 1));
        byte[] route =
                OLD.encode(
                        new Old.OldRoute(
                                RouteId.of("r"),
                                "",
                                "/r/",
                                ServiceId.of("lm"),
                                false,
                                Set.of(),
                                Set.of(),
                                5_000,
                                RoutePolicy.DEFAULT));

        assertEquals(ConfigCodec.decode(organisation), new Organisation(ALPHA, 10, 5, 1));
        assertEquals(ConfigCodec.decode(route), route(0));
    }

    /** Guards against old hosts that can't apply the configuration of a new one. */
    @Test
    public void aHostWithoutRanksReadsTheObjectsOfOneWithRanks() throws ProxyException {
        Old organisation =
                OLD.decode(ConfigCodec.encode(new Organisation(ALPHA, 10, 5, 1, Set.of(), 2)));
        Old route = OLD.decode(ConfigCodec.encode(route(3)));

        assertEquals(organisation, new Old.OldOrganisation(ALPHA, 10, 5, 1));
        assertEquals(((Old.OldRoute) route).timeoutMillis(), 5_000);
    }

    /** Guards against ranks that are lost between hosts. */
    @Test
    public void ranksReachOtherHosts() throws ProxyException {
        var organisation = new Organisation(ALPHA, 10, 5, 1, Set.of(), 2);

        assertEquals(ConfigCodec.decode(ConfigCodec.encode(organisation)), organisation);
        assertEquals(ConfigCodec.decode(ConfigCodec.encode(route(3))), route(3));
    }
}
