package org.coltsfootproxy.load;

import com.google.common.util.concurrent.ThreadFactoryBuilder;
import java.io.PrintStream;
import java.net.http.HttpClient;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import org.coltsfootproxy.base.ErrorKind;
import org.coltsfootproxy.base.ProxyException;
import org.coltsfootproxy.base.Ran;

/**
 * Runs a {@link LoadScenario} against a fleet.
 *
 * <p>The load is open loop: requests are sent according to a precomputed schedule, independent of
 * earlier answers, and latency is measured from the scheduled sending time. After the run, the
 * answers are compared with the records of the stand-in targets.
 */
public final class LoadTool {
    private static final long START_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(200);
    private static final long NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);
    private static final int MAX_IN_FLIGHT = 10_000;
    private static final int HTTP_THREADS = 4;

    private final LoadScenario mScenario;
    private final PrintStream mOut;
    private final String mRunId = Long.toString(System.currentTimeMillis(), 36);
    private final Queue<Outcome> mOutcomes = new ConcurrentLinkedQueue<>();
    private final AtomicInteger mInFlight = new AtomicInteger();
    private final ExecutorService mHttpThreads =
            Executors.newFixedThreadPool(HTTP_THREADS, daemonThreadFactory("load-http"));
    private final HttpClient mHttp =
            HttpClient.newBuilder()
                    .version(HttpClient.Version.HTTP_1_1)
                    .connectTimeout(Duration.ofSeconds(10))
                    .executor(mHttpThreads)
                    .build();
    private final TargetControl mTargets;
    private final long mStartNanoTime = System.nanoTime() + START_DELAY_NANOS;
    private final AtomicInteger mAnswered = new AtomicInteger();
    private final Map<String, Arrivals.Arrival> mPending = new ConcurrentHashMap<>();
    private int mSent;
    private long mNextProgressNanos = NANOS_PER_SECOND;

    private LoadTool(LoadScenario scenario, PrintStream out) {
        mScenario = scenario;
        mOut = out;
        mTargets = new TargetControl(mHttp, scenario.targets());
    }

    private static java.util.concurrent.ThreadFactory daemonThreadFactory(String name) {
        return new ThreadFactoryBuilder().setDaemon(true).setNameFormat(name + "-%d").build();
    }

    /**
     * Runs a scenario. This blocks until the run is over, which takes little more than {@code
     * seconds} plus {@code settleSeconds} of the scenario.
     *
     * @param out receives the progress lines and the report as text
     * @throws ProxyException of kind {@link ErrorKind#CANCELLED} if the thread is interrupted, or
     *     {@link ErrorKind#INTERNAL} if the tool fails to follow a batch job
     */
    public static LoadReport run(LoadScenario scenario, PrintStream out) throws ProxyException {
        LoadTool tool = new LoadTool(scenario, out);
        try {
            return tool.run();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw ProxyException.of(ErrorKind.CANCELLED, "the load run was interrupted", e);
        } catch (ExecutionException e) {
            throw ProxyException.of(ErrorKind.INTERNAL, "the client of a batch job failed", e);
        } finally {
            tool.mHttpThreads.shutdownNow();
        }
    }

    private LoadReport run() throws InterruptedException, ExecutionException {
        ScheduledExecutorService faultTimer =
                Executors.newScheduledThreadPool(1, daemonThreadFactory("load-faults"));
        ExecutorService jobThreads = Executors.newCachedThreadPool(daemonThreadFactory("load-job"));
        try {
            mScenario.faults().forEach(f -> scheduleFault(faultTimer, f));
            List<Future<JobObservation>> jobs = new ArrayList<>();
            mScenario.jobs().forEach(j -> jobs.add(jobThreads.submit(jobRun(j)::run)));
            sendAll();
            awaitOutcomes();
            List<JobObservation> jobObservations = new ArrayList<>();
            for (Future<JobObservation> job : jobs) {
                jobObservations.add(job.get());
            }
            return report(jobObservations);
        } finally {
            faultTimer.shutdownNow();
            jobThreads.shutdownNow();
        }
    }

    private JobRun jobRun(LoadScenario.BatchJob job) {
        LoadScenario.Sender sender = mScenario.sender(job.organisation()).orElseThrow();
        String entry = mScenario.entries().get(0);
        return new JobRun(
                job,
                new JobClient(mHttp, entry, sender, job, mRunId),
                mTargets,
                JobClient.itemIdPrefix(mRunId, job),
                mStartNanoTime,
                (mScenario.seconds() + mScenario.settleSeconds()) * NANOS_PER_SECOND);
    }

    private void scheduleFault(ScheduledExecutorService timer, LoadScenario.TargetFault fault) {
        long fromNanos = START_DELAY_NANOS + (long) (fault.fromSeconds() * NANOS_PER_SECOND);
        long untilNanos = fromNanos + (long) (fault.forSeconds() * NANOS_PER_SECOND);
        timer.schedule(
                () ->
                        mTargets.setFault(
                                fault.target(), fault.kind(), fault.every(), fault.delayMillis()),
                fromNanos,
                TimeUnit.NANOSECONDS);
        timer.schedule(
                () -> mTargets.setFault(fault.target(), "none", 1, 0),
                untilNanos,
                TimeUnit.NANOSECONDS);
    }

    private long elapsedNanos() {
        return System.nanoTime() - mStartNanoTime;
    }

    private void sendAll() throws InterruptedException {
        Caller caller = new Caller(mHttp, mScenario, mRunId, mStartNanoTime);
        for (Arrivals.Arrival arrival : Arrivals.of(mScenario)) {
            waitUntil(arrival.intendedNanos());
            send(caller, arrival);
        }
        waitUntil(mScenario.seconds() * NANOS_PER_SECOND);
        printProgress();
    }

    private void waitUntil(long untilNanos) throws InterruptedException {
        while (elapsedNanos() < untilNanos) {
            printProgress();
            LockSupport.parkNanos(Math.min(untilNanos, mNextProgressNanos) - elapsedNanos());
            if (Thread.interrupted()) {
                throw new InterruptedException();
            }
        }
    }

    private void send(Caller caller, Arrivals.Arrival arrival) {
        mSent++;
        if (mInFlight.incrementAndGet() > MAX_IN_FLIGHT) {
            mInFlight.decrementAndGet();
            mOutcomes.add(unanswered(caller.id(arrival), arrival, "tool-limit", Ran.NO));
            return;
        }
        mPending.put(caller.id(arrival), arrival);
        caller.send(arrival).thenAccept(this::recordOutcome);
    }

    private void recordOutcome(Outcome outcome) {
        mInFlight.decrementAndGet();
        if (mPending.remove(outcome.id()) != null) {
            mOutcomes.add(outcome);
            mAnswered.addAndGet(outcome.isAnswered() ? 1 : 0);
        }
    }

    private Outcome unanswered(String id, Arrivals.Arrival arrival, String kind, Ran ran) {
        long now = elapsedNanos();
        return new Outcome(
                id,
                arrival.streamIndex(),
                arrival.intendedNanos(),
                now,
                now,
                now,
                0,
                kind,
                ran,
                "");
    }

    private void awaitOutcomes() throws InterruptedException {
        long endNanos = (mScenario.seconds() + mScenario.settleSeconds()) * NANOS_PER_SECOND;
        while (mInFlight.get() > 0 && elapsedNanos() < endNanos) {
            waitUntil(elapsedNanos() + START_DELAY_NANOS);
        }
        List.copyOf(mPending.keySet()).forEach(this::recordUnanswered);
    }

    private void recordUnanswered(String id) {
        Arrivals.Arrival arrival = mPending.remove(id);
        if (arrival != null) {
            mOutcomes.add(unanswered(id, arrival, "unanswered", Ran.MAYBE));
        }
    }

    private void printProgress() {
        if (elapsedNanos() < mNextProgressNanos) {
            return;
        }
        int answered = mAnswered.get();
        mOut.printf(
                Locale.ROOT,
                "%4d s  sent %d  answered %d  not answered %d  in flight %d%n",
                elapsedNanos() / NANOS_PER_SECOND,
                mSent,
                answered,
                mSent - answered - mInFlight.get(),
                mInFlight.get());
        mNextProgressNanos += NANOS_PER_SECOND;
    }

    private LoadReport report(List<JobObservation> jobs) throws InterruptedException {
        List<Outcome> outcomes =
                mOutcomes.stream().sorted(Comparator.comparingLong(Outcome::sentNanos)).toList();
        Figures figures = new Figures(mScenario, outcomes);
        List<Finding> findings =
                new PromiseCheck(mScenario, outcomes, jobs, mTargets.read(), mRunId).findings();
        LoadReport report =
                new LoadReport(
                        mScenario.name(),
                        mScenario.seed(),
                        mScenario.seconds(),
                        figures.streams(),
                        figures.organisations(),
                        figures.timeline(),
                        Figures.jobs(jobs),
                        findings);
        mOut.print(TextReport.of(report));
        return report;
    }
}
