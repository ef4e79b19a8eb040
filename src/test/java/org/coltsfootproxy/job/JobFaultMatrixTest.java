package org.coltsfootproxy.job;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import org.coltsfootproxy.base.JobId;
import org.coltsfootproxy.base.OrganisationId;
import org.coltsfootproxy.message.ItemState;
import org.coltsfootproxy.message.JobItem;
import org.coltsfootproxy.message.JobMessage;
import org.coltsfootproxy.message.JobSpec;
import org.coltsfootproxy.message.JobState;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Injects every fault at every step from a job's submit to its last answer, and a sample of all
 * pairs of faults. The item must end exactly once.
 *
 * <p>A step is the delivery of one message or the commit of one command. The system property {@code
 * job.matrix.stride} sets the sampling of pairs.
 */
public final class JobFaultMatrixTest {
    private static final OrganisationId FORTH = OrganisationId.of("forth");
    private static final JobId JOB = JobId.of("job");
    private static final String BODY = "job/0";
    private static final int MAX_STEPS = 60;
    private static final int MIN_STEPS = 12;
    private static final int PAIR_STRIDE = 31;

    /** A fault injected at a step. */
    private enum Fault {
        MESSAGE_LOST,
        MESSAGE_DOUBLED,
        MESSAGE_LATE,
        AGENT_RESTARTED,
        LEADER_LOST_WITH_PROPOSALS,
        LEADER_LOST_PROPOSALS_KEPT,
        NO_LEADER_FOR_LONG,
        LEADER_RESTARTED_FROM_SNAPSHOT,
        ONLINE_BURST,
        JOB_CANCELLED,
        SUBMIT_RESENT
    }

    private record Injection(int step, Fault fault) {}

    @DataProvider
    public Object[][] kinds() {
        return new Object[][] {{true}, {false}};
    }

    @Test(dataProvider = "kinds")
    public void anItemEndsOnceUnderEveryFaultAtEveryStep(boolean repeatable) {
        int steps = run(repeatable, List.of());
        assertTrue(steps >= MIN_STEPS && steps < MAX_STEPS, "steps without faults: " + steps);
        for (int step = 0; step < steps; step++) {
            for (Fault fault : Fault.values()) {
                run(repeatable, List.of(new Injection(step, fault)));
            }
        }
    }

    @Test(dataProvider = "kinds")
    public void anItemEndsOnceUnderEveryTwoFaults(boolean repeatable) {
        int stride = Integer.getInteger("job.matrix.stride", PAIR_STRIDE);
        int steps = run(repeatable, List.of());
        int pair = 0;
        for (int first = 0; first < steps; first++) {
            for (int second = first; second < steps + 6; second++) {
                for (Fault one : Fault.values()) {
                    for (Fault two : Fault.values()) {
                        if (pair++ % stride == 0) {
                            run(
                                    repeatable,
                                    List.of(new Injection(first, one), new Injection(second, two)));
                        }
                    }
                }
            }
        }
    }

    /**
     * Runs a job from submit to end with the given faults and checks its end. Returns the number of
     * steps.
     */
    private static int run(boolean repeatable, List<Injection> faults) {
        FakeFleet fleet = new FakeFleet(1, 2, JobSettings.defaults());
        fleet.mIsReliable = true;
        fleet.advance(100);
        fleet.mLog.commitAll();
        fleet.advance(40_000);
        fleet.ask(submit(repeatable));
        int step = 0;
        for (int idleSteps = 0; idleSteps < 80 && step < MAX_STEPS; ) {
            if (!fleet.hasMessages() && fleet.mLog.isIdle()) {
                idleSteps++;
                fleet.advance(50);
                continue;
            }
            for (Injection injection : faults) {
                if (injection.step() == step) {
                    inject(fleet, injection.fault(), repeatable);
                }
            }
            step++;
            if (fleet.hasMessages()) {
                fleet.deliverOne();
            } else if (!fleet.mLog.isIdle()) {
                fleet.mLog.commitOne();
            }
            fleet.tickServices();
            boolean isDone =
                    fleet.mLog.leader().isPresent()
                            && fleet.ledger().job(FORTH, JOB).isPresent()
                            && fleet.ledger().job(FORTH, JOB).get().isSettled();
            idleSteps = isDone ? Math.max(idleSteps, 60) : idleSteps;
        }
        finish(fleet, repeatable);
        check(fleet, repeatable, faults);
        return step;
    }

    private static void finish(FakeFleet fleet, boolean repeatable) {
        fleet.runToCompletion();
        fleet.ask(submit(repeatable));
        fleet.runToCompletion();
    }

    private static JobMessage.Submit submit(boolean repeatable) {
        JobSpec spec =
                JobSpec.of(
                        JOB,
                        FakeFleet.SERVICE,
                        "POST",
                        "/p",
                        repeatable,
                        10_000,
                        Long.MAX_VALUE,
                        "later",
                        1);
        JobItem item = JobItem.of("", BODY.getBytes(StandardCharsets.UTF_8));
        return new JobMessage.Submit(1, 1, FORTH, spec, List.of(item));
    }

    private static void inject(FakeFleet fleet, Fault fault, boolean repeatable) {
        FakeLog.Host leader = fleet.mLog.leader().orElse(fleet.mLog.host(0));
        int index = leader.id().value().charAt(8) - '1';
        FakeLog.Host next = fleet.mLog.host((index + 1) % 3);
        switch (fault) {
            case MESSAGE_LOST -> onMessage(fleet, fleet::dropOldest);
            case MESSAGE_DOUBLED -> onMessage(fleet, fleet::duplicateOldest);
            case MESSAGE_LATE -> onMessage(fleet, fleet::delayOldest);
            case AGENT_RESTARTED -> fleet.mAgents.forEach(FakeFleet.Agent::restart);
            case LEADER_LOST_WITH_PROPOSALS -> fleet.mLog.changeLeader(next, 0);
            case LEADER_LOST_PROPOSALS_KEPT -> fleet.mLog.changeLeader(next, 9);
            case NO_LEADER_FOR_LONG -> {
                fleet.mLog.changeLeader(null, 1);
                fleet.advance(20_000);
                fleet.mLog.changeLeader(next, 0);
            }
            case LEADER_RESTARTED_FROM_SNAPSHOT -> {
                fleet.restartControl(index);
                fleet.mLog.changeLeader(leader, 0);
            }
            case ONLINE_BURST -> {
                fleet.mAgents.forEach(agent -> agent.setOnlineBusy(true));
                fleet.advance(1_500);
                fleet.mAgents.forEach(agent -> agent.setOnlineBusy(false));
            }
            case JOB_CANCELLED -> fleet.ask(new JobMessage.Cancel(1, 2, FORTH, JOB));
            case SUBMIT_RESENT -> fleet.ask(submit(repeatable));
            default -> throw new IllegalStateException("no injection of " + fault);
        }
    }

    private static void onMessage(FakeFleet fleet, Runnable fault) {
        if (fleet.hasMessages()) {
            fault.run();
        }
    }

    private static void check(FakeFleet fleet, boolean repeatable, List<Injection> faults) {
        Optional<LedgerJob> job = fleet.ledger().job(FORTH, JOB);
        List<String> runs = fleet.mObservations.mRuns.getOrDefault(BODY, List.of());
        ItemState state = job.orElseThrow().items().state(0);
        String message = faults + " lead to " + state + " after runs " + runs;
        boolean isCancelled = has(faults, Fault.JOB_CANCELLED);
        boolean isAgentLost = has(faults, Fault.AGENT_RESTARTED);
        assertTrue(repeatable || runs.size() <= 1, message);
        switch (state) {
            case DONE -> {
                String result = FakeFleet.text(job.get().items().result(0).body());
                assertTrue(runs.contains(result), message);
            }
            case CANCELLED -> assertTrue(isCancelled, message);
            case MAY_HAVE_RUN -> assertTrue(!repeatable && isAgentLost, message);
            default -> throw new AssertionError(message);
        }
        boolean isOver =
                job.get().state() == JobState.FINISHED || job.get().state() == JobState.CANCELLED;
        assertEquals(isOver, true, message);
    }

    private static boolean has(List<Injection> faults, Fault fault) {
        return faults.stream().anyMatch(injection -> injection.fault() == fault);
    }
}
