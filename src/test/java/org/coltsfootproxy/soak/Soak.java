package org.coltsfootproxy.soak;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/** One run: the processes of a fleet, its targets and callers, and faults from a seed. */
final class Soak {
    private static final long START_MILLIS = 40_000;
    private static final long FINISH_MILLIS = 18_000;
    private static final long RECOVER_MILLIS = 30_000;

    /** Result of a run. */
    record Result(BudgetCheck budget, int lost) {
        boolean isBroken() {
            return budget.isBroken() || lost > 0;
        }
    }

    private Soak() {}

    /**
     * Plays a run.
     *
     * @param say takes lines on what happens
     * @param cases number of cases of each kind that are told
     */
    static Result play(SoakPlan plan, Consumer<String> say, int cases) throws IOException {
        SendLog log = new SendLog();
        SoakFleet fleet = new SoakFleet(plan, say);
        boolean isKept = System.getenv("KEEP") != null;
        try (SoakFaults faults = new SoakFaults(fleet, plan, log, say)) {
            fleet.start();
            if (!fleet.configure(SoakFaults.FIRST_VERSION, START_MILLIS)
                    || !fleet.awaitReady(START_MILLIS)) {
                isKept = true;
                throw new IOException("the fleet is not ready");
            }
            StandInTarget.sleep(2_000);
            say.accept(log.millis() + " ms  all entries are ready");
            var callers = new OnlineCallers(fleet, plan, log);
            var jobs = new JobCallers(fleet, plan, log);
            long end = log.millis() + plan.seconds() * 1_000L;
            List<Thread> senders = new ArrayList<>();
            SoakRoutes.ONLINE.forEach(
                    route -> senders.add(started(() -> callers.send(route, end))));
            senders.add(started(() -> jobs.submit(end)));
            Thread reader = started(() -> jobs.read(end, end + FINISH_MILLIS));
            faults.play(end);
            senders.forEach(Soak::join);
            join(reader);
            while (!callers.isIdle() && log.millis() < end + FINISH_MILLIS) {
                StandInTarget.sleep(100);
            }
            say.accept("callers: " + callers.outcomes());
            say.accept("jobs: " + jobs + "; " + fleet.mOwnEnds + " processes ended by themselves");
            BudgetCheck budget = new BudgetCheck(log);
            budget.tell(say, cases);
            int lost = plan.finalFault() ? lostByFinalFault(fleet, faults, jobs, log, say) : 0;
            return new Result(budget, lost);
        } finally {
            fleet.close(isKept);
        }
    }

    /** Returns how many jobs and configurations that were acknowledged are not there afterwards. */
    private static int lostByFinalFault(
            SoakFleet fleet, SoakFaults faults, JobCallers jobs, SendLog log, Consumer<String> say)
            throws IOException {
        faults.playFinalFault();
        boolean isReady = fleet.awaitReady(RECOVER_MILLIS);
        int lostJobs = jobs.lostJobs(log.millis() + RECOVER_MILLIS);
        int version = fleet.configVersion();
        say.accept(
                "after the final fault: ready "
                        + isReady
                        + ", jobs lost "
                        + lostJobs
                        + ", configuration "
                        + version
                        + ", acknowledged "
                        + faults.acknowledgedVersion());
        return lostJobs + (version < faults.acknowledgedVersion() ? 1 : 0);
    }

    private static Thread started(Runnable work) {
        Thread thread = new Thread(work);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    private static void join(Thread thread) {
        try {
            thread.join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
