package org.coltsfootproxy.direct;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.coltsfootproxy.base.DataCentre;
import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.base.ServiceId;
import org.coltsfootproxy.base.SoftwareVersion;
import org.coltsfootproxy.base.TargetId;
import org.coltsfootproxy.base.TrafficClass;
import org.coltsfootproxy.config.ConfigView;
import org.coltsfootproxy.config.Service;
import org.coltsfootproxy.membership.FleetMembership;
import org.coltsfootproxy.message.FleetMessage;
import org.coltsfootproxy.message.FleetRole;
import org.coltsfootproxy.message.ListedTarget;
import org.coltsfootproxy.node.Effects;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests what one host may send to targets of a service that limits its cold targets. */
public final class ColdLimitTest {
    private static final long SECOND = TimeUnit.SECONDS.toNanos(1);
    private static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);
    private static final HostId SELF = HostId.of("10.0.2.1");
    private static final ServiceId LM = ServiceId.of("lm");
    private static final DataCentre HERE = DataCentre.of("here");

    /** Calls that the only entry may send in one second to a cold target: 12 x 1.5 + 5, less 1. */
    private static final int QUOTA = 22;

    private static final Effects IGNORED = effect -> {};

    private Targets mTargets;
    private long mListing;

    @BeforeMethod
    public void begin() {
        mListing = 0;
        mTargets = Targets.create(HERE, new Random(1));
        mTargets.started(0);
        mTargets.configure(config(new Service.ColdStart(3_000, 12)), true, 0, IGNORED);
        var self = new FleetMembership.Self(SELF, "self", FleetRole.ENTRY, HERE);
        mTargets.coldLimits()
                .hosts(SELF, true, FleetMembership.create(self, List.of(SELF)), 20 * SECOND);
    }

    private static ConfigView config(Service.ColdStart limit) {
        Service service = Service.of(LM, false, 8, List.of()).withColdStart(limit);
        return ConfigView.of(1, Stream.empty(), Stream.empty(), Stream.of(service), Stream.empty());
    }

    private void list(long startedAt, long coldMillis) {
        var entry =
                new ListedTarget(
                        TargetId.of("a"),
                        LM,
                        HERE,
                        "10.8.0.1:80",
                        false,
                        8,
                        startedAt,
                        SoftwareVersion.UNNAMED,
                        coldMillis);
        mTargets.update(new FleetMessage.Listing(++mListing, List.of(entry), List.of()), IGNORED);
    }

    private Target target() {
        return mTargets.byId(TargetId.of("a")).orElseThrow();
    }

    private int sendAll(long from, long nanos) {
        int calls = 0;
        for (long now = from; now < from + nanos; now += MILLI) {
            while (target().rateLimit().allowedCalls(now) > 0) {
                mTargets.callStarted(target(), TrafficClass.ONLINE, now);
                calls++;
            }
        }
        return calls;
    }

    /** Guards against a target that turns cold having just got more than it stands. */
    @Test
    public void aWarmTargetGetsNoMoreInASecondThanACold() {
        list(1, ListedTarget.WARM);
        assertEquals(sendAll(20 * SECOND, SECOND), QUOTA);
    }

    /** Guards against the whole of what a second allows being used again and again. */
    @Test
    public void aColdTargetGetsItsRate() {
        list(1, 3_000);
        assertEquals(target().rateLimit().allowedCalls(20 * SECOND), 0);
        int calls = sendAll(20 * SECOND, 3 * SECOND);
        assertTrue(calls >= 34 && calls <= 36, "" + calls);
    }

    /** Guards against a target of which nothing is known being taken for warm. */
    @Test
    public void aTargetOfUnknownAgeIsColdForTheTimeOfItsService() {
        list(1, 0);
        assertEquals(target().rateLimit().perSecond().orElse(0), 0.0);
        target().rateLimit().allowedCalls(20 * SECOND);
        assertEquals(target().rateLimit().perSecond().getAsDouble(), 12.0);
        target().rateLimit().allowedCalls(23 * SECOND);
        assertTrue(target().rateLimit().perSecond().isEmpty());
    }

    /** Guards against a target that starts anew under its id keeping what was known before. */
    @Test
    public void anotherStartBeginsAnotherColdPeriod() {
        list(1, 0);
        target().rateLimit().allowedCalls(20 * SECOND);
        list(2, 0);
        target().rateLimit().allowedCalls(30 * SECOND);
        assertEquals(target().rateLimit().perSecond().getAsDouble(), 12.0);
    }

    /** Guards against the list, which lags, overruling what the target itself said later. */
    @Test
    public void theTargetsOwnWordOutlastsTheList() {
        list(1, ListedTarget.WARM);
        mTargets.coldNamed(target(), 2_000, 20 * SECOND, IGNORED);
        list(1, ListedTarget.WARM);
        target().rateLimit().allowedCalls(21 * SECOND);
        assertEquals(target().rateLimit().perSecond().getAsDouble(), 12.0);
        target().rateLimit().allowedCalls(22 * SECOND);
        assertTrue(target().rateLimit().perSecond().isEmpty());
    }

    /** Guards against a list that leaves a target out for a moment doubling what it gets. */
    @Test
    public void aTargetThatTheListLeavesOutForAMomentKeepsItsCount() {
        list(1, ListedTarget.WARM);
        sendAll(20 * SECOND, MILLI);
        mTargets.update(new FleetMessage.Listing(++mListing, List.of(), List.of()), IGNORED);
        list(1, ListedTarget.WARM);
        assertEquals(target().rateLimit().allowedCalls(20 * SECOND + 500 * MILLI), 0);
    }

    /** Guards against what this host sent before its restart being sent once more. */
    @Test
    public void nothingIsSentInTheFirstSecondAfterAStart() {
        list(1, ListedTarget.WARM);
        assertEquals(target().rateLimit().allowedCalls(SECOND), 0);
        assertTrue(target().rateLimit().allowedCalls(2 * SECOND) > 0);
    }

    /** Guards against a change for services that name no limit. */
    @Test
    public void aServiceWithoutALimitIsAsBefore() {
        mTargets.configure(config(null), true, 0, IGNORED);
        list(1, 3_000);
        mTargets.coldNamed(target(), 2_000, 0, IGNORED);
        assertEquals(target().rateLimit().allowedCalls(0), Integer.MAX_VALUE);
        assertTrue(target().rateLimit().perSecond().isEmpty());
        assertFalse(mTargets.chooseForOnline(LM, t -> true, 0).isEmpty());
    }

    /** Guards against a new number of the list each second while a cold period runs down. */
    @Test
    public void aColdPeriodThatRunsDownIsTheSameEntry() {
        list(1, 3_000);
        ListedTarget first = target().listed();
        list(1, 2_000);
        ListedTarget later = target().listed();
        assertEquals(later.continuing(first), first);
        list(1, ListedTarget.WARM);
        assertEquals(target().listed().continuing(first), target().listed());
        list(2, 2_500);
        assertEquals(target().listed().continuing(first), target().listed());
        list(1, 3_500);
        assertEquals(target().listed().continuing(first), target().listed());
    }
}
