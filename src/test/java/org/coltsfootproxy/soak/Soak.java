package org.coltsfootproxy.soak;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/** One run: the processes of a fleet, its targets and callers, and faults from a seed. */
final class Soak {
    private static final long START_MILLIS = 40_000;
    private static final long FINISH_MILLIS = 18_000;
    private static final int FIRST_VERSION = 3;

    /** Result of a run. */
    record Result(BudgetCheck budget, int openItems, int ownEnds) {}

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
            if (!fleet.configure(FIRST_VERSION, START_MILLIS) || !fleet.awaitReady(START_MILLIS)) {
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
            return new Result(budget, jobs.openItems(), fleet.mOwnEnds);
        } finally {
            fleet.close(isKept);
        }
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
