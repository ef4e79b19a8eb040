package org.coltsfootproxy.direct;

import static org.testng.Assert.assertEquals;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
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
import org.coltsfootproxy.work.WorkEstimate;
import org.testng.annotations.Test;

/** Compares choices of targets with those recorded on a version without routing by work. */
public final class EarlierDeploymentsTest {
    /** Hash of the choices that commit 33f0b68 made. */
    private static final String RECORDED =
            "063edd22a7e3971ed0ea73c3ebbc32f7ebd82faae93653ac9454b63cd20e1c32";

    private static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);
    private static final ServiceId LM = ServiceId.of("lm");
    private static final HostId SELF = HostId.of("10.0.2.1");
    private static final Predicate<Target> ANY = target -> true;

    private final StringBuilder mChoices = new StringBuilder();
    private final Random mRandom = new Random(11);
    private final List<Runnable> mEnds = new ArrayList<>();
    private long mNow;

    private static Targets targets() {
        Targets targets = Targets.create(DataCentre.of("dc0"), new Random(5));
        List<ListedTarget> listed = new ArrayList<>();
        for (int i = 0; i < 12; i++) {
            listed.add(
                    new ListedTarget(
                            TargetId.of("t" + i),
                            LM,
                            DataCentre.of("dc" + i % 3),
                            "10.8.0." + i + ":80",
                            false,
                            i % 4 == 0 ? 6 : 8,
                            1,
                            SoftwareVersion.UNNAMED,
                            ListedTarget.WARM));
        }
        targets.update(new FleetMessage.Listing(1, listed, List.of()), effect -> {});
        return targets;
    }

    private void choose(Targets targets, int kind) {
        Optional<Target> target =
                switch (kind) {
                    case 0 -> targets.chooseForBatch(LM, ANY, 3, mNow);
                    case 1 -> targets.chooseForUrgent(LM, ANY, mNow);
                    default -> targets.chooseForOnline(LM, ANY, WorkEstimate.UNKNOWN, mNow);
                };
        mChoices.append(target.map(t -> t.listed().id().value()).orElse("none")).append(' ');
        target.ifPresent(t -> start(targets, t, kind));
    }

    private void start(Targets targets, Target target, int kind) {
        TrafficClass type = kind < 2 ? TrafficClass.BATCH : TrafficClass.ONLINE;
        targets.callStarted(target, type, mNow);
        if (kind == 0) {
            target.batchStarted(mNow);
        }
        mEnds.add(() -> targets.callEnded(target, type));
    }

    private void report(LoadExchange exchange, HostId host) {
        List<FleetMessage.TargetUse> uses = new ArrayList<>();
        for (int i = 0; i < 12; i += 1 + mRandom.nextInt(3)) {
            int batch = mRandom.nextInt(4);
            uses.add(
                    FleetMessage.TargetUse.of(
                            TargetId.of("t" + i),
                            mRandom.nextInt(6),
                            batch,
                            mRandom.nextInt(batch + 1)));
        }
        exchange.handle(host, new FleetMessage.InFlight(uses, mRandom.nextBoolean()), mNow);
    }

    private void happen(Targets targets, LoadExchange exchange) {
        Target target = targets.byId(TargetId.of("t" + mRandom.nextInt(12))).orElseThrow();
        switch (mRandom.nextInt(12)) {
            case 0 -> report(exchange, HostId.of("10.0.1." + (1 + mRandom.nextInt(4))));
            case 1 ->
                    targets.updateLoad(target, load(mRandom.nextInt(9), mRandom.nextInt(3)), mNow);
            case 2 -> target.refused(mNow);
            case 3 -> target.callFailed(mNow);
            case 4 ->
                    targets.limitNamed(
                            target,
                            mRandom.nextBoolean() ? OptionalDouble.of(5) : OptionalDouble.empty(),
                            mNow,
                            mNow,
                            effect -> {});
            case 5, 6, 7 -> {
                if (!mEnds.isEmpty()) {
                    mEnds.remove(mRandom.nextInt(mEnds.size())).run();
                }
            }
            default -> choose(targets, mRandom.nextInt(6));
        }
        exchange.expireReports(mNow);
    }

    private static TargetLoad load(int running, int waiting) {
        return new TargetLoad(running, waiting, 8, OptionalDouble.empty());
    }

    private String choices(Targets targets) {
        mChoices.setLength(0);
        mRandom.setSeed(11);
        mEnds.clear();
        mNow = 0;
        LoadExchange exchange = LoadExchange.create(SELF, targets);
        exchange.hosts(
                List.of(
                        HostId.of("10.0.1.1"),
                        HostId.of("10.0.1.2"),
                        HostId.of("10.0.1.3"),
                        HostId.of("10.0.1.4")));
        for (int i = 0; i < 20_000; i++) {
            mNow += mRandom.nextInt(20) * MILLI;
            happen(targets, exchange);
        }
        return Hashing.sha256().hashString(mChoices, StandardCharsets.UTF_8).toString();
    }

    /** Guards against a change of choices where targets tell three figures or none. */
    @Test
    public void whereNoTargetTellsItsSpeedTheChoicesAreAsBefore() {
        assertEquals(choices(targets()), RECORDED);
    }

    /** Guards against a setting that does not bring back the choices by calls. */
    @Test
    public void withTheSettingCallsTheChoicesAreAsBeforeAlsoWhereSpeedsAreTold() {
        Targets targets = targets();
        targets.work().mode(TargetRoutingMode.CALLS);
        targets.work().tellsSpeed(LM);

        assertEquals(choices(targets), RECORDED);
    }
}
