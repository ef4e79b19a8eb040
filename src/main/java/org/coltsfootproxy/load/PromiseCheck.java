package org.coltsfootproxy.load;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.coltsfootproxy.base.Ran;

/** Compares the outcomes that callers observed with the targets' records to check each promise. */
final class PromiseCheck {
    private static final String FINISHED = "finished";
    private static final String DONE = "done";
    private static final String FAILED = "failed";
    private static final String MAY_HAVE_RUN = "may-have-run";

    private final LoadScenario mScenario;
    private final List<Outcome> mOutcomes;
    private final List<JobObservation> mJobs;
    private final TargetControl.TargetRecords mRecords;
    private final String mRunId;

    PromiseCheck(
            LoadScenario scenario,
            List<Outcome> outcomes,
            List<JobObservation> jobs,
            TargetControl.TargetRecords records,
            String runId) {
        mScenario = scenario;
        mOutcomes = outcomes;
        mJobs = jobs;
        mRecords = records;
        mRunId = runId;
    }

    /** Returns one finding per promise. */
    List<Finding> findings() {
        return List.of(
                keysStayHidden(),
                answersAreComplete(),
                refusedRequestsDidNotRun(),
                requestsRunAtMostOnce(),
                ratesAreObserved(),
                itemsCompleteOnce(),
                itemsRunAtMostOnce(),
                resultsMatchItems(),
                cancelledJobsStop());
    }

    private LoadScenario.OnlineStream stream(Outcome outcome) {
        return mScenario.online().get(outcome.streamIndex());
    }

    private Finding keysStayHidden() {
        List<String> broken = mRecords.keyFields().stream().map(f -> "field " + f).toList();
        return Finding.of("no target sees a key", mRecords.complete() ? 1 : 0, broken);
    }

    private Finding answersAreComplete() {
        return checkEach(
                "each caller gets the whole answer to its own request",
                Outcome::isAnswered,
                o -> o.defect().isEmpty() ? "" : o.id() + ": " + o.defect());
    }

    private Finding refusedRequestsDidNotRun() {
        return checkEachRecorded(
                "a refusal that says 'not run' is true",
                o -> !o.isAnswered() && o.ran() == Ran.NO,
                o ->
                        mRecords.runs(o.id()) == 0
                                ? ""
                                : o.id() + " ran, but was refused: " + o.kind());
    }

    private Finding requestsRunAtMostOnce() {
        return checkEachRecorded(
                "a non-idempotent request runs at most once",
                o -> !stream(o).repeatable(),
                o -> {
                    int runs = mRecords.runs(o.id());
                    return runs <= 1 ? "" : o.id() + " ran " + runs + " times";
                });
    }

    private Finding checkEachRecorded(
            String promise,
            Predicate<Outcome> inScope,
            java.util.function.Function<Outcome, String> violationOf) {
        return mRecords.complete()
                ? checkEach(promise, inScope, violationOf)
                : Finding.of(promise, 0, List.of());
    }

    private Finding checkEach(
            String promise,
            Predicate<Outcome> inScope,
            java.util.function.Function<Outcome, String> violationOf) {
        List<Outcome> cases = mOutcomes.stream().filter(inScope).toList();
        return Finding.of(
                promise,
                cases.size(),
                cases.stream().map(violationOf).filter(s -> !s.isEmpty()).toList());
    }

    private Finding ratesAreObserved() {
        Map<String, List<RateCheck.AdmittedRequest>> admitted =
                mOutcomes.stream()
                        .filter(o -> !stream(o).organisation().isEmpty())
                        .filter(o -> o.isAnswered() || mRecords.runs(o.id()) > 0)
                        .collect(
                                Collectors.groupingBy(
                                        o -> stream(o).organisation(),
                                        Collectors.mapping(
                                                o ->
                                                        new RateCheck.AdmittedRequest(
                                                                o.sentNanos(), o.firstByteNanos()),
                                                Collectors.toList())));
        List<String> broken = new ArrayList<>();
        mScenario
                .organisations()
                .forEach(s -> rateViolation(s, admitted.get(s.id())).forEach(broken::add));
        return Finding.of("no organisation exceeds its rate and burst", admitted.size(), broken);
    }

    private static Stream<String> rateViolation(
            LoadScenario.Sender sender, List<RateCheck.AdmittedRequest> admitted) {
        if (admitted == null) {
            return Stream.empty();
        }
        double excess = RateCheck.excess(admitted, sender.ratePerSecond(), sender.burst());
        return excess > 0
                ? Stream.of(String.format("%s by %.1f requests", sender.id(), excess))
                : Stream.empty();
    }

    private List<JobObservation> accepted(boolean cancelled) {
        return mJobs.stream()
                .filter(JobObservation::accepted)
                .filter(j -> (j.job().cancelAtSeconds() > 0) == cancelled)
                .toList();
    }

    private Finding itemsCompleteOnce() {
        List<JobObservation> jobs = accepted(false);
        long items = jobs.stream().mapToLong(j -> j.job().items()).sum();
        List<String> broken = jobs.stream().flatMap(this::itemViolations).toList();
        return Finding.of("each accepted item completes exactly once", items, broken);
    }

    private Stream<String> itemViolations(JobObservation job) {
        if (!job.state().equals(FINISHED)) {
            return Stream.of(job.jobId() + " is " + job.state() + " at the end");
        }
        Map<String, List<JobObservation.Item>> byId =
                job.items().stream().collect(Collectors.groupingBy(JobObservation.Item::id));
        return IntStream.range(0, job.job().items())
                .mapToObj(i -> itemViolation(job, i, byId.getOrDefault("i" + i, List.of())))
                .filter(s -> !s.isEmpty());
    }

    private static String itemViolation(
            JobObservation job, int number, List<JobObservation.Item> results) {
        String name = job.jobId() + " item " + number;
        if (results.size() != 1) {
            return name + " has " + results.size() + " results";
        }
        String state = results.get(0).state();
        String expected = JobClient.isImpossible(job.job(), number) ? FAILED : DONE;
        boolean leftToOperator = !job.job().repeatable() && state.equals(MAY_HAVE_RUN);
        return leftToOperator || state.equals(expected)
                ? ""
                : name + " is " + state + " instead of " + expected;
    }

    private Finding itemsRunAtMostOnce() {
        List<JobObservation> jobs = mJobs.stream().filter(j -> !j.job().repeatable()).toList();
        long items = jobs.stream().mapToLong(j -> j.job().items()).sum();
        List<String> broken =
                jobs.stream()
                        .map(j -> JobClient.itemIdPrefix(mRunId, j.job()))
                        .flatMap(this::repeatedRuns)
                        .toList();
        return Finding.of(
                "an item that may not be repeated runs at most once",
                mRecords.complete() ? items : 0,
                broken);
    }

    private Stream<String> repeatedRuns(String prefix) {
        return mRecords.runs().entrySet().stream()
                .filter(e -> e.getKey().startsWith(prefix) && e.getValue() > 1)
                .map(e -> e.getKey() + " ran " + e.getValue() + " times");
    }

    private Finding resultsMatchItems() {
        List<JobObservation> jobs = accepted(false);
        List<String> broken = jobs.stream().flatMap(this::mismatchedResults).toList();
        long done = jobs.stream().flatMap(j -> j.items().stream()).filter(this::isDone).count();
        return Finding.of("each result is the answer to its own item", done, broken);
    }

    private boolean isDone(JobObservation.Item item) {
        return item.state().equals(DONE);
    }

    private Stream<String> mismatchedResults(JobObservation job) {
        String prefix = JobClient.itemIdPrefix(mRunId, job.job());
        return job.items().stream()
                .filter(this::isDone)
                .filter(i -> !i.answeredId().equals(prefix + i.id().substring(1)))
                .map(i -> job.jobId() + " " + i.id() + " has the answer of " + i.answeredId());
    }

    private Finding cancelledJobsStop() {
        List<JobObservation> jobs =
                accepted(true).stream().filter(j -> j.runsAfterCancel() >= 0).toList();
        List<String> broken =
                jobs.stream()
                        .filter(j -> runsAtEnd(j) > j.runsAfterCancel())
                        .map(
                                j ->
                                        j.jobId()
                                                + " ran "
                                                + (runsAtEnd(j) - j.runsAfterCancel())
                                                + " more")
                        .toList();
        return Finding.of("a cancelled job stops", mRecords.complete() ? jobs.size() : 0, broken);
    }

    private long runsAtEnd(JobObservation job) {
        return mRecords.runsWithPrefix(JobClient.itemIdPrefix(mRunId, job.job()));
    }
}
