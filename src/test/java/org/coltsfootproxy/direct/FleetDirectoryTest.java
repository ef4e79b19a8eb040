package org.coltsfootproxy.direct;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.coltsfootproxy.base.DataCentre;
import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.base.ServiceId;
import org.coltsfootproxy.base.SoftwareVersion;
import org.coltsfootproxy.base.TargetId;
import org.coltsfootproxy.message.FleetMessage;
import org.coltsfootproxy.message.ListedTarget;
import org.coltsfootproxy.message.ServiceVersions;
import org.coltsfootproxy.node.Effect;
import org.testng.annotations.Test;

/** Tests of the versions in the target lists that control hosts pass on. */
public final class FleetDirectoryTest {
    private static final HostId SELF = HostId.of("10.0.0.1");
    private static final HostId OTHER = HostId.of("10.0.0.2");
    private static final ServiceId LM = ServiceId.of("lm");
    private static final SoftwareVersion V1 = SoftwareVersion.of("v1");
    private static final SoftwareVersion V2 = SoftwareVersion.of("v2");

    private final List<Effect> mEffects = new ArrayList<>();

    private static final class UnreadList implements TargetListProtocol {
        @Override
        public String firstPath() {
            return "/";
        }

        @Override
        public Page read(byte[] body) {
            return new Page(List.of(), 0, Optional.empty());
        }
    }

    private FleetDirectory directory(ListedVersions versions) {
        mEffects.clear();
        return FleetDirectory.create(
                SELF,
                List.of(SELF, OTHER),
                Targets.create(DataCentre.of("z1"), new Random(1)),
                TargetListReader.create("10.9.0.1:80", new UnreadList(), TargetCalls.create()),
                versions);
    }

    private static FleetMessage.Listing listing(
            long number, SoftwareVersion version, List<ServiceVersions> earlier) {
        var target =
                new ListedTarget(
                        TargetId.of("t-" + version),
                        LM,
                        DataCentre.of("z1"),
                        "10.8.0.1:80",
                        false,
                        8,
                        0,
                        version,
                        ListedTarget.WARM);
        return new FleetMessage.Listing(number, List.of(target), earlier);
    }

    private List<FleetMessage.Listing> sentLists() {
        return mEffects.stream()
                .filter(effect -> effect instanceof Effect.Send)
                .map(effect -> ((Effect.Send) effect).message())
                .filter(message -> message instanceof FleetMessage.Listing)
                .map(message -> (FleetMessage.Listing) message)
                .toList();
    }

    /** Guards against two control hosts that correct each other's lists without end. */
    @Test
    public void aHostThatDoesNotLeadLeavesAReceivedListAsItIs() {
        ListedVersions versions = ListedVersions.create();
        FleetDirectory directory = directory(versions);
        versions.update(false, Map.of(), 0);
        List<ServiceVersions> none = List.of(new ServiceVersions(LM, List.of()));
        directory.handle(OTHER, listing(1, V1, none), 0, mEffects::add);
        directory.handle(OTHER, listing(2, V2, none), 1, mEffects::add);
        assertEquals(sentLists(), List.of());
    }

    /** Guards against entries that go by a list of another host than the leader for long. */
    @Test
    public void theLeaderCorrectsAReceivedListThatLacksARecordedVersion() {
        ListedVersions versions = ListedVersions.create();
        FleetDirectory directory = directory(versions);
        versions.update(true, Map.of(LM, Set.of(V1, V2)), 0);
        directory.handle(OTHER, listing(1, V2, List.of()), 0, mEffects::add);
        List<ServiceVersions> earlier = List.of(new ServiceVersions(LM, List.of(V1)));
        assertEquals(sentLists(), List.of(listing(2, V2, earlier)));
    }
}
