package org.coltsfootproxy.membership;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.coltsfootproxy.base.DataCentre;
import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.message.FleetMessage;
import org.coltsfootproxy.message.FleetRole;
import org.testng.annotations.Test;

/** What an entry knows of the fleet while its control hosts know different things. */
public final class FleetMembershipTest {
    private static final HostId SELF = HostId.of("entry-1");
    private static final HostId OTHER = HostId.of("entry-2");
    private static final HostId FIRST = HostId.of("control-1");
    private static final HostId SECOND = HostId.of("control-2");
    private static final HostId STORE = HostId.of("store-1");
    private static final HostId NEXT_STORE = HostId.of("store-2");
    private static final List<HostId> CONTROLS = List.of(FIRST, SECOND);

    private long mDigest;

    private FleetMessage.Roster roster(
            List<HostId> entries, List<HostId> stores, long term, List<HostId> members) {
        return new FleetMessage.Roster(
                ++mDigest, CONTROLS, entries, stores, term, members, List.of());
    }

    @Test
    public void aControlHostThatStoresCannotReachDoesNotHideThem() {
        FleetMembership membership = create();
        membership.handle(SECOND, roster(List.of(SELF, OTHER), List.of(STORE), 1, List.of(STORE)));
        boolean isChanged =
                membership.handle(FIRST, roster(List.of(SELF, OTHER), List.of(), 0, List.of()));
        assertFalse(isChanged);
        assertEquals(membership.callers(), List.of(SELF, OTHER, STORE));
        assertEquals(membership.jobHosts(), List.of(STORE));
    }

    @Test
    public void aHostThatNoControlHostHearsHasLeft() {
        FleetMembership membership = create();
        CONTROLS.forEach(
                control ->
                        membership.handle(
                                control, roster(List.of(SELF, OTHER), List.of(), 0, List.of())));
        membership.handle(FIRST, roster(List.of(SELF), List.of(), 0, List.of()));
        assertEquals(membership.entries(), List.of(SELF, OTHER));
        assertTrue(membership.handle(SECOND, roster(List.of(SELF), List.of(), 0, List.of())));
        assertEquals(membership.entries(), List.of(SELF));
    }

    @Test
    public void theMembersOfTheLatestTermCount() {
        FleetMembership membership = create();
        List<HostId> stores = List.of(STORE, NEXT_STORE);
        membership.handle(FIRST, roster(List.of(SELF), stores, 4, List.of(NEXT_STORE, STORE)));
        membership.handle(SECOND, roster(List.of(SELF), stores, 3, List.of(STORE, NEXT_STORE)));
        assertEquals(membership.jobHosts(), List.of(NEXT_STORE, STORE));
    }

    @Test
    public void theRosterOfALostControlHostCountsOnlyUntilAnotherOneTellsItsOwn() {
        FleetMembership membership = create();
        membership.handle(FIRST, roster(List.of(SELF, OTHER), List.of(STORE), 1, List.of(STORE)));
        assertFalse(membership.peerLost(FIRST), "nobody else knows the fleet yet");
        assertEquals(membership.entries(), List.of(SELF, OTHER));
        assertTrue(membership.handle(SECOND, roster(List.of(SELF), List.of(), 0, List.of())));
        assertEquals(membership.callers(), List.of(SELF));
    }

    @Test
    public void aLostControlHostNoLongerNamesHostsThatTheOthersDoNotKnow() {
        FleetMembership membership = create();
        membership.handle(SECOND, roster(List.of(SELF), List.of(), 0, List.of()));
        membership.handle(FIRST, roster(List.of(SELF, OTHER), List.of(), 0, List.of()));
        assertTrue(membership.peerLost(FIRST));
        assertEquals(membership.entries(), List.of(SELF));
    }

    private FleetMembership create() {
        return FleetMembership.create(
                new FleetMembership.Self(SELF, "entry-1", FleetRole.ENTRY, DataCentre.of("north")),
                CONTROLS);
    }
}
