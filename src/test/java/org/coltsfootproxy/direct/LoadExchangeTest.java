package org.coltsfootproxy.direct;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.coltsfootproxy.base.DataCentre;
import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.base.ServiceId;
import org.coltsfootproxy.base.SoftwareVersion;
import org.coltsfootproxy.base.TargetId;
import org.coltsfootproxy.base.TrafficClass;
import org.coltsfootproxy.message.FleetMessage;
import org.coltsfootproxy.message.ListedTarget;
import org.coltsfootproxy.node.Effect;
import org.coltsfootproxy.node.Node;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests of {@link LoadExchange} and of the choice of targets by the load that hosts report. */
public final class LoadExchangeTest {
    private static final Predicate<Target> ANY = target -> true;
    private static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);
    private static final HostId SELF = HostId.of("10.0.2.1");
    private static final HostId STORE = HostId.of("10.0.1.1");
    private static final ServiceId LM = ServiceId.of("lm");
    private static final DataCentre LOCAL = DataCentre.of("near");
    private static final DataCentre REMOTE = DataCentre.of("far");

    private final List<Effect> mEffects = new ArrayList<>();
    private Targets mTargets;
    private LoadExchange mLoadExchange;

    @BeforeMethod
    public void begin() {
        mEffects.clear();
        mTargets = Targets.create(LOCAL, new Random(1));
        mTargets.update(
                new FleetMessage.Listing(
                        1, List.of(target("a", LOCAL), target("b", REMOTE)), List.of()),
                mEffects::add);
        mLoadExchange = LoadExchange.create(SELF, mTargets);
        mLoadExchange.hosts(List.of(SELF, STORE));
        mEffects.clear();
    }

    private static ListedTarget target(String id, DataCentre dataCentre) {
        String address = "10.8.0." + (id.charAt(0) - 'a' + 1) + ":80";
        return new ListedTarget(
                TargetId.of(id), LM, dataCentre, address, false, 8, 0, SoftwareVersion.UNNAMED, 0);
    }

    private Target target(String id) {
        return mTargets.byId(TargetId.of(id)).orElseThrow();
    }

    private static FleetMessage.TargetUse use(String id, int online, int batch) {
        return use(id, online, batch, 0);
    }

    private static FleetMessage.TargetUse use(String id, int online, int batch, int kept) {
        return FleetMessage.TargetUse.of(TargetId.of(id), online, batch, kept);
    }

    private static FleetMessage.TargetUse started(FleetMessage.TargetUse use, int calls) {
        return limited(use, calls, 0);
    }

    private static FleetMessage.TargetUse limited(
            FleetMessage.TargetUse use, int started, double perSecond) {
        return new FleetMessage.TargetUse(
                use.target(), use.online(), use.batch(), use.kept(), started, perSecond, 0, 0, 0);
    }

    private static FleetMessage.InFlight complete(FleetMessage.TargetUse... uses) {
        return new FleetMessage.InFlight(List.of(uses), true);
    }

    private static FleetMessage.InFlight changes(FleetMessage.TargetUse... uses) {
        return new FleetMessage.InFlight(List.of(uses), false);
    }

    private String chosenForOnline() {
        return mTargets.chooseForOnline(LM, ANY, 0).orElseThrow().listed().id().value();
    }

    @Test
    public void aLocalTargetIsPreferredUntilItIsBusier() {
        assertEquals(chosenForOnline(), "a");
        mTargets.callStarted(target("a"), TrafficClass.ONLINE, 0);
        mTargets.callStarted(target("a"), TrafficClass.ONLINE, 0);

        assertEquals(chosenForOnline(), "b");
    }

    @Test
    public void callsInFlightFromOtherHostsCountLikeOwnCalls() {
        mLoadExchange.handle(STORE, new FleetMessage.InFlight(List.of(use("a", 1, 4)), true), 0);
        assertEquals(chosenForOnline(), "b");

        mLoadExchange.handle(STORE, changes(use("a", 0, 1)), MILLI);
        assertEquals(target("a").inFlight(MILLI), 1);

        mLoadExchange.handle(STORE, new FleetMessage.InFlight(List.of(), true), 2 * MILLI);
        assertEquals(target("a").inFlight(2 * MILLI), 0);
    }

    @Test
    public void aTargetWithAPreemptibleBatchItemIsPreferredToOneWithOnlyAQueue() {
        mLoadExchange.handle(
                STORE, new FleetMessage.InFlight(List.of(use("a", 8, 0), use("b", 4, 4)), true), 0);
        assertEquals(chosenForOnline(), "b");

        mLoadExchange.preemptBatchItem(target("b"), mEffects::add);
        assertEquals(
                mEffects,
                List.of(new Effect.Send(STORE, new FleetMessage.PreemptItem(TargetId.of("b")))));
        assertEquals(target("b").batch(), 3);
    }

    @Test
    public void aKeptBatchItemIsNotPreempted() {
        mLoadExchange.handle(
                STORE,
                new FleetMessage.InFlight(List.of(use("a", 20, 4, 4), use("b", 9, 0)), true),
                0);
        assertEquals(chosenForOnline(), "b");

        mLoadExchange.preemptBatchItem(target("a"), mEffects::add);
        assertEquals(mEffects, List.of());
    }

    @Test
    public void onePreemptibleItemDoesNotOutweighALongQueue() {
        mLoadExchange.handle(
                STORE,
                new FleetMessage.InFlight(List.of(use("a", 20, 1), use("b", 9, 0)), true),
                0);
        assertEquals(chosenForOnline(), "b");
    }

    @Test
    public void aBatchItemIsSentOnlyToATargetWithAFreeSlot() {
        mLoadExchange.handle(
                STORE, new FleetMessage.InFlight(List.of(use("a", 0, 7), use("b", 0, 8)), true), 0);

        assertEquals(
                mTargets.chooseForBatch(LM, ANY, 1, 0).orElseThrow().listed().id().value(), "a");
        mTargets.callStarted(target("a"), TrafficClass.BATCH, 0);
        assertTrue(mTargets.chooseForBatch(LM, ANY, 1, 0).isEmpty());
    }

    @Test
    public void slotsStayFreeOfBatchItemsForTheUsualVariationOfOnlineRequests() {
        mLoadExchange.handle(STORE, complete(use("a", 2, 5), use("b", 2, 4)), 0);
        assertTrue(mTargets.chooseForBatch(LM, ANY, 1, 0).isPresent());

        mLoadExchange.handle(STORE, complete(use("a", 2, 6), use("b", 2, 4)), 0);
        assertTrue(mTargets.chooseForBatch(LM, ANY, 1, 0).isEmpty());
    }

    @Test
    public void hostsThatSeeTheSameFreeSlotsShareThem() {
        mLoadExchange.handle(STORE, new FleetMessage.InFlight(List.of(use("b", 8, 0)), true), 0);
        for (int started = 0; started < 2; started++) {
            Target target = mTargets.chooseForBatch(LM, ANY, 4, 0).orElseThrow();
            mTargets.callStarted(target, TrafficClass.BATCH, 0);
            target.batchStarted(0);
        }
        assertTrue(mTargets.chooseForBatch(LM, ANY, 4, 0).isEmpty());
        assertTrue(mTargets.chooseForBatch(LM, ANY, 4, 60 * MILLI).isPresent());
    }

    @Test
    public void urgentItemsMayKeepAQuarterOfTheSlotsOfEachTarget() {
        mLoadExchange.handle(
                STORE,
                new FleetMessage.InFlight(List.of(use("a", 6, 2, 2), use("b", 8, 1, 1)), true),
                0);
        assertEquals(mTargets.chooseForUrgent(LM, ANY, 0).orElseThrow().listed().id().value(), "b");
        mLoadExchange.handle(
                STORE,
                new FleetMessage.InFlight(List.of(use("a", 6, 2, 2), use("b", 8, 2, 2)), true),
                0);
        assertTrue(mTargets.chooseForUrgent(LM, ANY, 0).isEmpty());
    }

    @Test
    public void aReportOfChangesLeavesOtherTargetsAsTheyWere() {
        mLoadExchange.handle(STORE, complete(use("a", 2, 1), use("b", 3, 0)), 0);
        mLoadExchange.handle(STORE, changes(use("a", 0, 0)), MILLI);

        assertEquals(target("a").inFlight(MILLI), 0);
        assertEquals(target("b").inFlight(MILLI), 3);
    }

    @Test
    public void aCompleteReportCorrectsWhatALostReportWouldHaveChanged() {
        mLoadExchange.handle(STORE, complete(use("a", 2, 1), use("b", 3, 0)), 0);
        mLoadExchange.handle(STORE, complete(use("b", 1, 0)), MILLI);

        assertEquals(target("a").inFlight(MILLI), 0);
        assertEquals(target("b").inFlight(MILLI), 1);
    }

    @Test
    public void reportsOfASilentHostExpire() {
        mLoadExchange.handle(STORE, complete(use("a", 5, 0)), 0);
        mLoadExchange.expireReports(2_000 * MILLI);

        assertEquals(target("a").inFlight(2_000 * MILLI), 0);
    }

    @Test
    public void aHostReportsSoonAfterAChangeAndRarelyWithoutOne() {
        mLoadExchange.requireCompleteReport(1_000 * MILLI);
        assertEquals(mLoadExchange.takeReport(1_000 * MILLI), Optional.of(complete()));
        mTargets.callStarted(target("a"), TrafficClass.ONLINE, 0);
        long due = mLoadExchange.nextReportNanos();
        assertTrue(due <= 1_020 * MILLI, "due at " + due);

        assertEquals(
                mLoadExchange.takeReport(due), Optional.of(changes(started(use("a", 1, 0), 1))));
        assertTrue(mLoadExchange.nextReportNanos() >= due + 400 * MILLI);
        assertEquals(mLoadExchange.takeReport(due + MILLI), Optional.empty());
        assertEquals(
                mLoadExchange.takeReport(1_500 * MILLI), Optional.of(complete(use("a", 1, 0))));
    }

    @Test
    public void aHostWithoutCallsReportsNothing() {
        mTargets.callStarted(target("a"), TrafficClass.ONLINE, 0);
        mTargets.callEnded(target("a"), TrafficClass.ONLINE);
        assertEquals(
                mLoadExchange.takeReport(1_000 * MILLI),
                Optional.of(changes(started(use("a", 0, 0), 1))));
        assertEquals(mLoadExchange.takeReport(1_500 * MILLI), Optional.of(complete()));
        assertEquals(mLoadExchange.nextReportNanos(), Node.NEVER);
    }

    @Test
    public void aLimitThatATargetNamesIsReportedForAWhileAndWithTheCallsStarted() {
        mTargets.callStarted(target("a"), TrafficClass.ONLINE, 0);
        mTargets.limitNamed(target("a"), OptionalDouble.of(4), 0, 0, mEffects::add);
        FleetMessage.TargetUse use = use("a", 1, 0);
        assertEquals(
                mLoadExchange.takeReport(20 * MILLI), Optional.of(changes(limited(use, 1, 4))));
        mLoadExchange.requireCompleteReport(1_000 * MILLI);
        assertEquals(mLoadExchange.takeReport(1_000 * MILLI), Optional.of(complete(use)));
    }

    @Test
    public void noTargetIsChosenWhoseLimitAnotherHostHasUsed() {
        mLoadExchange.handle(STORE, changes(limited(use("a", 1, 0), 1, 2)), 0);
        assertEquals(chosenForOnline(), "b");
        mLoadExchange.handle(STORE, changes(limited(use("b", 1, 0), 1, 2)), 0);
        assertTrue(mTargets.chooseForOnline(LM, ANY, 0).isEmpty());
        assertEquals(
                mTargets.limitWaitNanos(LM, ANY, 0), OptionalLong.of(TimeUnit.SECONDS.toNanos(1)));
    }
}
