package org.coltsfootproxy.config;

import static org.testng.Assert.assertEquals;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.coltsfootproxy.base.DataCentre;
import org.coltsfootproxy.base.OrganisationId;
import org.coltsfootproxy.base.ProxyException;
import org.coltsfootproxy.base.RecordCodec;
import org.coltsfootproxy.base.Region;
import org.coltsfootproxy.base.RouteId;
import org.coltsfootproxy.base.ServiceId;
import org.coltsfootproxy.base.SoftwareVersion;
import org.coltsfootproxy.base.TargetId;
import org.coltsfootproxy.base.WireCode;
import org.coltsfootproxy.message.FleetMessage;
import org.coltsfootproxy.message.JobMessage;
import org.coltsfootproxy.message.LeaseRef;
import org.coltsfootproxy.message.LeasedItem;
import org.coltsfootproxy.message.ListedTarget;
import org.coltsfootproxy.message.Message;
import org.coltsfootproxy.message.PartialOutput;
import org.testng.annotations.Test;

/** Tests that regions and limits for cold targets survive logs and messages of any version. */
public final class RestrictionCodecTest {
    private static final ServiceId LM = ServiceId.of("lm");
    private static final OrganisationId ALPHA = OrganisationId.of("alpha");
    private static final Set<Region> REGIONS = Set.of(Region.of("us east"), Region.of("eu"));

    private final RecordCodec<ConfigChange> mCodec = RecordCodec.of(ConfigChange.class);

    /** Objects as the version before wrote them. */
    private sealed interface Before {}

    @WireCode(1)
    private record OrganisationBefore(
            OrganisationId id, double ratePerSecond, double burst, double weight)
            implements Before {}

    @WireCode(3)
    private record ServiceBefore(
            ServiceId id,
            boolean streaming,
            int concurrency,
            List<Service.ServiceTarget> targets,
            boolean targetsFence,
            int affinityBytes)
            implements Before {}

    @WireCode(4)
    private record RouteBefore(
            RouteId id,
            String hostName,
            String pathPrefix,
            ServiceId service,
            boolean open,
            Set<OrganisationId> organisations,
            Set<String> repeatableMethods,
            long timeoutMillis,
            RoutePolicy policy)
            implements Before {}

    private ConfigChange copy(ConfigChange object) throws ProxyException {
        return mCodec.decode(mCodec.encode(object));
    }

    private ConfigChange read(Before object) throws ProxyException {
        return mCodec.decode(RecordCodec.of(Before.class).encode(object));
    }

    private static Route route(Set<Region> regions) {
        return new Route(
                RouteId.of("r"),
                "",
                "/",
                LM,
                false,
                Set.of(),
                Set.of(),
                1_000,
                RoutePolicy.DEFAULT,
                regions,
                0);
    }

    private static Service service() {
        return Service.of(LM, false, 8, List.of());
    }

    /** Guards against restrictions being lost on the way to a host or in the log. */
    @Test
    public void restrictionsSurvive() throws ProxyException {
        Organisation organisation = new Organisation(ALPHA, 1, 2, 3, REGIONS, null);
        assertEquals(copy(organisation), organisation);
        assertEquals(copy(route(REGIONS)), route(REGIONS));
        Service service = service().withColdStart(new Service.ColdStart(3_000, 12));
        assertEquals(copy(service), service);
    }

    /** Guards against a log of the version before being unreadable after an upgrade. */
    @Test
    public void objectsOfTheVersionBeforeHaveNoRestrictions() throws ProxyException {
        assertEquals(
                read(new OrganisationBefore(ALPHA, 1, 2, 3)), new Organisation(ALPHA, 1, 2, 3));
        assertEquals(read(new ServiceBefore(LM, false, 8, List.of(), false, 0)), service());
        Route route = route(Set.of());
        assertEquals(
                read(
                        new RouteBefore(
                                route.id(),
                                "",
                                "/",
                                LM,
                                false,
                                Set.of(),
                                Set.of(),
                                1_000,
                                RoutePolicy.DEFAULT)),
                route);
    }

    /** Guards against the cold time of a target being lost on the way from the control hosts. */
    @Test
    public void theColdTimeOfATargetSurvives() throws ProxyException {
        var target =
                new ListedTarget(
                        TargetId.of("a"),
                        LM,
                        DataCentre.of("z"),
                        "10.8.0.1:80",
                        false,
                        8,
                        1,
                        SoftwareVersion.UNNAMED,
                        2_500);
        var listing = new FleetMessage.Listing(1, List.of(target), List.of());
        RecordCodec<Message> codec = RecordCodec.of(Message.class);
        assertEquals(codec.decode(codec.encode(listing)), listing);
    }

    /** Guards against the regions of a job being lost on the way to the stores that run it. */
    @Test
    public void theRegionsOfAJobSurvive() throws ProxyException {
        RecordCodec<Message> codec = RecordCodec.of(Message.class);
        var lot = new JobMessage.Lot(1, 1, 1_000, List.of(item(List.of(Region.of("eu")))));
        var decoded = (JobMessage.Lot) codec.decode(codec.encode(lot));
        assertEquals(decoded.items().get(0).allowedRegions(), List.of(Region.of("eu")));
        lot = new JobMessage.Lot(1, 1, 1_000, List.of(item(null)));
        decoded = (JobMessage.Lot) codec.decode(codec.encode(lot));
        assertEquals(decoded.items().get(0).allowedRegions(), null);
        lot = new JobMessage.Lot(1, 1, 1_000, List.of(item(List.of())));
        decoded = (JobMessage.Lot) codec.decode(codec.encode(lot));
        assertEquals(decoded.items().get(0).allowedRegions(), List.of());
    }

    private static LeasedItem item(List<Region> regions) {
        return new LeasedItem(
                new LeaseRef(1, 0, 1),
                "alpha",
                LM,
                true,
                "POST",
                "/draft",
                15_000,
                3_000,
                PartialOutput.NONE,
                new byte[0],
                regions);
    }

    /** Guards against a restriction of nothing being taken for no restriction. */
    @Test
    public void twoRestrictionsWithoutACommonRegionAllowNothing() {
        Set<Region> asia = Set.of(Region.of("asia"));
        Organisation organisation = new Organisation(ALPHA, 1, 2, 3, asia, null);
        assertEquals(
                Regions.allowed(route(REGIONS), Optional.of(organisation)), Optional.of(Set.of()));
        assertEquals(
                Regions.allowed(route(Set.of()), Optional.of(organisation)), Optional.of(asia));
        assertEquals(Regions.allowed(route(Set.of()), Optional.empty()), Optional.empty());
    }
}
