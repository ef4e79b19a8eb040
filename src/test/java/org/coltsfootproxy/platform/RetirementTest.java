package org.coltsfootproxy.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.platform.PlatformSimulation.Answer;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests the retirement of a store in a fleet that has exactly as many stores as the job log needs
 * voters: five, so that two disks may be lost at once.
 */
public final class RetirementTest {
    private static final long MILLI_NANOS = PlatformSimulation.MILLI_NANOS;
    private static final long SECOND_NANOS = PlatformSimulation.SECOND_NANOS;
    private static final int ITEMS = 10;
    private static final int VOTERS = 5;

    private PlatformSimulation mSimulation;

    private void start(long seed) {
        mSimulation = PlatformSimulation.startServing(seed, 5, 2, 2);
    }

    private void submitAccepted(String job) {
        Answer answer = mSimulation.submit(mSimulation.entry(0), job, ITEMS);
        mSimulation.run(SECOND_NANOS);
        assertEquals(answer.mStatus, 202, answer.toString());
    }

    private Answer retirement(String method, HostId store) {
        String path = "/coltsfootproxy/retire/name-of-" + store;
        return mSimulation.callAsOperator(mSimulation.control(1), method, path, "");
    }

    private void assertAllDone(String job) {
        Answer answer =
                mSimulation.callJob(
                        mSimulation.entry(1), "GET", "/coltsfootproxy/lots/" + job + "?after=0", 0);
        mSimulation.run(4 * SECOND_NANOS);
        assertEquals(answer.mStatus, 200, answer.toString());
        assertTrue(answer.body().contains("\"next_token\":" + ITEMS), answer.body());
    }

    private void assertComplete(HostId store) {
        Answer state = retirement("GET", store);
        mSimulation.run(SECOND_NANOS);
        assertEquals(state.body(), "{\"state\":\"complete\"}", state.toString());
        assertFalse(jobMembers().contains(store), "" + jobMembers());
    }

    private List<HostId> jobMembers() {
        String members = mSimulation.mJobMembers.replaceAll("[\\[\\] ]", "");
        return members.isEmpty()
                ? List.of()
                : Stream.of(members.split(",")).map(HostId::of).toList();
    }

    private void loseDisks(List<HostId> hosts) {
        hosts.forEach(mSimulation.fleet()::crash);
        hosts.forEach(mSimulation::loseDisk);
    }

    private void restart(HostId host) {
        if (host.value().startsWith("10.0.0.")) {
            mSimulation.startControl(host);
        } else {
            mSimulation.startStore(host);
        }
    }

    @DataProvider
    public Object[][] stores() {
        return IntStream.range(0, VOTERS).mapToObj(n -> new Object[] {n}).toArray(Object[][]::new);
    }

    /** Guards against a retirement that is refused, or never completes, for want of a store. */
    @Test(dataProvider = "stores")
    public void aStoreRetiresThoughNoOtherStoreCanReplaceIt(int retired) {
        start(61 + retired);
        submitAccepted("j1");
        HostId store = mSimulation.store(retired);
        Answer order = retirement("POST", store);
        mSimulation.run(8 * SECOND_NANOS);

        assertEquals(order.mStatus, 200, order.toString());
        assertComplete(store);
        assertEquals(jobMembers().size(), VOTERS, "" + jobMembers());
        mSimulation.fleet().crash(store);
        submitAccepted("j2");
        mSimulation.run(8 * SECOND_NANOS);
        assertAllDone("j1");
        assertAllDone("j2");
    }

    /** Guards against a second retirement, for which the voters would not be on stores. */
    @Test
    public void aSecondStoreDoesNotRetireBeforeAnotherOneHasCome() {
        start(71);
        retirement("POST", mSimulation.store(0));
        mSimulation.run(8 * SECOND_NANOS);
        Answer again = retirement("POST", mSimulation.store(0));
        Answer second = retirement("POST", mSimulation.store(1));
        mSimulation.run(SECOND_NANOS);

        assertEquals(again.mStatus, 200, again.toString());
        assertEquals(second.mStatus, 409, second.toString());
    }

    /** Guards against a control host that goes on keeping jobs when a store could. */
    @Test
    public void aNewStoreTakesThePlaceOfTheControlHost() {
        start(72);
        submitAccepted("j1");
        retirement("POST", mSimulation.store(0));
        mSimulation.run(8 * SECOND_NANOS);
        assertEquals(standIns().size(), 1, "" + jobMembers());
        mSimulation.startStore(PlatformSimulation.host(1, 9));
        mSimulation.run(12 * SECOND_NANOS);

        assertEquals(standIns(), List.of(), "" + jobMembers());
        assertEquals(jobMembers().size(), VOTERS);
        assertAllDone("j1");
    }

    @DataProvider
    public Object[][] seeds() {
        return IntStream.range(0, 6).mapToObj(n -> new Object[] {80 + n}).toArray(Object[][]::new);
    }

    /** Guards against stand-ins that hand leadership of the job log to each other without end. */
    @Test(dataProvider = "seeds")
    public void twoStandInsDoNotPassLeadershipToEachOther(int seed) {
        start(seed);
        retirement("POST", mSimulation.store(0));
        mSimulation.run(8 * SECOND_NANOS);
        mSimulation.fleet().crash(mSimulation.store(0));
        mSimulation.fleet().crash(mSimulation.store(1));
        mSimulation.run(10 * SECOND_NANOS);
        assertEquals(standIns().size(), 2, "" + jobMembers());
        HostId leader = jobMembers().get(0);
        mSimulation.fleet().crash(leader);
        mSimulation.run(2 * SECOND_NANOS);

        int changes = 0;
        HostId before = jobMembers().get(0);
        for (int n = 0; n < 80; n++) {
            mSimulation.run(SECOND_NANOS / 20);
            HostId now = jobMembers().get(0);
            changes += now.equals(before) ? 0 : 1;
            before = now;
        }
        assertTrue(changes <= 2, changes + " changes of the leader in 4 s");
    }

    private List<HostId> standIns() {
        return jobMembers().stream().filter(host -> host.value().startsWith("10.0.0.")).toList();
    }

    @DataProvider
    public Object[][] lossTimes() {
        return IntStream.range(0, 60).mapToObj(n -> new Object[] {n}).toArray(Object[][]::new);
    }

    /**
     * Guards against an acknowledged job that is lost, or stays unfinished, when two stores lose
     * their disks at any moment of a retirement.
     */
    @Test(dataProvider = "lossTimes")
    public void jobsSurviveTwoLostDisksWhileAStoreRetires(int n) {
        start(100 + n);
        submitAccepted("j1");
        HostId retired = mSimulation.store(n % VOTERS);
        Answer order = retirement("POST", retired);
        mSimulation.run(n * 20 * MILLI_NANOS);
        Answer job = mSimulation.submit(mSimulation.entry(0), "j2", ITEMS);
        mSimulation.run(n % 7 * 3 * MILLI_NANOS);
        List<HostId> lost =
                List.of(
                        mSimulation.store((n + 1 + n / 5 % 2) % VOTERS),
                        mSimulation.store((n + 3 + n / 10 % 2) % VOTERS));
        loseDisks(lost);
        mSimulation.run(4 * SECOND_NANOS);
        lost.forEach(this::restart);
        mSimulation.run(15 * SECOND_NANOS);

        assertTrue(order.mStatus == 200 || n < 5, order.toString());
        assertAllDone("j1");
        if (job.mStatus == 202) {
            assertAllDone("j2");
        }
        assertComplete(retired);
    }

    /** Guards against a control host that counts as a voter but keeps nothing. */
    @Test
    public void jobsSurviveTheLossOfTheControlHostAndOfAStore() {
        for (int n = 0; n < 4; n++) {
            start(90 + n);
            retirement("POST", mSimulation.store(4));
            mSimulation.run(8 * SECOND_NANOS);
            mSimulation.fleet().crash(mSimulation.store(4));
            submitAccepted("j1");
            List<HostId> lost = List.of(standIns().get(0), mSimulation.store(n));
            loseDisks(lost);
            mSimulation.run(4 * SECOND_NANOS);
            lost.forEach(this::restart);
            mSimulation.run(15 * SECOND_NANOS);
            assertAllDone("j1");
        }
    }

    /** Guards against a control host whose copy is not read again when all hosts restart. */
    @Test
    public void jobsSurviveALossOfAllPowerAfterARetirement() {
        start(95);
        submitAccepted("j1");
        retirement("POST", mSimulation.store(0));
        mSimulation.run(8 * SECOND_NANOS);
        submitAccepted("j2");
        mSimulation.restartAllHosts();
        mSimulation.run(10 * SECOND_NANOS);

        assertAllDone("j1");
        assertAllDone("j2");
    }
}
