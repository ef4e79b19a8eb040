package org.coltsfootproxy.control;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.base.OrganisationId;
import org.coltsfootproxy.node.Effect;
import org.coltsfootproxy.node.Input;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests {@link ControlNode} through operators' calls and subscribers in a simulated fleet. */
public final class ControlNodeTest {
    private static final long SECOND_NANOS = TimeUnit.SECONDS.toNanos(1);
    private static final long LINK_DELAY_NANOS = 1_500_000;
    private static final OrganisationId SOLWAY = OrganisationId.of("solway");

    private static HostId follower(HostId leader) {
        return IntStream.range(0, 3)
                .mapToObj(ControlFleet::host)
                .filter(h -> !h.equals(leader))
                .findFirst()
                .orElseThrow();
    }

    private static void assertAccepted(ControlFleet.Response response, long version) {
        assertTrue(response.mIsComplete, "no answer");
        assertEquals(response.mStatus, 200, response.body());
        assertTrue(response.body().contains("\"version\":" + version + "}"), response.body());
    }

    private static void assertRefused(ControlFleet.Response response, int status, String kind) {
        assertTrue(response.mIsComplete, "no answer");
        assertEquals(response.mStatus, status, response.body());
        assertTrue(response.body().contains("\"kind\":\"" + kind + "\""), response.body());
        assertTrue(response.body().contains("\"ran\":\""), response.body());
    }

    @Test
    public void ticketsAreAcceptedAtAnyHostAndComeIntoForceEverywhere() {
        var fleet = new ControlFleet(3, 6, 1);
        HostId leader = fleet.awaitLeader();
        HostId other = follower(leader);
        ControlFleet.Response first = fleet.apply(other, 5, "solway", 10);
        fleet.simulation().run(SECOND_NANOS);
        assertAccepted(first, 1);
        fleet.subscribers()
                .forEach(
                        s -> {
                            assertTrue(s.config().isFresh(fleet.simulation().now()));
                            assertTrue(s.config().view().organisation(SOLWAY).isPresent());
                        });
        ControlFleet.Response resent = fleet.apply(leader, 5, "solway", 10);
        ControlFleet.Response conflict = fleet.apply(leader, 5, "forth", 10);
        ControlFleet.Response stale = fleet.apply(other, 4, "solway", 10);
        ControlFleet.Response invalid = fleet.apply(other, 6, "solway", 0);
        ControlFleet.Response ticketPage = fleet.call(other, "GET", "/v1/tickets/5", "");
        ControlFleet.Response unknown = fleet.call(other, "GET", "/v1/tickets/7", "");
        ControlFleet.Response ticketList = fleet.call(other, "GET", "/v1/tickets", "");
        ControlFleet.Response configPage = fleet.call(other, "GET", "/v1/config", "");
        fleet.simulation().run(SECOND_NANOS);
        assertAccepted(resent, 1);
        assertRefused(conflict, 409, "conflict");
        assertRefused(stale, 409, "stale");
        assertRefused(invalid, 422, "invalid-ticket");
        assertTrue(ticketPage.body().contains("organisation 'solway'"), ticketPage.body());
        assertRefused(unknown, 404, "not-found");
        assertTrue(ticketList.body().contains("{\"ticket\":5,"), ticketList.body());
        assertTrue(configPage.body().contains("\"burst\":1.0,\"weight\":1.0,\"ticket\":5}"));
    }

    @Test
    public void onlyHealthChecksNeedNoKey() {
        var fleet = new ControlFleet(1, 0, 1);
        HostId host = fleet.awaitLeader();
        String ticket = ControlFleet.ticket(1, "solway", 1);
        assertEquals(fleet.call(host, "GET", "/healthz", "", "").mStatus, 200);
        assertEquals(fleet.call(host, "GET", "/readyz", "", "").mStatus, 200);
        assertRefused(fleet.call(host, "POST", "/v1/tickets", ticket, "x"), 401, "unauthenticated");
        assertRefused(fleet.call(host, "GET", "/v1/status", "", ""), 401, "unauthenticated");
        assertRefused(fleet.call(host, "GET", "/v1/other", ""), 404, "not-found");
        assertRefused(fleet.call(host, "PUT", "/v1/tickets", ticket), 405, "method-not-allowed");
        assertRefused(
                fleet.call(host, "POST", "/v1/members", "{action: go, host: a}"),
                400,
                "malformed-request");
    }

    @Test
    public void statusShowsTheVersionInForceAtEachSubscriber() {
        var fleet = new ControlFleet(3, 4, 2);
        HostId leader = fleet.awaitLeader();
        fleet.apply(leader, 1, "solway", 1);
        fleet.simulation().run(3 * SECOND_NANOS);
        ControlFleet.Response complete = fleet.call(leader, "GET", "/v1/status", "");
        fleet.simulation().run(SECOND_NANOS / 10);
        assertTrue(complete.mIsComplete);
        for (int n = 0; n < 4; n++) {
            assertTrue(
                    complete.body().contains("\"host\":\"subscriber-" + n + "\",\"version\":1"),
                    complete.body());
        }
        assertTrue(complete.body().contains("\"oldestVersion\":1"), complete.body());
        assertTrue(complete.body().contains("\"silent\":[]"), complete.body());
        fleet.simulation().crash(follower(leader));
        ControlFleet.Response partial = fleet.call(leader, "GET", "/v1/status", "");
        fleet.simulation().run(2 * SECOND_NANOS);
        assertTrue(
                partial.body().contains("\"silent\":[\"" + follower(leader) + "\"]"),
                partial.body());
    }

    @Test
    public void withoutQuorumTicketsAreReportedAsNotRunAndOnlyLocalPagesAreServed() {
        var fleet = new ControlFleet(3, 0, 3);
        HostId leader = fleet.awaitLeader();
        fleet.apply(leader, 1, "solway", 1);
        fleet.simulation().run(SECOND_NANOS);
        IntStream.range(0, 3)
                .mapToObj(ControlFleet::host)
                .filter(h -> !h.equals(leader))
                .forEach(h -> fleet.simulation().crash(h));
        fleet.simulation().run(5 * SECOND_NANOS);
        ControlFleet.Response refused = fleet.apply(leader, 2, "solway", 2);
        ControlFleet.Response confirmed = fleet.call(leader, "GET", "/v1/tickets", "");
        ControlFleet.Response unconfirmed = fleet.call(leader, "GET", "/v1/tickets?local=true", "");
        fleet.simulation().run(10 * SECOND_NANOS);
        assertRefused(refused, 503, "no-leader");
        assertTrue(refused.body().contains("\"ran\":\"no\""), refused.body());
        assertRefused(confirmed, 503, "no-leader");
        assertEquals(unconfirmed.mStatus, 200);
    }

    @Test
    public void aTicketIsForwardedToTheNewLeaderOnceThereIsOne() {
        var fleet = new ControlFleet(3, 0, 6);
        HostId leader = fleet.awaitLeader();
        fleet.simulation().run(SECOND_NANOS);
        HostId contact = follower(leader);
        fleet.simulation().hosts().forEach(h -> fleet.simulation().partition(leader, h));
        ControlFleet.Response response = fleet.apply(contact, 1, "solway", 1);
        for (int i = 0; i < 100 && fleet.leader().filter(l -> !l.equals(leader)).isEmpty(); i++) {
            fleet.simulation().run(SECOND_NANOS / 20);
        }
        fleet.simulation().run(SECOND_NANOS / 5);
        assertAccepted(response, 1);
    }

    @Test
    public void aTicketThatMayBeCommittedIsNeverReportedAsNotRun() {
        var fleet = new ControlFleet(3, 0, 7);
        HostId leader = fleet.awaitLeader();
        fleet.simulation().run(SECOND_NANOS);
        HostId contact = follower(leader);
        ControlFleet.Response response = fleet.apply(contact, 1, "solway", 1);
        fleet.simulation().run(LINK_DELAY_NANOS + LINK_DELAY_NANOS / 10);
        fleet.simulation().hosts().forEach(h -> fleet.simulation().partition(contact, h));
        fleet.simulation().run(12 * SECOND_NANOS);
        assertRefused(response, 503, "commit-unknown");
        assertTrue(response.body().contains("\"ran\":\"maybe\""), response.body());
        ControlFleet.Response ticketPage = fleet.call(leader, "GET", "/v1/tickets/1", "");
        fleet.simulation().run(SECOND_NANOS);
        assertEquals(ticketPage.mStatus, 200, "the ticket was committed");
    }

    @Test
    public void aTicketAtADeposedLeaderIsRetriedUntilItsOutcomeIsKnown() {
        var fleet = new ControlFleet(3, 0, 8);
        HostId leader = fleet.awaitLeader();
        fleet.simulation().run(SECOND_NANOS);
        fleet.simulation().hosts().forEach(h -> fleet.simulation().partition(leader, h));
        ControlFleet.Response response = fleet.apply(leader, 1, "solway", 1);
        fleet.simulation().run(4 * SECOND_NANOS);
        assertFalse(response.mIsComplete, response.body());
        fleet.simulation().hosts().forEach(h -> fleet.simulation().heal(leader, h));
        fleet.simulation().run(4 * SECOND_NANOS);
        assertAccepted(response, 1);
    }

    @Test
    public void statusShowsTheBatchBacklogAtEveryControlHost() {
        var fleet = new ControlFleet(3, 0, 9);
        HostId leader = fleet.awaitLeader();
        fleet.apply(leader, 1, "solway", 1);
        fleet.simulation().run(SECOND_NANOS);
        String service =
                "ticket: 2\nservices: [{id: rota, concurrency: 1}]\nroutes:\n"
                        + "  - {id: rota, pathPrefix: /rota, service: rota}";
        fleet.call(leader, "POST", "/v1/tickets", service);
        fleet.simulation().run(SECOND_NANOS);
        String path =
                "/v1/organisations/solway/v1/jobs?id=night&service-path=/rota" + "&deadline=3600";
        ControlFleet.Response job =
                fleet.call(leader, "POST", path, "{\"body\":1}\n{\"body\":2}\n");
        fleet.simulation().run(12 * SECOND_NANOS);
        assertEquals(job.mStatus, 202, job.body());
        ControlFleet.Response status = fleet.call(follower(leader), "GET", "/v1/status", "");
        fleet.simulation().run(SECOND_NANOS);
        assertTrue(
                status.body().contains("\"organisation\":\"solway\",\"itemsWaiting\":2"),
                status.body());
    }

    @Test
    public void aPlannedStopTransfersLeadershipAndFailsNoPendingTicket() {
        var fleet = new ControlFleet(3, 3, 4);
        HostId leader = fleet.awaitLeader();
        fleet.simulation().run(2 * SECOND_NANOS);
        List<ControlFleet.Response> responses = new ArrayList<>();
        for (int n = 1; n <= 20; n++) {
            responses.add(fleet.apply(n % 2 == 0 ? leader : follower(leader), n, "o" + n, 1));
        }
        fleet.simulation().deliver(leader, new Input.PlannedStop());
        assertRefused(fleet.apply(leader, 30, "late", 1), 503, "stopping");
        fleet.simulation().run(2 * SECOND_NANOS);
        assertTrue(fleet.node(leader).isDrained());
        responses.forEach(a -> assertEquals(a.mStatus, 200, a.body()));
        fleet.simulation().crash(leader);
        assertFalse(fleet.leader().isEmpty(), "no host leads after the handover");
        ControlFleet.Response next = fleet.apply(follower(leader), 31, "next", 1);
        fleet.simulation().run(SECOND_NANOS);
        assertAccepted(next, 21);
        fleet.subscribers()
                .forEach(
                        s -> {
                            assertEquals(s.config().view().version(), 21);
                            assertTrue(s.config().isFresh(fleet.simulation().now()));
                        });
    }

    @Test
    public void noTicketIsLostWhenASecondHostCrashesRightAfterRecoveryFromDiskLoss() {
        var fleet = new ControlFleet(3, 2, 5);
        HostId leader = fleet.awaitLeader();
        for (int n = 1; n <= 500; n++) {
            fleet.apply(leader, n, "o" + n % 50, 1 + n);
            fleet.simulation().run(LINK_DELAY_NANOS);
        }
        fleet.simulation().run(2 * SECOND_NANOS);
        HostId lost = follower(leader);
        fleet.simulation().crash(lost);
        fleet.loseDisk(lost);
        fleet.start(lost);
        fleet.simulation().run(5 * SECOND_NANOS);
        fleet.simulation().crash(leader);
        fleet.simulation().run(5 * SECOND_NANOS);
        ControlFleet.Response resent = fleet.apply(lost, 500, "o0", 501);
        ControlFleet.Response other = fleet.apply(lost, 500, "o0", 502);
        fleet.simulation().run(2 * SECOND_NANOS);
        assertAccepted(resent, 500);
        assertRefused(other, 409, "conflict");
        fleet.subscribers().forEach(s -> assertEquals(s.config().view().version(), 500));
    }

    /** A fault that is injected at one message between control hosts while a ticket is handled. */
    private enum Fault {
        CRASH_LEADER,
        CRASH_CONTACT,
        CRASH_THIRD,
        CUT_LEADER,
        CUT_CONTACT,
        LOSE,
        DOUBLE,
        LATE
    }

    private static final int FAULT_POSITIONS = 12;

    /** Whether all pairs of faults run; otherwise each first fault gets one second, by position. */
    private static final boolean ALL_PAIRS = Boolean.getBoolean("coltsfootproxy.allPairs");

    @DataProvider
    public Object[][] faultPairs() {
        return IntStream.range(0, FAULT_POSITIONS)
                .boxed()
                .flatMap(position -> Arrays.stream(Fault.values()).flatMap(f -> rows(position, f)))
                .toArray(Object[][]::new);
    }

    private static Stream<Object[]> rows(int position, Fault first) {
        int count = Fault.values().length;
        int chosenSecond = (position + 3 * first.ordinal()) % count;
        return Arrays.stream(Fault.values())
                .filter(second -> ALL_PAIRS || second.ordinal() == chosenSecond)
                .map(second -> new Object[] {position, first, second});
    }

    /**
     * Injects a fault at one message between control hosts while a ticket is handled, and a second
     * one two messages later. Then the operator resends the ticket at another host, and a different
     * ticket with the same number is sent, which must conflict.
     */
    @Test(dataProvider = "faultPairs")
    public void aTicketIsAppliedOnceAndAnsweredConsistentlyDespiteTwoFaults(
            int position, Fault first, Fault second) {
        var fleet = new ControlFleet(3, 2, 100 + position);
        HostId leader = fleet.awaitLeader();
        fleet.simulation().run(SECOND_NANOS);
        HostId contact = follower(leader);
        new FaultInjector(fleet, leader, contact, position, first, second).install();
        ControlFleet.Response firstTry = fleet.apply(contact, 7, "solway", 10);
        fleet.simulation().run(4 * SECOND_NANOS);
        healAndRestart(fleet);
        ControlFleet.Response resent = fleet.apply(follower(contact), 7, "solway", 10);
        fleet.simulation().run(9 * SECOND_NANOS);
        ControlFleet.Response other = fleet.apply(contact, 7, "forth", 10);
        fleet.simulation().run(3 * SECOND_NANOS);
        assertAccepted(resent, 1);
        assertRefused(other, 409, "conflict");
        if (firstTry.mIsComplete && firstTry.mStatus == 200) {
            assertEquals(firstTry.body(), resent.body());
        }
        fleet.subscribers()
                .forEach(
                        s -> {
                            assertEquals(s.config().view().version(), 1);
                            assertTrue(s.config().isFresh(fleet.simulation().now()));
                        });
    }

    private static void healAndRestart(ControlFleet fleet) {
        fleet.simulation().setLink((from, send, now) -> List.of(LINK_DELAY_NANOS));
        for (int n = 0; n < 3; n++) {
            HostId host = ControlFleet.host(n);
            fleet.simulation().hosts().forEach(h -> fleet.simulation().heal(host, h));
            if (!fleet.simulation().hosts().contains(host)) {
                fleet.start(host);
            }
        }
        fleet.simulation().run(4 * SECOND_NANOS);
    }

    /** Counts the messages between control hosts and injects faults at the chosen ones. */
    private static final class FaultInjector {
        private final ControlFleet mFleet;
        private final HostId mLeader;
        private final HostId mContact;
        private final int mPosition;
        private final Fault mFirst;
        private final Fault mSecond;
        private final Random mRandom = new Random(1);
        private int mMessageCount;

        FaultInjector(
                ControlFleet fleet,
                HostId leader,
                HostId contact,
                int position,
                Fault first,
                Fault second) {
            mFleet = fleet;
            mLeader = leader;
            mContact = contact;
            mPosition = position;
            mFirst = first;
            mSecond = second;
        }

        void install() {
            mFleet.simulation().setLink((from, send, now) -> deliveries(from, send));
        }

        private List<Long> deliveries(HostId from, Effect.Send send) {
            if (!isControl(from) || !isControl(send.to())) {
                return List.of(LINK_DELAY_NANOS);
            }
            int number = mMessageCount++;
            if (number == mPosition) {
                return inject(mFirst);
            }
            return number == mPosition + 2 ? inject(mSecond) : List.of(LINK_DELAY_NANOS);
        }

        private static boolean isControl(HostId host) {
            return host.value().startsWith("control");
        }

        private List<Long> inject(Fault fault) {
            HostId third =
                    IntStream.range(0, 3)
                            .mapToObj(ControlFleet::host)
                            .filter(h -> !h.equals(mLeader) && !h.equals(mContact))
                            .findFirst()
                            .orElseThrow();
            switch (fault) {
                case CRASH_LEADER -> afterStep(() -> mFleet.simulation().crash(mLeader));
                case CRASH_CONTACT -> afterStep(() -> mFleet.simulation().crash(mContact));
                case CRASH_THIRD -> afterStep(() -> mFleet.simulation().crash(third));
                case CUT_LEADER -> afterStep(() -> cut(mLeader));
                case CUT_CONTACT -> afterStep(() -> cut(mContact));
                case LOSE -> {
                    return List.of();
                }
                case DOUBLE -> {
                    return List.of(
                            LINK_DELAY_NANOS,
                            LINK_DELAY_NANOS + mRandom.nextInt((int) SECOND_NANOS / 2));
                }
                default -> {
                    return List.of(3 * SECOND_NANOS);
                }
            }
            return List.of(LINK_DELAY_NANOS);
        }

        private void afterStep(Runnable action) {
            mFleet.simulation().after(0, action);
        }

        private void cut(HostId host) {
            mFleet.simulation().hosts().stream()
                    .filter(h -> !h.equals(host))
                    .forEach(h -> mFleet.simulation().partition(host, h));
        }
    }
}
