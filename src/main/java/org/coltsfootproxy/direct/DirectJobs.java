package org.coltsfootproxy.direct;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.coltsfootproxy.base.ErrorKind;
import org.coltsfootproxy.base.EventCode;
import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.base.JobId;
import org.coltsfootproxy.base.OrganisationId;
import org.coltsfootproxy.base.ProxyException;
import org.coltsfootproxy.base.Ran;
import org.coltsfootproxy.base.Region;
import org.coltsfootproxy.config.JobRouting;
import org.coltsfootproxy.config.Route;
import org.coltsfootproxy.job.JobRequestClient;
import org.coltsfootproxy.message.Header;
import org.coltsfootproxy.message.JobItem;
import org.coltsfootproxy.message.JobMessage;
import org.coltsfootproxy.message.JobSpec;
import org.coltsfootproxy.node.Effect;
import org.coltsfootproxy.node.Effects;
import org.coltsfootproxy.node.Input;
import org.coltsfootproxy.node.LogField;
import org.coltsfootproxy.node.Problem;

/**
 * Runs callers' calls on batch jobs at the job leader: submits a job with all of its items, cancels
 * it, and reads bodies and results. Results are in the order in which items ended.
 */
final class DirectJobs {
    /** The only job group of a fleet that is found by seeds. */
    private static final int JOBS_GROUP = 1;

    /**
     * Time limit for an answer, besides a wait that the caller asked for: an election and a commit.
     */
    static final long ANSWER_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(3_500);

    /** Time without an answer after which another host is asked: one election of the job log. */
    private static final long RESEND_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    /** Retry-after time when no control host has answered: about one election. */
    private static final long RETRY_AFTER_MILLIS = 500;

    private static final String METHOD = "POST";
    private static final int OK = 200;
    private static final int ACCEPTED = 202;

    private final CallerProtocol mProtocol;
    private final JobRequestClient mClient;

    DirectJobs(CallerProtocol protocol, JobRequestClient client) {
        mProtocol = protocol;
        mClient = client;
    }

    /** Returns a client that sends calls to the job leader. */
    static JobRequestClient createClient(List<HostId> hosts, RandomGenerator random) {
        return JobRequestClient.create(hosts, random.nextLong() >>> 1, RESEND_NANOS);
    }

    void controls(List<HostId> controls, long now) {
        mClient.setControlHosts(controls, now);
    }

    void peerLost(HostId host, long now) {
        mClient.peerLost(host, now);
    }

    /**
     * Submits the job in the body of a call on a batch route.
     *
     * @param allowedRegions regions that the items may reach; empty if they are not restricted
     */
    void submit(
            Input.HttpCall call,
            Route route,
            OrganisationId organisation,
            Optional<Set<Region>> allowedRegions,
            long now,
            Effects out)
            throws ProxyException {
        JobSubmission job = mProtocol.readJob(call);
        List<JobItem> items = job.items().stream().map(DirectJobs::item).toList();
        JobMessage.Ask ask =
                new JobMessage.Submit(
                        JOBS_GROUP,
                        mClient.nextNumber(),
                        organisation,
                        spec(call, job, route, allowedRegions),
                        items);
        ask(call, ask, job.id(), 0, now, out);
    }

    private static JobItem item(JobSubmission.Item item) {
        var call = new ItemCall.Post(item.path(), item.headers(), item.body());
        return JobItem.of(item.id(), ItemCall.encode(call));
    }

    private static JobSpec spec(
            Input.HttpCall call,
            JobSubmission job,
            Route route,
            Optional<Set<Region>> allowedRegions) {
        long due = Math.max(1, route.policy().jobGoalMillis());
        return new JobSpec(
                job.id(),
                JobRouting.atSubmission(route, job.id()),
                METHOD,
                call.path(),
                true,
                route.timeoutMillis(),
                due,
                JobSpec.RELATIVE,
                job.items().size(),
                route.policy().maxTargets(),
                allowedRegions.map(r -> r.stream().sorted().toList()).orElse(null));
    }

    /** Reads results, reads an item's body or cancels a job. */
    void call(
            Input.HttpCall call,
            CallerCall callerCall,
            OrganisationId organisation,
            long now,
            Effects out) {
        long number = mClient.nextNumber();
        if (callerCall instanceof CallerCall.ReadResults read) {
            JobMessage.Ask ask =
                    new JobMessage.AskEnded(
                            JOBS_GROUP,
                            number,
                            organisation,
                            read.job(),
                            read.from(),
                            read.waitMillis());
            ask(call, ask, read.job(), read.waitMillis(), now, out);
        } else if (callerCall instanceof CallerCall.ReadBody read) {
            JobMessage.Ask ask =
                    new JobMessage.AskBody(
                            JOBS_GROUP, number, organisation, read.job(), read.item());
            ask(call, ask, read.job(), 0, now, out);
        } else if (callerCall instanceof CallerCall.CancelJob cancel) {
            JobMessage.Ask ask =
                    new JobMessage.Cancel(JOBS_GROUP, number, organisation, cancel.job());
            ask(call, ask, cancel.job(), 0, now, out);
        } else {
            throw new IllegalArgumentException("not a call on a batch job: " + callerCall);
        }
    }

    private void ask(
            Input.HttpCall call,
            JobMessage.Ask ask,
            JobId job,
            long waitMillis,
            long now,
            Effects out) {
        int bytes = call.body().length;
        Responder responder = new Responder(call.call(), ask, job);
        if (!mClient.hasRoom(1, bytes)) {
            String detail = "too many calls on jobs are open";
            responder.fail(ErrorKind.OVERLOADED, detail, RETRY_AFTER_MILLIS, out);
            return;
        }
        long end = now + TimeUnit.MILLISECONDS.toNanos(waitMillis) + ANSWER_TIMEOUT_NANOS;
        mClient.ask(call.call(), ask, bytes, end, responder, now, out);
    }

    /** Answers one caller's call. */
    private final class Responder implements JobRequestClient.Listener {
        private final long mCall;
        private final JobMessage.Ask mAsk;
        private final JobId mJob;

        Responder(long call, JobMessage.Ask ask, JobId job) {
            mCall = call;
            mAsk = ask;
            mJob = job;
        }

        @Override
        public void answered(JobMessage.Answer answer, Effects out) {
            if (answer instanceof JobMessage.Refused refused) {
                fail(refused.kind(), refused.detail(), refused.retryAfterMillis(), out);
            } else if (answer instanceof JobMessage.Ended ended) {
                String type = "application/json";
                send(OK, type, mProtocol.results(ended), out);
            } else if (answer instanceof JobMessage.Body body) {
                sendBody(body, out);
            } else {
                boolean isSubmit = mAsk instanceof JobMessage.Submit;
                send(isSubmit ? ACCEPTED : OK, "application/json", new byte[] {'{', '}'}, out);
            }
        }

        private void sendBody(JobMessage.Body body, Effects out) {
            try {
                byte[] bytes = ItemCall.decode(body.body()).body();
                send(OK, "application/octet-stream", bytes, out);
            } catch (ProxyException e) {
                fail(ErrorKind.INTERNAL, e.getMessage(), 0, out);
            }
        }

        @Override
        public void unanswered(boolean mayBeDone, Effects out) {
            boolean isSubmit = mAsk instanceof JobMessage.Submit;
            ErrorKind kind = isSubmit && mayBeDone ? ErrorKind.ANSWER_LOST : ErrorKind.NO_LEADER;
            fail(kind, "no control host answered in time", RETRY_AFTER_MILLIS, out);
        }

        @Override
        public void withdrawn(Effects out) {
            log("the caller has disconnected", out);
        }

        /** Reports a failure; a status of 503 promises that a submitted job does not run. */
        void fail(ErrorKind kind, String detail, long retryMillis, Effects out) {
            ErrorKind reported =
                    switch (kind) {
                        case COMMIT_UNKNOWN -> ErrorKind.ANSWER_LOST;
                        case STORAGE_FULL -> ErrorKind.OVERLOADED;
                        default -> kind;
                    };
            Problem.of(reported, reported.ran(), detail)
                    .withRetryAfterMillis(reported.ran() == Ran.NO ? retryMillis : 0)
                    .answer(mCall, mProtocol.retryAfter(), out);
            log(reported.label() + ": " + detail, out);
        }

        private void send(int status, String type, byte[] body, Effects out) {
            List<Header> headers =
                    List.of(
                            Header.of("Content-Type", type),
                            Header.of("Content-Length", Integer.toString(body.length)));
            out.add(new Effect.HttpHead(mCall, status, headers));
            out.add(new Effect.HttpChunk(mCall, body));
            out.add(new Effect.HttpEnd(mCall));
            log(Integer.toString(status), out);
        }

        private void log(String outcome, Effects out) {
            out.log(
                    EventCode.JOB_CALL_ANSWERED,
                    LogField.of("job", mJob),
                    LogField.of("call", mAsk.getClass().getSimpleName()),
                    LogField.of("organisation", mAsk.organisation()),
                    LogField.of("outcome", outcome));
        }
    }

    /** Drops the call of a caller that has disconnected; its operation may still be carried out. */
    void callerDisconnected(long call, Effects out) {
        mClient.withdraw(call, out);
    }

    void handle(HostId from, JobMessage message, long now, Effects out) {
        mClient.handle(from, message, now, out);
    }

    void tick(long now, Effects out) {
        mClient.tick(now, out);
    }

    long nextTickNanos() {
        return mClient.nextTickNanos();
    }

    boolean isEmpty() {
        return mClient.isDrained();
    }
}
