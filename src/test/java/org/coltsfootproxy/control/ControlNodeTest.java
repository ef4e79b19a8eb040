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

/** Control hosts as operators and subscribers meet them. */
public final class ControlNodeTest {
    private static final long SECOND = TimeUnit.SECONDS.toNanos(1);
    private static final long LINK = 1_500_000;
    private static final OrganisationId SOLWAY = OrganisationId.of("solway");

    private static HostId follower(HostId leader) {
        return IntStream.range(0, 3)
                .mapToObj(ControlFleet::host)
                .filter(h -> !h.equals(leader))
                .findFirst()
                .orElseThrow();
    }

    private static void assertAccepted(ControlFleet.Answer answer, long version) {
        assertTrue(answer.mIsWhole, "no answer");
        assertEquals(answer.mStatus, 200, answer.body());
        assertTrue(answer.body().contains("\"version\":" + version + "}"), answer.body());
    }

    private static void assertRefused(ControlFleet.Answer answer, int status, String kind) {
        assertTrue(answer.mIsWhole, "no answer");
        assertEquals(answer.mStatus, status, answer.body());
        assertTrue(answer.body().contains("\"kind\":\"" + kind + "\""), answer.body());
        assertTrue(answer.body().contains("\"ran\":\""), answer.body());
    }

    @Test
    public void ticketsAreAcceptedAtAnyHostAndComeIntoForceEverywhere() {
        var fleet = new ControlFleet(3, 6, 1);
        HostId leader = fleet.awaitLeader();
        HostId other = follower(leader);
        ControlFleet.Answer first = fleet.apply(other, 5, "solway", 10);
        fleet.fleet().run(SECOND);
        assertAccepted(first, 1);
        fleet.subscribers()
                .forEach(
                        s -> {
                            assertTrue(s.decisions().isFresh(fleet.fleet().now()));
                            assertTrue(s.decisions().view().organisation(SOLWAY).isPresent());
                        });
        ControlFleet.Answer resent = fleet.apply(leader, 5, "solway", 10);
        ControlFleet.Answer conflict = fleet.apply(leader, 5, "forth", 10);
        ControlFleet.Answer stale = fleet.apply(other, 4, "solway", 10);
        ControlFleet.Answer invalid = fleet.apply(other, 6, "solway", 0);
        ControlFleet.Answer shown = fleet.call(other, "GET", "/v1/tickets/5", "");
        ControlFleet.Answer unknown = fleet.call(other, "GET", "/v1/tickets/7", "");
        ControlFleet.Answer listed = fleet.call(other, "GET", "/v1/tickets", "");
        ControlFleet.Answer config = fleet.call(other, "GET", "/v1/config", "");
        fleet.fleet().run(SECOND);
        assertAccepted(resent, 1);
        assertRefused(conflict, 409, "conflict");
        assertRefused(stale, 409, "stale");
        assertRefused(invalid, 422, "invalid-ticket");
        assertTrue(shown.body().contains("organisation 'solway'"), shown.body());
        assertRefused(unknown, 404, "not-found");
        assertTrue(listed.body().contains("{\"ticket\":5,"), listed.body());
        assertTrue(config.body().contains("\"burst\":1.0,\"weight\":1.0,\"ticket\":5}"));
    }

    @Test
    public void onlyHealthIsOpenToAll() {
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
    public void statusTellsWhichVersionIsInForceWhere() {
        var fleet = new ControlFleet(3, 4, 2);
        HostId leader = fleet.awaitLeader();
        fleet.apply(leader, 1, "solway", 1);
        fleet.fleet().run(3 * SECOND);
        ControlFleet.Answer whole = fleet.call(leader, "GET", "/v1/status", "");
        fleet.fleet().run(SECOND / 10);
        assertTrue(whole.mIsWhole);
        for (int n = 0; n < 4; n++) {
            assertTrue(
                    whole.body().contains("\"host\":\"subscriber-" + n + "\",\"version\":1"),
                    whole.body());
        }
        assertTrue(whole.body().contains("\"oldestVersion\":1"), whole.body());
        assertTrue(whole.body().contains("\"silent\":[]"), whole.body());
        fleet.fleet().crash(follower(leader));
        ControlFleet.Answer part = fleet.call(leader, "GET", "/v1/status", "");
        fleet.fleet().run(2 * SECOND);
        assertTrue(part.body().contains("\"silent\":[\"" + follower(leader) + "\"]"), part.body());
    }

    @Test
    public void withoutQuorumTicketsAreRefusedTruthfullyAndOldPagesOnlyOnRequest() {
        var fleet = new ControlFleet(3, 0, 3);
        HostId leader = fleet.awaitLeader();
        fleet.apply(leader, 1, "solway", 1);
        fleet.fleet().run(SECOND);
        IntStream.range(0, 3)
                .mapToObj(ControlFleet::host)
                .filter(h -> !h.equals(leader))
                .forEach(h -> fleet.fleet().crash(h));
        fleet.fleet().run(5 * SECOND);
        ControlFleet.Answer late = fleet.apply(leader, 2, "solway", 2);
        ControlFleet.Answer page = fleet.call(leader, "GET", "/v1/tickets", "");
        ControlFleet.Answer local = fleet.call(leader, "GET", "/v1/tickets?local=true", "");
        fleet.fleet().run(10 * SECOND);
        assertRefused(late, 503, "no-leader");
        assertTrue(late.body().contains("\"ran\":\"no\""), late.body());
        assertRefused(page, 503, "no-leader");
        assertEquals(local.mStatus, 200);
    }

    @Test
    public void aTicketGoesToTheNewLeaderAsSoonAsThereIsOne() {
        var fleet = new ControlFleet(3, 0, 6);
        HostId leader = fleet.awaitLeader();
        fleet.fleet().run(SECOND);
        HostId contact = follower(leader);
        fleet.fleet().hosts().forEach(h -> fleet.fleet().cut(leader, h));
        ControlFleet.Answer answer = fleet.apply(contact, 1, "solway", 1);
        for (int i = 0; i < 100 && fleet.leader().filter(l -> !l.equals(leader)).isEmpty(); i++) {
            fleet.fleet().run(SECOND / 20);
        }
        fleet.fleet().run(SECOND / 5);
        assertAccepted(answer, 1);
    }

    @Test
    public void anOrderThatMayHaveBeenTakenIsNeverCalledNotRun() {
        var fleet = new ControlFleet(3, 0, 7);
        HostId leader = fleet.awaitLeader();
        fleet.fleet().run(SECOND);
        HostId contact = follower(leader);
        ControlFleet.Answer answer = fleet.apply(contact, 1, "solway", 1);
        fleet.fleet().run(LINK + LINK / 10);
        fleet.fleet().hosts().forEach(h -> fleet.fleet().cut(contact, h));
        fleet.fleet().run(12 * SECOND);
        assertRefused(answer, 503, "commit-unknown");
        assertTrue(answer.body().contains("\"ran\":\"maybe\""), answer.body());
        ControlFleet.Answer shown = fleet.call(leader, "GET", "/v1/tickets/1", "");
        fleet.fleet().run(SECOND);
        assertEquals(shown.mStatus, 200, "the ticket was taken after all");
    }

    @Test
    public void aTicketAtDeposedLeaderIsTriedAgainUntilItsOutcomeIsKnown() {
        var fleet = new ControlFleet(3, 0, 8);
        HostId leader = fleet.awaitLeader();
        fleet.fleet().run(SECOND);
        fleet.fleet().hosts().forEach(h -> fleet.fleet().cut(leader, h));
        ControlFleet.Answer answer = fleet.apply(leader, 1, "solway", 1);
        fleet.fleet().run(4 * SECOND);
        assertFalse(answer.mIsWhole, answer.body());
        fleet.fleet().hosts().forEach(h -> fleet.fleet().heal(leader, h));
        fleet.fleet().run(4 * SECOND);
        assertAccepted(answer, 1);
    }

    @Test
    public void statusShowsWaitingBatchWorkWhicheverHostIsAsked() {
        var fleet = new ControlFleet(3, 0, 9);
        HostId leader = fleet.awaitLeader();
        fleet.apply(leader, 1, "solway", 1);
        fleet.fleet().run(SECOND);
        String service =
                "ticket: 2\nservices: [{id: rota, concurrency: 1}]\nroutes:\n"
                        + "  - {id: rota, pathPrefix: /rota, service: rota}";
        fleet.call(leader, "POST", "/v1/tickets", service);
        fleet.fleet().run(SECOND);
        String path =
                "/v1/organisations/solway/v1/jobs?id=night&service-path=/rota" + "&deadline=3600";
        ControlFleet.Answer job = fleet.call(leader, "POST", path, "{\"body\":1}\n{\"body\":2}\n");
        fleet.fleet().run(12 * SECOND);
        assertEquals(job.mStatus, 202, job.body());
        ControlFleet.Answer status = fleet.call(follower(leader), "GET", "/v1/status", "");
        fleet.fleet().run(SECOND);
        assertTrue(
                status.body().contains("\"organisation\":\"solway\",\"itemsWaiting\":2"),
                status.body());
    }

    @Test
    public void aPlannedStopHandsLeadershipOverAndCutsNothing() {
        var fleet = new ControlFleet(3, 3, 4);
        HostId leader = fleet.awaitLeader();
        fleet.fleet().run(2 * SECOND);
        List<ControlFleet.Answer> answers = new ArrayList<>();
        for (int n = 1; n <= 20; n++) {
            answers.add(fleet.apply(n % 2 == 0 ? leader : follower(leader), n, "o" + n, 1));
        }
        fleet.fleet().deliver(leader, new Input.PlannedStop());
        assertRefused(fleet.apply(leader, 30, "late", 1), 503, "stopping");
        fleet.fleet().run(2 * SECOND);
        assertTrue(fleet.node(leader).isDrained());
        answers.forEach(a -> assertEquals(a.mStatus, 200, a.body()));
        fleet.fleet().crash(leader);
        assertFalse(fleet.leader().isEmpty(), "nobody leads after the handover");
        ControlFleet.Answer next = fleet.apply(follower(leader), 31, "next", 1);
        fleet.fleet().run(SECOND);
        assertAccepted(next, 21);
        fleet.subscribers()
                .forEach(
                        s -> {
                            assertEquals(s.decisions().view().version(), 21);
                            assertTrue(s.decisions().isFresh(fleet.fleet().now()));
                        });
    }

    @Test
    public void nothingIsLostWhenSecondHostGoesRightAfterRepair() {
        var fleet = new ControlFleet(3, 2, 5);
        HostId leader = fleet.awaitLeader();
        for (int n = 1; n <= 500; n++) {
            fleet.apply(leader, n, "o" + n % 50, 1 + n);
            fleet.fleet().run(LINK);
        }
        fleet.fleet().run(2 * SECOND);
        HostId lost = follower(leader);
        fleet.fleet().crash(lost);
        fleet.loseDisk(lost);
        fleet.start(lost);
        fleet.fleet().run(5 * SECOND);
        fleet.fleet().crash(leader);
        fleet.fleet().run(5 * SECOND);
        ControlFleet.Answer again = fleet.apply(lost, 500, "o0", 501);
        ControlFleet.Answer other = fleet.apply(lost, 500, "o0", 502);
        fleet.fleet().run(2 * SECOND);
        assertAccepted(again, 500);
        assertRefused(other, 409, "conflict");
        fleet.subscribers().forEach(s -> assertEquals(s.decisions().view().version(), 500));
    }

    /** What befalls the fleet at one message of a ticket's way. */
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

    private static final int STEPS = 12;

    /** Whether every pair of faults is tried, or each fault with one that changes by step. */
    private static final boolean ALL_PAIRS = Boolean.getBoolean("coltsfootproxy.allPairs");

    @DataProvider
    public Object[][] matrix() {
        return IntStream.range(0, STEPS)
                .boxed()
                .flatMap(step -> Arrays.stream(Fault.values()).flatMap(f -> rows(step, f)))
                .toArray(Object[][]::new);
    }

    private static Stream<Object[]> rows(int step, Fault first) {
        int count = Fault.values().length;
        int chosen = (step + 3 * first.ordinal()) % count;
        return Arrays.stream(Fault.values())
                .filter(second -> ALL_PAIRS || second.ordinal() == chosen)
                .map(second -> new Object[] {step, first, second});
    }

    /**
     * A fault at each message of a ticket's way, and a second one two messages later; then the
     * operator resends at another host, and so does another with other content.
     */
    @Test(dataProvider = "matrix")
    public void aTicketIsAppliedOnceAndAnsweredAlikeWhateverTwoFaultsFall(
            int step, Fault first, Fault second) {
        var fleet = new ControlFleet(3, 2, 100 + step);
        HostId leader = fleet.awaitLeader();
        fleet.fleet().run(SECOND);
        HostId contact = follower(leader);
        new Saboteur(fleet, leader, contact, step, first, second).begin();
        ControlFleet.Answer tried = fleet.apply(contact, 7, "solway", 10);
        fleet.fleet().run(4 * SECOND);
        repair(fleet);
        ControlFleet.Answer resent = fleet.apply(follower(contact), 7, "solway", 10);
        fleet.fleet().run(9 * SECOND);
        ControlFleet.Answer other = fleet.apply(contact, 7, "forth", 10);
        fleet.fleet().run(3 * SECOND);
        assertAccepted(resent, 1);
        assertRefused(other, 409, "conflict");
        if (tried.mIsWhole && tried.mStatus == 200) {
            assertEquals(tried.body(), resent.body());
        }
        fleet.subscribers()
                .forEach(
                        s -> {
                            assertEquals(s.decisions().view().version(), 1);
                            assertTrue(s.decisions().isFresh(fleet.fleet().now()));
                        });
    }

    private static void repair(ControlFleet fleet) {
        fleet.fleet().link((from, send, now) -> List.of(LINK));
        for (int n = 0; n < 3; n++) {
            HostId host = ControlFleet.host(n);
            fleet.fleet().hosts().forEach(h -> fleet.fleet().heal(host, h));
            if (!fleet.fleet().hosts().contains(host)) {
                fleet.start(host);
            }
        }
        fleet.fleet().run(4 * SECOND);
    }

    /** Counts messages between control hosts and does harm at the chosen ones. */
    private static final class Saboteur {
        private final ControlFleet mFleet;
        private final HostId mLeader;
        private final HostId mContact;
        private final int mStep;
        private final Fault mFirst;
        private final Fault mSecond;
        private final Random mRandom = new Random(1);
        private int mSeen;

        Saboteur(
                ControlFleet fleet,
                HostId leader,
                HostId contact,
                int step,
                Fault first,
                Fault second) {
            mFleet = fleet;
            mLeader = leader;
            mContact = contact;
            mStep = step;
            mFirst = first;
            mSecond = second;
        }

        void begin() {
            mFleet.fleet().link((from, send, now) -> deliveries(from, send));
        }

        private List<Long> deliveries(HostId from, Effect.Send send) {
            if (!isControl(from) || !isControl(send.to())) {
                return List.of(LINK);
            }
            int number = mSeen++;
            if (number == mStep) {
                return harm(mFirst);
            }
            return number == mStep + 2 ? harm(mSecond) : List.of(LINK);
        }

        private static boolean isControl(HostId host) {
            return host.value().startsWith("control");
        }

        private List<Long> harm(Fault fault) {
            HostId third =
                    IntStream.range(0, 3)
                            .mapToObj(ControlFleet::host)
                            .filter(h -> !h.equals(mLeader) && !h.equals(mContact))
                            .findFirst()
                            .orElseThrow();
            switch (fault) {
                case CRASH_LEADER -> later(() -> mFleet.fleet().crash(mLeader));
                case CRASH_CONTACT -> later(() -> mFleet.fleet().crash(mContact));
                case CRASH_THIRD -> later(() -> mFleet.fleet().crash(third));
                case CUT_LEADER -> later(() -> cut(mLeader));
                case CUT_CONTACT -> later(() -> cut(mContact));
                case LOSE -> {
                    return List.of();
                }
                case DOUBLE -> {
                    return List.of(LINK, LINK + mRandom.nextInt((int) SECOND / 2));
                }
                default -> {
                    return List.of(3 * SECOND);
                }
            }
            return List.of(LINK);
        }

        private void later(Runnable action) {
            mFleet.fleet().after(0, action);
        }

        private void cut(HostId host) {
            mFleet.fleet().hosts().stream()
                    .filter(h -> !h.equals(host))
                    .forEach(h -> mFleet.fleet().cut(host, h));
        }
    }
}
