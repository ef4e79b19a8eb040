package org.coltsfootproxy.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.Supplier;
import java.util.stream.LongStream;
import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.platform.PlatformSimulation.Answer;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests that operators and callers are served once the disks of control hosts and stores, which
 * were full one after another, have room again.
 *
 * <p>{@code -Dfuzz.runs=} sets the number of seeds.
 */
public final class FleetFullDisksTest {
    private static final long RUNS = Long.getLong("fuzz.runs", 3);
    private static final long MILLI_NANOS = PlatformSimulation.MILLI_NANOS;
    private static final long SECOND_NANOS = PlatformSimulation.SECOND_NANOS;

    /** Time within which an order is acknowledged in calm. */
    private static final long ACKNOWLEDGE_NANOS = 4 * SECOND_NANOS;

    /** Time after which a caller tries another host. */
    private static final long TRY_NANOS = SECOND_NANOS;

    private PlatformSimulation mSimulation;
    private Random mRandom;
    private long mVersion;
    private int mJobs;

    /** What happens while a disk is full, besides changes and jobs. */
    private enum Meanwhile {
        NOTHING,
        CRASH,
        STOP,
        LOST_STORE,
        RETIREMENT,
        NEW_STORE
    }

    @DataProvider
    Object[][] cases() {
        List<Object[]> cases = new ArrayList<>();
        for (Meanwhile meanwhile : Meanwhile.values()) {
            cases.add(new Object[] {meanwhile});
        }
        return cases.toArray(new Object[0][]);
    }

    /** Guards against orders that stay unanswered after the last full disk has room again. */
    @Test(dataProvider = "cases")
    public void ordersAreAcknowledgedOnceAllDisksHaveRoom(Meanwhile meanwhile) {
        LongStream.rangeClosed(1, RUNS)
                .forEach(
                        seed -> {
                            try {
                                run(seed, meanwhile);
                            } catch (AssertionError | RuntimeException e) {
                                throw new AssertionError("seed " + seed, e);
                            }
                        });
    }

    private void run(long seed, Meanwhile meanwhile) {
        mRandom = new Random(seed);
        mSimulation = PlatformSimulation.startServing(seed, 5, 2, 1);
        mVersion = 1;
        mJobs = 0;
        List<HostId> hosts = new ArrayList<>();
        for (int n = 0; n < 3; n++) {
            hosts.add(mSimulation.control(n));
            hosts.add(mSimulation.store(n));
        }
        int disturbed = mRandom.nextInt(hosts.size());
        for (int n = 0; n < hosts.size(); n++) {
            HostId host = hosts.get(n);
            mSimulation.fleet().setDiskFull(host, true);
            order();
            mSimulation.run((500 + mRandom.nextInt(2_500)) * MILLI_NANOS);
            if (n == disturbed) {
                disturb(host, meanwhile);
            }
            if (mRandom.nextInt(3) == 0) {
                mSimulation.fleet().setDiskFull(host, false);
                mSimulation.run(mRandom.nextInt(600) * MILLI_NANOS);
                mSimulation.fleet().setDiskFull(host, true);
            }
            order();
            mSimulation.run(mRandom.nextInt(2_000) * MILLI_NANOS);
            mSimulation.fleet().setDiskFull(host, false);
            mSimulation.run(mRandom.nextInt(1_500) * MILLI_NANOS);
        }
        mSimulation.run(SECOND_NANOS);
        assertAllAcknowledged();
    }

    /** Sends a change and a job, whose answers do not matter. */
    private void order() {
        mSimulation.callAsOperator(
                mSimulation.control(mRandom.nextInt(3)),
                "PUT",
                "/coltsfootproxy/config",
                SimulatedConfig.config(++mVersion, 1_000));
        mSimulation.submit(mSimulation.entry(mRandom.nextInt(2)), "o" + mJobs++, 2);
    }

    private void disturb(HostId host, Meanwhile meanwhile) {
        HostId store = mSimulation.store(4);
        switch (meanwhile) {
            case CRASH -> restart(host, false);
            case STOP -> {
                mSimulation.stopGracefully(host);
                mSimulation.run(2 * SECOND_NANOS);
                restart(host, false);
            }
            case LOST_STORE -> restart(store, true);
            case RETIREMENT ->
                    mSimulation.callAsOperator(
                            "POST",
                            "/coltsfootproxy/retire/name-of-" + store,
                            "{\"duration_s\":10}");
            case NEW_STORE -> mSimulation.startStore(PlatformSimulation.host(1, 9));
            default -> {
                // Only changes and jobs.
            }
        }
    }

    private void restart(HostId host, boolean losesDisk) {
        mSimulation.fleet().crash(host);
        if (losesDisk) {
            mSimulation.loseDisk(host);
        }
        mSimulation.run(SECOND_NANOS);
        boolean isControl = host.value().startsWith("10.0.0.");
        if (isControl) {
            mSimulation.startControl(host);
        } else {
            mSimulation.startStore(host);
        }
    }

    private void assertAllAcknowledged() {
        long version = ++mVersion;
        String config = SimulatedConfig.config(version, 1_000);
        assertAcknowledged(
                200,
                () ->
                        mSimulation.callAsOperator(
                                mSimulation.control(mRandom.nextInt(3)),
                                "PUT",
                                "/coltsfootproxy/config",
                                config));
        Answer read =
                assertAcknowledged(
                        200,
                        () ->
                                mSimulation.callAsOperator(
                                        mSimulation.control(mRandom.nextInt(3)),
                                        "GET",
                                        "/coltsfootproxy/config",
                                        ""));
        assertTrue(read.body().contains("\"version\":" + version), read.body());
        String job = "last";
        assertAcknowledged(
                202, () -> mSimulation.submit(mSimulation.entry(mRandom.nextInt(2)), job, 3));
        mSimulation.run(5 * SECOND_NANOS);
        Answer results =
                assertAcknowledged(
                        200,
                        () ->
                                mSimulation.callJob(
                                        mSimulation.entry(mRandom.nextInt(2)),
                                        "GET",
                                        "/coltsfootproxy/lots/" + job,
                                        0));
        assertTrue(results.body().contains("\"next_token\":3"), results.body());
        assertAcknowledged(
                200,
                () ->
                        mSimulation.callJob(
                                mSimulation.entry(mRandom.nextInt(2)),
                                "DELETE",
                                "/coltsfootproxy/lots/" + job,
                                0));
    }

    /** Makes a call again and again, as operators and callers do, until it has the given status. */
    private Answer assertAcknowledged(int status, Supplier<Answer> call) {
        long end = mSimulation.now() + ACKNOWLEDGE_NANOS;
        Answer answer = call.get();
        while (answer.mStatus != status && mSimulation.now() < end) {
            long tryEnd = mSimulation.now() + TRY_NANOS;
            while (!answer.mIsComplete && mSimulation.now() < tryEnd) {
                mSimulation.run(20 * MILLI_NANOS);
            }
            if (answer.mStatus != status) {
                mSimulation.run(100 * MILLI_NANOS);
                answer = call.get();
            }
        }
        mSimulation.run(100 * MILLI_NANOS);
        assertEquals(answer.mStatus, status, answer.toString());
        return answer;
    }
}
