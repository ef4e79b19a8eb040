package org.coltsfootproxy.load;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.coltsfootproxy.base.Ran;

/** Compares what callers saw with what targets ran, and decides which promises were kept. */
final class PromiseCheck {
    private static final String FINISHED = "finished";
    private static final String DONE = "done";
    private static final String FAILED = "failed";
    private static final String MAY_HAVE_RUN = "may-have-run";

    private final LoadScenario mScenario;
    private final List<Outcome> mOutcomes;
    private final List<JobOutcome> mJobs;
    private final TargetControl.Seen mSeen;
    private final String mRun;

    PromiseCheck(
            LoadScenario scenario,
            List<Outcome> outcomes,
            List<JobOutcome> jobs,
            TargetControl.Seen seen,
            String run) {
        mScenario = scenario;
        mOutcomes = outcomes;
        mJobs = jobs;
        mSeen = seen;
        mRun = run;
    }

    /** Returns one finding for each promise. */
    List<Finding> findings() {
        return List.of(
                keys(),
                wholeAnswers(),
                notRun(),
                atMostOnce(),
                rates(),
                items(),
                itemsAtMostOnce(),
                readable(),
                cancelled());
    }

    private LoadScenario.OnlineStream stream(Outcome outcome) {
        return mScenario.online().get(outcome.stream());
    }

    private Finding keys() {
        List<String> broken = mSeen.keyFields().stream().map(f -> "field " + f).toList();
        return Finding.of("no target sees a key", mSeen.whole() ? 1 : 0, broken);
    }

    private Finding wholeAnswers() {
        return over(
                "each caller gets the whole answer to its own request",
                Outcome::isAnswered,
                o -> o.fault().isEmpty() ? "" : o.id() + ": " + o.fault());
    }

    private Finding notRun() {
        return overRecorded(
                "a refusal that says 'not run' is true",
                o -> !o.isAnswered() && o.ran() == Ran.NO,
                o -> mSeen.runs(o.id()) == 0 ? "" : o.id() + " ran, but was refused: " + o.kind());
    }

    private Finding atMostOnce() {
        return overRecorded(
                "a non-idempotent request runs at most once",
                o -> !stream(o).repeatable(),
                o -> {
                    int runs = mSeen.runs(o.id());
                    return runs <= 1 ? "" : o.id() + " ran " + runs + " times";
                });
    }

    private Finding overRecorded(
            String promise,
            Predicate<Outcome> filter,
            java.util.function.Function<Outcome, String> f) {
        return mSeen.whole() ? over(promise, filter, f) : Finding.of(promise, 0, List.of());
    }

    private Finding over(
            String promise,
            Predicate<Outcome> filter,
            java.util.function.Function<Outcome, String> f) {
        List<Outcome> cases = mOutcomes.stream().filter(filter).toList();
        return Finding.of(
                promise, cases.size(), cases.stream().map(f).filter(s -> !s.isEmpty()).toList());
    }

    private Finding rates() {
        Map<String, List<RateCheck.Passed>> passed =
                mOutcomes.stream()
                        .filter(o -> !stream(o).organisation().isEmpty())
                        .filter(o -> o.isAnswered() || mSeen.runs(o.id()) > 0)
                        .collect(
                                Collectors.groupingBy(
                                        o -> stream(o).organisation(),
                                        Collectors.mapping(
                                                o ->
                                                        new RateCheck.Passed(
                                                                o.sentNanos(), o.firstNanos()),
                                                Collectors.toList())));
        List<String> broken = new ArrayList<>();
        mScenario.organisations().forEach(s -> rate(s, passed.get(s.id())).forEach(broken::add));
        return Finding.of("no organisation exceeds its rate and burst", passed.size(), broken);
    }

    private static Stream<String> rate(LoadScenario.Sender sender, List<RateCheck.Passed> passed) {
        if (passed == null) {
            return Stream.empty();
        }
        double excess = RateCheck.excess(passed, sender.ratePerSecond(), sender.burst());
        return excess > 0
                ? Stream.of(String.format("%s by %.1f requests", sender.id(), excess))
                : Stream.empty();
    }

    private List<JobOutcome> accepted(boolean cancelled) {
        return mJobs.stream()
                .filter(JobOutcome::accepted)
                .filter(j -> (j.job().cancelAtSeconds() > 0) == cancelled)
                .toList();
    }

    private Finding items() {
        List<JobOutcome> jobs = accepted(false);
        long items = jobs.stream().mapToLong(j -> j.job().items()).sum();
        List<String> broken = jobs.stream().flatMap(this::itemFaults).toList();
        return Finding.of("each accepted item completes exactly once", items, broken);
    }

    private Stream<String> itemFaults(JobOutcome job) {
        if (!job.state().equals(FINISHED)) {
            return Stream.of(job.jobId() + " is " + job.state() + " at the end");
        }
        Map<String, List<JobOutcome.Item>> byId =
                job.items().stream().collect(Collectors.groupingBy(JobOutcome.Item::id));
        return IntStream.range(0, job.job().items())
                .mapToObj(i -> itemFault(job, i, byId.getOrDefault("i" + i, List.of())))
                .filter(s -> !s.isEmpty());
    }

    private static String itemFault(JobOutcome job, int number, List<JobOutcome.Item> results) {
        String name = job.jobId() + " item " + number;
        if (results.size() != 1) {
            return name + " has " + results.size() + " results";
        }
        String state = results.get(0).state();
        String due = JobClient.isImpossible(job.job(), number) ? FAILED : DONE;
        boolean settledByPeople = !job.job().repeatable() && state.equals(MAY_HAVE_RUN);
        return settledByPeople || state.equals(due)
                ? ""
                : name + " is " + state + " instead of " + due;
    }

    private Finding itemsAtMostOnce() {
        List<JobOutcome> jobs = mJobs.stream().filter(j -> !j.job().repeatable()).toList();
        long items = jobs.stream().mapToLong(j -> j.job().items()).sum();
        List<String> broken =
                jobs.stream()
                        .map(j -> JobClient.itemPrefix(mRun, j.job()))
                        .flatMap(this::doubles)
                        .toList();
        return Finding.of(
                "an item that may not be repeated runs at most once",
                mSeen.whole() ? items : 0,
                broken);
    }

    private Stream<String> doubles(String prefix) {
        return mSeen.runs().entrySet().stream()
                .filter(e -> e.getKey().startsWith(prefix) && e.getValue() > 1)
                .map(e -> e.getKey() + " ran " + e.getValue() + " times");
    }

    private Finding readable() {
        List<JobOutcome> jobs = accepted(false);
        List<String> broken = jobs.stream().flatMap(this::foreignResults).toList();
        long done = jobs.stream().flatMap(j -> j.items().stream()).filter(this::isDone).count();
        return Finding.of("each result is the answer to its own item", done, broken);
    }

    private boolean isDone(JobOutcome.Item item) {
        return item.state().equals(DONE);
    }

    private Stream<String> foreignResults(JobOutcome job) {
        String prefix = JobClient.itemPrefix(mRun, job.job());
        return job.items().stream()
                .filter(this::isDone)
                .filter(i -> !i.answered().equals(prefix + i.id().substring(1)))
                .map(i -> job.jobId() + " " + i.id() + " has the answer of " + i.answered());
    }

    private Finding cancelled() {
        List<JobOutcome> jobs =
                accepted(true).stream().filter(j -> j.runsAfterCancel() >= 0).toList();
        List<String> broken =
                jobs.stream()
                        .filter(j -> runsNow(j) > j.runsAfterCancel())
                        .map(
                                j ->
                                        j.jobId()
                                                + " ran "
                                                + (runsNow(j) - j.runsAfterCancel())
                                                + " more")
                        .toList();
        return Finding.of("a cancelled job stops", mSeen.whole() ? jobs.size() : 0, broken);
    }

    private long runsNow(JobOutcome job) {
        return mSeen.runsOf(JobClient.itemPrefix(mRun, job.job()));
    }
}
