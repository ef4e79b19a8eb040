package org.coltsfootproxy.load;

import static org.testng.Assert.assertEquals;

import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import org.coltsfootproxy.base.Ran;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that {@link PromiseCheck} detects for each promise whether it was kept or broken. */
public final class PromiseCheckTest {
    private static final long SECOND = 1_000_000_000L;
    private static final LoadScenario.BatchJob JOB =
            new LoadScenario.BatchJob("j", "o", "/b", false, 2, 1, 1, 0, 9, 0);
    private static final LoadScenario.BatchJob CANCELLED =
            new LoadScenario.BatchJob("c", "o", "/b", true, 2, 0, 1, 0, 9, 1);
    private static final LoadScenario SCENARIO =
            new LoadScenario(
                    "n",
                    1,
                    10,
                    10,
                    100,
                    List.of("http://127.0.0.1:1"),
                    List.of("http://127.0.0.1:2"),
                    List.of(new LoadScenario.Sender("o", "k", 1, 1)),
                    List.of(
                            new LoadScenario.OnlineStream(
                                    "s",
                                    "o",
                                    "/s",
                                    LoadScenario.Answer.RECORD,
                                    false,
                                    1,
                                    1,
                                    1,
                                    List.of())),
                    List.of(JOB, CANCELLED),
                    List.of());

    private static Outcome answered(String id, long sentSecond, String defect) {
        long sent = sentSecond * SECOND;
        return new Outcome(id, 0, sent, sent, sent, sent, 200, "", Ran.YES, defect);
    }

    private static Outcome refused(String id) {
        return new Outcome(id, 0, 0, 0, 0, 0, 503, "overloaded", Ran.NO, "");
    }

    private static JobObservation job(LoadScenario.BatchJob job, JobObservation.Item... items) {
        String state = job.cancelAtSeconds() > 0 ? "cancelled" : "finished";
        return new JobObservation(job, job.id(), true, "", state, List.of(items), 0, 1, 1);
    }

    private static JobObservation.Item item(int number, String state, String answeredId) {
        return new JobObservation.Item("i" + number, state, answeredId);
    }

    private static final JobObservation.Item IMPOSSIBLE = item(0, "failed", "");
    private static final JobObservation.Item DONE = item(1, "done", "r-j-1");

    private static List<Finding> findings(
            List<Outcome> outcomes,
            List<JobObservation> jobs,
            Map<String, Integer> runs,
            String... keys) {
        TargetControl.TargetRecords records =
                new TargetControl.TargetRecords(true, runs, new TreeSet<>(List.of(keys)));
        return new PromiseCheck(SCENARIO, outcomes, jobs, records, "r").findings();
    }

    private static List<String> broken(List<Finding> findings) {
        return findings.stream()
                .filter(f -> f.verdict() == Finding.Verdict.BROKEN)
                .map(Finding::promise)
                .toList();
    }

    @Test
    public void aCorrectRunKeepsEachPromise() {
        List<Finding> findings =
                findings(
                        List.of(answered("a", 0, ""), answered("b", 1, ""), refused("c")),
                        List.of(job(JOB, IMPOSSIBLE, DONE), job(CANCELLED)),
                        Map.of("a", 1, "b", 1, "r-j-0", 1, "r-j-1", 1, "r-c-0", 1));
        assertEquals(
                findings.stream().map(Finding::verdict).distinct().toList(),
                List.of(Finding.Verdict.KEPT));
    }

    @Test
    public void aPromiseThatCannotBeCheckedIsNotReportedAsKept() {
        TargetControl.TargetRecords missing =
                new TargetControl.TargetRecords(false, Map.of(), new TreeSet<>());
        List<Finding> findings =
                new PromiseCheck(SCENARIO, List.of(refused("c")), List.of(), missing, "r")
                        .findings();
        assertEquals(
                findings.stream().map(Finding::verdict).distinct().toList(),
                List.of(Finding.Verdict.NOT_CHECKED));
    }

    @DataProvider
    public Object[][] violations() {
        List<Outcome> none = List.of();
        List<JobObservation> noJobs = List.of();
        return new Object[][] {
            {"no target sees a key", findings(none, noJobs, Map.of(), "cookie")},
            {
                "each caller gets the whole answer to its own request",
                findings(List.of(answered("a", 0, "crossed")), noJobs, Map.of())
            },
            {
                "a refusal that says 'not run' is true",
                findings(List.of(refused("a")), noJobs, Map.of("a", 1))
            },
            {
                "a non-idempotent request runs at most once",
                findings(List.of(answered("a", 0, "")), noJobs, Map.of("a", 2))
            },
            {
                "no organisation exceeds its rate and burst",
                findings(List.of(answered("a", 0, ""), answered("b", 0, "")), noJobs, Map.of())
            },
            {
                "each accepted item completes exactly once",
                findings(none, List.of(job(JOB, IMPOSSIBLE)), Map.of())
            },
            {
                "each accepted item completes exactly once",
                findings(none, List.of(job(JOB, IMPOSSIBLE, DONE, DONE)), Map.of())
            },
            {
                "each accepted item completes exactly once",
                findings(none, List.of(job(JOB, IMPOSSIBLE, item(1, "failed", ""))), Map.of())
            },
            {
                "an item that may not be repeated runs at most once",
                findings(none, List.of(job(JOB, IMPOSSIBLE, DONE)), Map.of("r-j-1", 2))
            },
            {
                "each result is the answer to its own item",
                findings(none, List.of(job(JOB, IMPOSSIBLE, item(1, "done", "r-j-9"))), Map.of())
            },
            {
                "a cancelled job stops",
                findings(none, List.of(job(CANCELLED)), Map.of("r-c-0", 1, "r-c-1", 1))
            },
        };
    }

    @Test(dataProvider = "violations")
    public void aViolationIsAttributedToTheRightPromise(String promise, List<Finding> findings) {
        assertEquals(broken(findings), List.of(promise));
    }

    @Test
    public void anItemThatMayHaveRunIsLeftToTheOperator() {
        JobObservation job = job(JOB, IMPOSSIBLE, item(1, "may-have-run", ""));
        assertEquals(broken(findings(List.of(), List.of(job), Map.of("r-j-1", 1))), List.of());
    }
}
