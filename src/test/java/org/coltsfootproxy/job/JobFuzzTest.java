package org.coltsfootproxy.job;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import org.coltsfootproxy.base.ErrorKind;
import org.coltsfootproxy.base.JobId;
import org.coltsfootproxy.base.OrganisationId;
import org.coltsfootproxy.message.ItemState;
import org.coltsfootproxy.message.JobItem;
import org.coltsfootproxy.message.JobMessage;
import org.coltsfootproxy.message.JobSpec;
import org.coltsfootproxy.message.JobState;
import org.coltsfootproxy.message.SettleDecision;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Runs random operations on jobs under random faults and checks the ledger against what targets and
 * callers observed.
 *
 * <p>Faults: messages are lost, duplicated, delayed and reordered; commits are slow, and lost or
 * kept at a change of leader; control hosts restart from a snapshot; agents restart; online bursts
 * stop batch items. The system properties {@code job.fuzz.seeds} and {@code job.fuzz.first} set the
 * number of seeds and the first one.
 */
public final class JobFuzzTest {
    private static final int STEPS = 2_500;
    private static final int JOBS = 6;

    private FakeFleet mFleet;
    private Random mRandom;
    private Map<String, GeneratedJob> mJobs;
    private Map<Long, JobMessage.Ask> mRequests;

    /**
     * For each accepted job, the number of the last request sent before the acceptance was seen.
     */
    private Map<String, Long> mAccepted;

    private Set<String> mCancelSent;
    private Map<String, String> mResults;
    private long mNumber;

    private record GeneratedJob(OrganisationId organisation, JobSpec spec, List<JobItem> items) {}

    @DataProvider
    public Object[][] seeds() {
        return IntStream.range(0, Integer.getInteger("job.fuzz.seeds", 30))
                .mapToObj(i -> new Object[] {(long) i + Long.getLong("job.fuzz.first", 1)})
                .toArray(Object[][]::new);
    }

    @Test(dataProvider = "seeds")
    public void itemsEndExactlyOnceUnderRandomFaults(long seed) {
        begin(seed);
        for (int i = 0; i < STEPS; i++) {
            step();
            checkAnswers();
        }
        mFleet.runToCompletion();
        checkAnswers();
        checkEnd();
        checkMembersAgree();
    }

    private void begin(long seed) {
        mFleet = new FakeFleet(seed, 3, JobSettings.defaults());
        mRandom = mFleet.mRandom;
        mJobs = new HashMap<>();
        mRequests = new HashMap<>();
        mAccepted = new HashMap<>();
        mCancelSent = new HashSet<>();
        mResults = new HashMap<>();
        mNumber = 0;
    }

    private void step() {
        int chance = mRandom.nextInt(1_000);
        if (chance < 550 && mFleet.hasMessages()) {
            mFleet.deliverOne();
        } else if (chance < 780 && !mFleet.mLog.isIdle()) {
            mFleet.mLog.commitOne();
        } else if (chance < 900) {
            mFleet.advance(mRandom.nextInt(300));
        } else if (chance < 960) {
            sendRandomRequest();
        } else if (chance < 970) {
            mFleet.advance(mRandom.nextInt(40_000));
        } else if (chance < 978) {
            mFleet.changeLeader();
        } else if (chance < 982) {
            mFleet.restartControl(mRandom.nextInt(3));
        } else if (chance < 986) {
            agent().restart();
        } else {
            agent().setOnlineBusy(mRandom.nextBoolean());
        }
    }

    private FakeFleet.Agent agent() {
        return mFleet.mAgents.get(mRandom.nextInt(mFleet.mAgents.size()));
    }

    private void sendRandomRequest() {
        String name = "job-" + mRandom.nextInt(JOBS);
        GeneratedJob generated = mJobs.computeIfAbsent(name, this::newJob);
        int action = mRandom.nextInt(12);
        if (action < 4) {
            send(generated);
        } else if (action == 4 && mAccepted.containsKey(name)) {
            List<JobItem> other = new ArrayList<>(generated.items());
            other.set(0, JobItem.of("other", new byte[] {1}));
            ask(
                    new JobMessage.Submit(
                            1, ++mNumber, generated.organisation(), generated.spec(), other));
        } else if (action == 5 && mRandom.nextInt(3) == 0) {
            mCancelSent.add(name);
            ask(
                    new JobMessage.Cancel(
                            1, ++mNumber, generated.organisation(), generated.spec().id()));
        } else if (action == 6) {
            OrganisationId stranger = OrganisationId.of("stranger");
            ask(new JobMessage.AskResults(1, ++mNumber, stranger, generated.spec().id(), 0));
        } else if (action < 10) {
            ask(
                    new JobMessage.AskResults(
                            1, ++mNumber, generated.organisation(), generated.spec().id(), 0));
        } else {
            settle(generated);
        }
    }

    private GeneratedJob newJob(String name) {
        int items = 1 + mRandom.nextInt(6);
        boolean repeatable = mRandom.nextBoolean();
        JobSpec spec =
                JobSpec.of(
                        JobId.of(name),
                        FakeFleet.SERVICE,
                        "POST",
                        "/p",
                        repeatable,
                        10_000,
                        Long.MAX_VALUE,
                        "later",
                        items);
        List<JobItem> bodies =
                IntStream.range(0, items).mapToObj(i -> JobItem.of("", body(name, i))).toList();
        return new GeneratedJob(FakeFleet.organisation(mRandom.nextInt(2)), spec, bodies);
    }

    private byte[] body(String name, int item) {
        String end = mRandom.nextInt(10) == 0 ? "bad" : "";
        return (name + "/" + item + end).getBytes(StandardCharsets.UTF_8);
    }

    /** Submits a complete job, or performs one step of submitting it in pieces. */
    private void send(GeneratedJob generated) {
        OrganisationId organisation = generated.organisation();
        JobId id = generated.spec().id();
        int items = generated.items().size();
        int from = mRandom.nextInt(items);
        int to = from + 1 + mRandom.nextInt(items - from);
        List<JobItem> piece = generated.items().subList(from, to);
        switch (mRandom.nextInt(4)) {
            case 0 -> ask(new JobMessage.Begin(1, ++mNumber, organisation, generated.spec()));
            case 1 -> ask(new JobMessage.Append(1, ++mNumber, organisation, id, from, piece));
            case 2 -> ask(new JobMessage.Commit(1, ++mNumber, organisation, id));
            default ->
                    ask(
                            new JobMessage.Submit(
                                    1,
                                    ++mNumber,
                                    organisation,
                                    generated.spec(),
                                    generated.items()));
        }
    }

    private void settle(GeneratedJob generated) {
        JobLedger ledger = mFleet.mLog.host(0).ledger();
        ledger.job(generated.organisation(), generated.spec().id())
                .ifPresent(
                        job ->
                                IntStream.range(0, job.items().size())
                                        .filter(i -> job.items().result(i).fence() != 0)
                                        .findFirst()
                                        .ifPresent(i -> settle(generated, job, i)));
    }

    private void settle(GeneratedJob generated, LedgerJob job, int item) {
        SettleDecision decision = SettleDecision.values()[mRandom.nextInt(3)];
        long fence = job.items().result(item).fence();
        if (decision == SettleDecision.RUN_AGAIN) {
            mFleet.mObservations.mRunAgains.merge(
                    FakeFleet.text(generated.items().get(item).body()) + "@" + fence,
                    1,
                    (a, b) -> 1);
        }
        byte[] result =
                FakeFleet.text(generated.items().get(item).body())
                        .concat("#by-hand")
                        .getBytes(StandardCharsets.UTF_8);
        ask(
                new JobMessage.Settle(
                        1,
                        ++mNumber,
                        generated.organisation(),
                        generated.spec().id(),
                        item,
                        fence,
                        decision,
                        decision == SettleDecision.MARK_DONE ? result : new byte[0]));
    }

    private void ask(JobMessage.Ask ask) {
        mRequests.put(ask.call(), ask);
        mFleet.ask(ask);
    }

    private void checkAnswers() {
        mFleet.mAnswers.forEach(this::checkAnswer);
        mFleet.mAnswers.clear();
    }

    private void checkAnswer(JobMessage.Answer answer) {
        JobMessage.Ask ask = mRequests.get(answer.call());
        boolean isStranger = ask.organisation().value().equals("stranger");
        if (answer instanceof JobMessage.Status status) {
            checkStatus(ask, status);
        } else if (answer instanceof JobMessage.Results results) {
            assertFalse(isStranger, "another organisation read results");
            results.results().forEach(r -> checkResult(results.status().spec().id(), r.index(), r));
        } else if (answer instanceof JobMessage.Refused refused) {
            checkRefusal(ask, refused);
        }
    }

    private void checkStatus(JobMessage.Ask ask, JobMessage.Status status) {
        String name = status.status().spec().id().value();
        if (ask instanceof JobMessage.Submit submit) {
            assertEquals(submit.items().get(0).id(), "", "other content was accepted for " + name);
        }
        boolean isComplete = status.status().received() == status.status().spec().items();
        if (status.status().state() != JobState.RECEIVING && isComplete) {
            mAccepted.putIfAbsent(name, mNumber);
        }
    }

    private void checkRefusal(JobMessage.Ask ask, JobMessage.Refused refused) {
        boolean isUnchangedResend =
                ask instanceof JobMessage.Submit s && s.items().get(0).id().isEmpty();
        if (isUnchangedResend) {
            assertTrue(
                    refused.kind() == ErrorKind.NO_LEADER
                            || refused.kind() == ErrorKind.COMMIT_UNKNOWN,
                    "a resend with the same content was refused: " + refused);
        }
        boolean isAccepted =
                ask instanceof JobMessage.AskResults a
                        && a.call() > mAccepted.getOrDefault(a.job().value(), Long.MAX_VALUE);
        if (isAccepted && !ask.organisation().value().equals("stranger")) {
            assertEquals(refused.kind(), ErrorKind.NO_LEADER, "an accepted job was lost");
        }
    }

    /** Checks that a result belongs to the item and never changes once it was read. */
    private void checkResult(JobId job, int index, org.coltsfootproxy.message.ItemResult result) {
        if (result.state() != ItemState.DONE) {
            return;
        }
        String body = FakeFleet.text(result.body());
        String before = mResults.putIfAbsent(job + "/" + index, body);
        assertTrue(before == null || before.equals(body), "a result changed: " + before);
        assertTrue(body.startsWith(job + "/" + index), "a result of another item: " + body);
    }

    private void checkEnd() {
        for (String name : mAccepted.keySet()) {
            GeneratedJob generated = mJobs.get(name);
            LedgerJob job =
                    mFleet.ledger()
                            .job(generated.organisation(), generated.spec().id())
                            .orElseThrow();
            IntStream.range(0, generated.items().size()).forEach(i -> checkItem(job, generated, i));
            assertTrue(
                    job.state() == JobState.FINISHED || job.state() == JobState.CANCELLED,
                    name + " is " + job.status());
            assertTrue(job.state() != JobState.CANCELLED || mCancelSent.contains(name));
        }
    }

    private void checkItem(LedgerJob job, GeneratedJob generated, int item) {
        String body = FakeFleet.text(generated.items().get(item).body());
        ItemState state = job.items().state(item);
        List<String> runs = mFleet.mObservations.mRuns.getOrDefault(body, List.of());
        int failures = mFleet.mObservations.mFailures.getOrDefault(body, 0);
        String context = body + " is " + state + " after " + runs + " and failures " + failures;
        assertTrue(state.isEnded(), context);
        if (state == ItemState.DONE) {
            String result = FakeFleet.text(job.items().result(item).body());
            assertTrue(runs.contains(result) || result.endsWith("#by-hand"), context + result);
            checkResult(job.spec().id(), item, job.items().result(item));
        } else if (state == ItemState.CANCELLED) {
            assertEquals(job.state(), JobState.CANCELLED, context);
        }
        if (generated.spec().repeatable()) {
            int attempts = JobSettings.defaults().retry().attempts();
            assertTrue(state != ItemState.MAY_HAVE_RUN, context);
            assertTrue(state != ItemState.FAILED || failures >= attempts, context);
        } else {
            long runAgains =
                    mFleet.mObservations.mRunAgains.keySet().stream()
                            .filter(key -> key.startsWith(body + "@"))
                            .count();
            assertTrue(runs.size() <= 1 + runAgains, context + ", run again by hand " + runAgains);
        }
    }

    private void checkMembersAgree() {
        byte[] first = mFleet.ledger().snapshot();
        for (int i = 0; i < 3; i++) {
            mFleet.mLog.changeLeader(mFleet.mLog.host(i), 0);
            assertEquals(mFleet.ledger().snapshot(), first, "members differ");
        }
    }
}
