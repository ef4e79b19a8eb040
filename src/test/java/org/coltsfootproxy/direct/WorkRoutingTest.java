package org.coltsfootproxy.direct;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.coltsfootproxy.base.DataCentre;
import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.base.ProxyException;
import org.coltsfootproxy.base.RecordCodec;
import org.coltsfootproxy.base.ServiceId;
import org.coltsfootproxy.base.SoftwareVersion;
import org.coltsfootproxy.base.TargetId;
import org.coltsfootproxy.base.TrafficClass;
import org.coltsfootproxy.base.WireCode;
import org.coltsfootproxy.config.ConfigView;
import org.coltsfootproxy.config.Service;
import org.coltsfootproxy.message.FleetMessage;
import org.coltsfootproxy.message.ListedTarget;
import org.coltsfootproxy.work.WorkEstimate;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests of {@link WorkRouting} and of what hosts report of the work at targets. */
public final class WorkRoutingTest {
    private static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);
    private static final ServiceId LM = ServiceId.of("lm");
    private static final HostId OTHER = HostId.of("10.0.2.2");
    private static final DataCentre HERE = DataCentre.of("here");

    private Targets mTargets;
    private LoadExchange mExchange;

    @BeforeMethod
    public void begin() {
        mTargets = Targets.create(HERE, new Random(1));
        mTargets.update(
                new FleetMessage.Listing(1, List.of(listed("a"), listed("b")), List.of()),
                effect -> {});
        mExchange = LoadExchange.create(HostId.of("10.0.2.1"), mTargets);
        mExchange.hosts(List.of(OTHER));
    }

    private static ListedTarget listed(String id) {
        return new ListedTarget(
                TargetId.of(id),
                LM,
                HERE,
                id + ":80",
                false,
                8,
                0,
                SoftwareVersion.UNNAMED,
                ListedTarget.WARM);
    }

    private Target target(String id) {
        return mTargets.byId(TargetId.of(id)).orElseThrow();
    }

    private static WorkEstimate estimate(double millis, int tokens) {
        return new WorkEstimate(millis, millis, tokens, true, WorkEstimate.Source.ROUTE, 9);
    }

    private static FleetMessage.TargetUse use(
            String id, int online, int millis, int tokens, int speedPercent) {
        return new FleetMessage.TargetUse(
                TargetId.of(id), online, 0, 0, 0, 0, millis, tokens, speedPercent);
    }

    private void report(long now, FleetMessage.TargetUse... uses) {
        mExchange.handle(OTHER, new FleetMessage.InFlight(List.of(uses), true), now);
    }

    private void nameMemory(int tokens) {
        Service service = Service.of(LM, false, 8, List.of()).withMemoryTokens(tokens);
        mTargets.work()
                .configure(
                        ConfigView.of(
                                1,
                                Stream.empty(),
                                Stream.empty(),
                                Stream.of(service),
                                Stream.empty()));
    }

    private String chosen(WorkEstimate estimate, long now) {
        Optional<Target> target =
                mTargets.chooseForOnline(LM, t -> mTargets.work().fits(t, estimate), estimate, now);
        return target.map(t -> t.listed().id().value()).orElse("none");
    }

    /** Guards against a ranking by work that no target's answer calls for. */
    @Test
    public void aServiceIsRankedByWorkOnceATargetTellsItsSpeed() {
        mTargets.updateLoad(target("a"), new TargetLoad(1, 0, 8, OptionalDouble.empty()), 0);
        assertFalse(mTargets.ranksByWork(LM));

        report(0, use("a", 1, 0, 0, 100));
        assertTrue(mTargets.ranksByWork(LM));
        assertFalse(mTargets.ranksByWork(ServiceId.of("other")));

        mTargets.work().mode(TargetRoutingMode.CALLS);
        assertFalse(mTargets.ranksByWork(LM));
    }

    /** Guards against a queue of many small requests that counts like one of large ones. */
    @Test
    public void ofTwoTargetsWithEqualCallsTheOneWithLessWorkIsChosen() {
        mTargets.work().mode(TargetRoutingMode.EXPECTED_WORK);
        report(0, use("a", 10, 20_000, 0, 0), use("b", 10, 500, 0, 0));
        assertEquals(chosen(estimate(100, 0), 0), "b");

        report(MILLI, use("a", 10, 500, 0, 0), use("b", 10, 20_000, 0, 0));
        assertEquals(chosen(estimate(100, 0), MILLI), "a");
    }

    /** Guards against a target that is slow just now and gets requests like the others. */
    @Test
    public void aTargetThatAnotherHostFoundSlowIsAvoidedWhileTheFigureIsFresh() {
        report(0, use("a", 1, 100, 0, 250), use("b", 2, 200, 0, 100));
        assertEquals(chosen(estimate(400, 0), 100 * MILLI), "b");
        assertEquals(chosen(estimate(400, 0), 600 * MILLI), "a");
    }

    /** Guards against work and memory of a killed host that count for ever. */
    @Test
    public void theWorkOfASilentHostExpiresWithItsReport() {
        nameMemory(1_000);
        report(0, use("a", 1, 5_000, 900, 0), use("b", 1, 5_000, 900, 0));
        assertEquals(chosen(estimate(100, 100), 0), "none");

        mExchange.expireReports(1_199 * MILLI);
        assertEquals(target("a").work().tokens(), 900);
        mExchange.expireReports(1_200 * MILLI);
        assertEquals(target("a").work().tokens(), 0);
        assertTrue(!chosen(estimate(100, 100), 1_200 * MILLI).equals("none"));
    }

    /** Guards against requests and batch items that together exceed a target's memory. */
    @Test
    public void callsOfAllKindsAndHostsClaimAtMostNineTenthsOfATargetsMemory() {
        nameMemory(1_000);
        WorkEstimate large = estimate(100, 400);
        mTargets.work().began(target("a"), TrafficClass.BATCH, 1, large, true, 0);
        mTargets.work().began(target("b"), TrafficClass.ONLINE, 2, large, true, 0);
        assertFalse(mTargets.work().fits(target("a"), estimate(100, 501)));
        assertTrue(mTargets.work().fits(target("a"), estimate(100, 500)));

        report(0, use("a", 1, 100, 200, 0));
        assertEquals(chosen(large, 0), "b");

        target("b").work().ended(2);
        assertTrue(mTargets.work().fits(target("b"), estimate(100, 1_000)));
        assertFalse(mTargets.work().exceedsMemory(LM, estimate(100, 1_000)));
        assertTrue(mTargets.work().exceedsMemory(LM, estimate(100, 1_001)));
    }

    /** Guards against a host of an earlier version whose calls count as no work. */
    @Test
    public void callsOfAHostThatReportsNoWorkCountWithTheUsualMean() {
        mTargets.work().mode(TargetRoutingMode.EXPECTED_WORK);
        report(0, use("a", 12, 0, 0, 0), use("b", 8, 0, 0, 0));

        assertEquals(chosen(estimate(100, 0), 0), "b");
    }

    /** Guards against load reports that grow where no target tells its speed. */
    @Test
    public void theNumbersOfWorkTakeThreeBytesWhereTheyAreUnused() throws ProxyException {
        RecordCodec<FleetMessage> codec = RecordCodec.of(FleetMessage.class);
        FleetMessage none = reports(0, 0, 0);
        FleetMessage typical = reports(1_500, 3_000, 130);

        int unused = codec.encode(none).length;
        int used = codec.encode(typical).length;
        System.out.println("report of 10 targets: " + unused + " bytes unused, " + used + " used");
        assertEquals(codec.decode(codec.encode(typical)), typical);
        assertTrue(used - unused <= 10 * 6, used + " " + unused);
    }

    /** A message of an earlier version. */
    private sealed interface Earlier {
        /** A record before numbers were appended. */
        @WireCode(1)
        record Use(String target, int online) implements Earlier {}
    }

    /** The same message now. */
    private sealed interface Later {
        /** The record with numbers appended. */
        @WireCode(1)
        record Use(String target, int online, int workMillis) implements Later {}
    }

    /** Guards against hosts of two versions that can't read each other's reports. */
    @Test
    public void numbersAppendedToARecordAreIgnoredByAnEarlierVersionAndReadAsZeroFromIt()
            throws ProxyException {
        RecordCodec<Earlier> earlier = RecordCodec.of(Earlier.class);
        RecordCodec<Later> later = RecordCodec.of(Later.class);

        assertEquals(
                earlier.decode(later.encode(new Later.Use("a", 2, 700))), new Earlier.Use("a", 2));
        assertEquals(
                later.decode(earlier.encode(new Earlier.Use("a", 2))), new Later.Use("a", 2, 0));
    }

    private static FleetMessage reports(int millis, int tokens, int speed) {
        List<FleetMessage.TargetUse> uses =
                IntStream.range(0, 10)
                        .mapToObj(i -> use("engine-" + i, 2, millis, tokens, speed))
                        .toList();
        var inFlight = new FleetMessage.InFlight(uses, false);
        return new FleetMessage.Reports(
                List.of(
                        new FleetMessage.HostReport(
                                OTHER, 1, 1, inFlight, null, null, List.of(), null, List.of())),
                List.of());
    }
}
