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
 * The load and experiment tool.
 *
 * <p>Requests are sent when a schedule drawn before says so, however late earlier answers are, and
 * their latency counts from that time. At the end what callers saw is compared with what the
 * stand-in targets recorded.
 */
public final class LoadTool {
    private static final long LEAD_NANOS = TimeUnit.MILLISECONDS.toNanos(200);
    private static final long NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);
    private static final int MAX_IN_FLIGHT = 10_000;
    private static final int HTTP_THREADS = 4;

    private final LoadScenario mScenario;
    private final PrintStream mOut;
    private final String mRun = Long.toString(System.currentTimeMillis(), 36);
    private final Queue<Outcome> mOutcomes = new ConcurrentLinkedQueue<>();
    private final AtomicInteger mInFlight = new AtomicInteger();
    private final ExecutorService mHttpThreads =
            Executors.newFixedThreadPool(HTTP_THREADS, daemons("load-http"));
    private final HttpClient mHttp =
            HttpClient.newBuilder()
                    .version(HttpClient.Version.HTTP_1_1)
                    .connectTimeout(Duration.ofSeconds(10))
                    .executor(mHttpThreads)
                    .build();
    private final TargetControl mTargets;
    private final long mStartNanos = System.nanoTime() + LEAD_NANOS;
    private final AtomicInteger mAnswered = new AtomicInteger();
    private final Map<String, Arrivals.Arrival> mPending = new ConcurrentHashMap<>();
    private int mSent;
    private long mNextProgressNanos = NANOS_PER_SECOND;

    private LoadTool(LoadScenario scenario, PrintStream out) {
        mScenario = scenario;
        mOut = out;
        mTargets = new TargetControl(mHttp, scenario.targets());
    }

    private static java.util.concurrent.ThreadFactory daemons(String name) {
        return new ThreadFactoryBuilder().setDaemon(true).setNameFormat(name + "-%d").build();
    }

    /**
     * Runs a scenario, which takes at most its seconds and its settle seconds, and a little.
     *
     * @param out where progress is shown
     * @throws ProxyException of kind {@link ErrorKind#CANCELLED} if the thread is interrupted, or
     *     {@link ErrorKind#INTERNAL} if the tool itself fails
     */
    public static LoadReport run(LoadScenario scenario, PrintStream out) throws ProxyException {
        LoadTool tool = new LoadTool(scenario, out);
        try {
            return tool.run();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw ProxyException.of(ErrorKind.CANCELLED, "the run was interrupted", e);
        } catch (ExecutionException e) {
            throw ProxyException.of(ErrorKind.INTERNAL, "a batch job could not be followed", e);
        } finally {
            tool.mHttpThreads.shutdownNow();
        }
    }

    private LoadReport run() throws InterruptedException, ExecutionException {
        ScheduledExecutorService faults =
                Executors.newScheduledThreadPool(1, daemons("load-faults"));
        ExecutorService jobThreads = Executors.newCachedThreadPool(daemons("load-job"));
        try {
            mScenario.faults().forEach(f -> schedule(faults, f));
            List<Future<JobOutcome>> jobs = new ArrayList<>();
            mScenario.jobs().forEach(j -> jobs.add(jobThreads.submit(jobRun(j)::run)));
            sendAll();
            settle();
            List<JobOutcome> ended = new ArrayList<>();
            for (Future<JobOutcome> job : jobs) {
                ended.add(job.get());
            }
            return report(ended);
        } finally {
            faults.shutdownNow();
            jobThreads.shutdownNow();
        }
    }

    private JobRun jobRun(LoadScenario.BatchJob job) {
        LoadScenario.Sender sender = mScenario.sender(job.organisation()).orElseThrow();
        String entry = mScenario.entries().get(0);
        return new JobRun(
                job,
                new JobClient(mHttp, entry, sender, job, mRun),
                mTargets,
                JobClient.itemPrefix(mRun, job),
                mStartNanos,
                (mScenario.seconds() + mScenario.settleSeconds()) * NANOS_PER_SECOND);
    }

    private void schedule(ScheduledExecutorService timer, LoadScenario.TargetFault fault) {
        long from = LEAD_NANOS + (long) (fault.fromSeconds() * NANOS_PER_SECOND);
        long until = from + (long) (fault.forSeconds() * NANOS_PER_SECOND);
        timer.schedule(
                () ->
                        mTargets.setFault(
                                fault.target(), fault.kind(), fault.every(), fault.delayMillis()),
                from,
                TimeUnit.NANOSECONDS);
        timer.schedule(
                () -> mTargets.setFault(fault.target(), "none", 1, 0), until, TimeUnit.NANOSECONDS);
    }

    private long now() {
        return System.nanoTime() - mStartNanos;
    }

    private void sendAll() throws InterruptedException {
        Caller caller = new Caller(mHttp, mScenario, mRun, mStartNanos);
        for (Arrivals.Arrival arrival : Arrivals.of(mScenario)) {
            waitUntil(arrival.nanos());
            send(caller, arrival);
        }
        waitUntil(mScenario.seconds() * NANOS_PER_SECOND);
        progress();
    }

    private void waitUntil(long nanos) throws InterruptedException {
        while (now() < nanos) {
            progress();
            LockSupport.parkNanos(Math.min(nanos, mNextProgressNanos) - now());
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
        caller.send(arrival).thenAccept(this::ended);
    }

    private void ended(Outcome outcome) {
        mInFlight.decrementAndGet();
        if (mPending.remove(outcome.id()) != null) {
            mOutcomes.add(outcome);
            mAnswered.addAndGet(outcome.isAnswered() ? 1 : 0);
        }
    }

    private Outcome unanswered(String id, Arrivals.Arrival arrival, String kind, Ran ran) {
        long now = now();
        return new Outcome(id, arrival.stream(), arrival.nanos(), now, now, now, 0, kind, ran, "");
    }

    private void settle() throws InterruptedException {
        long end = (mScenario.seconds() + mScenario.settleSeconds()) * NANOS_PER_SECOND;
        while (mInFlight.get() > 0 && now() < end) {
            waitUntil(now() + LEAD_NANOS);
        }
        List.copyOf(mPending.keySet()).forEach(this::giveUp);
    }

    private void giveUp(String id) {
        Arrivals.Arrival arrival = mPending.remove(id);
        if (arrival != null) {
            mOutcomes.add(unanswered(id, arrival, "unanswered", Ran.MAYBE));
        }
    }

    private void progress() {
        if (now() < mNextProgressNanos) {
            return;
        }
        int answered = mAnswered.get();
        mOut.printf(
                Locale.ROOT,
                "%4d s  sent %d  answered %d  not answered %d  in flight %d%n",
                now() / NANOS_PER_SECOND,
                mSent,
                answered,
                mSent - answered - mInFlight.get(),
                mInFlight.get());
        mNextProgressNanos += NANOS_PER_SECOND;
    }

    private LoadReport report(List<JobOutcome> jobs) throws InterruptedException {
        List<Outcome> outcomes =
                mOutcomes.stream().sorted(Comparator.comparingLong(Outcome::sentNanos)).toList();
        Figures figures = new Figures(mScenario, outcomes);
        List<Finding> findings =
                new PromiseCheck(mScenario, outcomes, jobs, mTargets.read(), mRun).findings();
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
