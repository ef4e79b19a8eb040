package org.coltsfootproxy.job;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.coltsfootproxy.base.ErrorKind;
import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.base.Names;
import org.coltsfootproxy.base.OrganisationId;
import org.coltsfootproxy.base.ProxyException;
import org.coltsfootproxy.config.ConfigView;
import org.coltsfootproxy.message.JobMessage;
import org.coltsfootproxy.message.JobStatus;
import org.coltsfootproxy.node.Effects;
import org.coltsfootproxy.node.Input;
import org.coltsfootproxy.node.JsonAnswer;
import org.coltsfootproxy.node.Node;
import org.coltsfootproxy.node.Problem;

/**
 * The HTTP interface to batch jobs. It converts calls to requests, sends them to the control hosts
 * and returns their answers to the callers.
 *
 * <p>Single-threaded and deterministic like a {@link Node}.
 */
public final class JobGateway {
    /**
     * Time without an answer after which the next control host is tried. It is longer than a commit
     * with an election.
     */
    private static final long RESEND_NANOS = 1_500 * EpochClock.NANOS_PER_MILLI;

    private static final long ANSWER_TIMEOUT_NANOS = 10_000 * EpochClock.NANOS_PER_MILLI;
    private static final long RETRY_AFTER_MILLIS = 1_000;
    private static final int OK = 200;
    private static final int ACCEPTED = 202;
    private static final String OPERATOR_PREFIX = "/v1/organisations/";

    private final int mGroups;
    private final EpochClock mClock;
    private final JobRequests mRequests;
    private final JobRequestClient mClient;

    /** Collects the answers of all groups to one request for a list of jobs. */
    private static final class ListRequest {
        private final List<JobStatus> mJobs = new ArrayList<>();
        private int mMissingAnswers;
    }

    private JobGateway(List<HostId> controls, int groups, long firstNumber, EpochClock clock) {
        mGroups = groups;
        mClock = clock;
        mRequests = new JobRequests(groups);
        mClient = JobRequestClient.create(controls, firstNumber, RESEND_NANOS);
    }

    /**
     * Returns a gateway without open calls.
     *
     * @param controls control hosts of the groups
     * @param groups number of groups for jobs, at least 1
     * @param firstNumber random first request number, so that answers to an earlier incarnation are
     *     not mistaken for new ones
     */
    public static JobGateway create(
            List<HostId> controls, int groups, long firstNumber, EpochClock clock) {
        checkArgument(!controls.isEmpty(), "no control hosts are given");
        checkArgument(groups > 0, "number of groups %s is below 1", groups);
        checkNotNull(clock, "clock is missing");
        return new JobGateway(controls, groups, firstNumber, clock);
    }

    /** Returns whether the gateway serves callers' requests for a path. */
    public static boolean serves(String path) {
        return path.equals(JobCall.PREFIX)
                || path.startsWith(JobCall.PREFIX + "/")
                || path.startsWith(JobCall.PREFIX + "?");
    }

    /**
     * Returns whether the gateway serves operators' requests for a path. These are the callers'
     * paths below {@code /v1/organisations/ORGANISATION}, and the one that settles an item.
     */
    public static boolean servesOperators(String path) {
        int end = path.indexOf('/', OPERATOR_PREFIX.length());
        return path.startsWith(OPERATOR_PREFIX) && end > 0 && serves(path.substring(end));
    }

    /** Handles a call that was authenticated as the organisation's. */
    public void call(
            Input.HttpCall http,
            OrganisationId organisation,
            ConfigView config,
            long nowNanos,
            Effects out) {
        try {
            JobCall call = JobCall.parse(http, http.path());
            JobRequests.Context context = context(organisation, config, nowNanos);
            ask(call, context, false, nowNanos, out);
        } catch (ProxyException e) {
            Problem.from(e).answer(http.call(), out);
        }
    }

    /** Handles a call that was authenticated as an operator's. */
    public void operatorCall(Input.HttpCall http, ConfigView config, long nowNanos, Effects out) {
        try {
            int end = http.path().indexOf('/', OPERATOR_PREFIX.length());
            String name = http.path().substring(OPERATOR_PREFIX.length(), end);
            if (!Names.isValid(name)) {
                throw ProxyException.of(
                        ErrorKind.MALFORMED_REQUEST, "not a valid organisation name: " + name);
            }
            JobCall call = JobCall.parse(http, http.path().substring(end));
            ask(call, context(OrganisationId.of(name), config, nowNanos), true, nowNanos, out);
        } catch (ProxyException e) {
            Problem.from(e).answer(http.call(), out);
        }
    }

    private JobRequests.Context context(
            OrganisationId organisation, ConfigView config, long nowNanos) {
        return new JobRequests.Context(organisation, config, mClock.epochMillis(nowNanos));
    }

    private void ask(
            JobCall call,
            JobRequests.Context context,
            boolean isOperator,
            long nowNanos,
            Effects out)
            throws ProxyException {
        if (!mClient.hasRoom(mGroups, call.body().length)) {
            throw ProxyException.of(ErrorKind.OVERLOADED, "too many calls on jobs are open");
        }
        if (call.depth() == 0 && call.method().equals("GET")) {
            listJobs(call, context, nowNanos, out);
            return;
        }
        boolean isSettle =
                isOperator
                        && call.method().equals("POST")
                        && call.depth() == 4
                        && call.segment(1).equals("items")
                        && call.segment(3).equals("settle");
        JobMessage.Ask ask =
                isSettle
                        ? mRequests.settle(call, context, mClient.nextNumber())
                        : mRequests.ask(call, context, mClient.nextNumber());
        open(call, ask, null, nowNanos, out);
    }

    private void listJobs(JobCall call, JobRequests.Context context, long nowNanos, Effects out) {
        ListRequest list = new ListRequest();
        list.mMissingAnswers = mGroups;
        for (int group = 1; group <= mGroups; group++) {
            JobMessage.Ask ask =
                    new JobMessage.AskJobs(group, mClient.nextNumber(), context.organisation());
            open(call, ask, list, nowNanos, out);
        }
    }

    private void open(
            JobCall call, JobMessage.Ask ask, ListRequest list, long nowNanos, Effects out) {
        mClient.ask(
                call.call(),
                ask,
                call.body().length,
                nowNanos + ANSWER_TIMEOUT_NANOS,
                new AnswerListener(call.call(), ask, list),
                nowNanos,
                out);
    }

    /** Handles the loss of the caller. Requests that it sent may still be carried out. */
    public void callerDisconnected(long call, Effects out) {
        mClient.withdraw(call, out);
    }

    /** Handles an answer from a control host. */
    public void handle(HostId from, JobMessage message, long nowNanos, Effects out) {
        mClient.handle(from, message, nowNanos, out);
    }

    /** Returns the answer to one request to its caller. */
    private final class AnswerListener implements JobRequestClient.Listener {
        private final long mCall;
        private final JobMessage.Ask mAsk;
        private final ListRequest mList;

        AnswerListener(long call, JobMessage.Ask ask, ListRequest list) {
            mCall = call;
            mAsk = ask;
            mList = list;
        }

        @Override
        public void answered(JobMessage.Answer answer, Effects out) {
            if (answer instanceof JobMessage.Refused refused) {
                Problem.of(refused.kind(), refused.ran(), refused.detail())
                        .withRetryAfterMillis(refused.retryAfterMillis())
                        .answer(mCall, out);
                callerDisconnected(mCall, out);
            } else if (answer instanceof JobMessage.Status status) {
                JsonAnswer.send(
                        mCall, statusCode(mAsk), JobResponses.JobView.of(status.status()), out);
            } else if (answer instanceof JobMessage.Results results) {
                JobResponses.sendResults(mCall, results, out);
            } else if (answer instanceof JobMessage.Jobs jobs && mList != null) {
                collect(mCall, mList, jobs, out);
            }
        }

        @Override
        public void unanswered(boolean mayBeDone, Effects out) {
            boolean changesJob =
                    statusCode(mAsk) == ACCEPTED
                            || mAsk instanceof JobMessage.Cancel
                            || mAsk instanceof JobMessage.Settle;
            ErrorKind kind =
                    changesJob && mayBeDone ? ErrorKind.COMMIT_UNKNOWN : ErrorKind.NO_LEADER;
            Problem.of(kind, "no control host answered in time")
                    .withRetryAfterMillis(RETRY_AFTER_MILLIS)
                    .answer(mCall, out);
            callerDisconnected(mCall, out);
        }
    }

    private static int statusCode(JobMessage.Ask ask) {
        boolean isSubmit =
                ask instanceof JobMessage.Submit
                        || ask instanceof JobMessage.Begin
                        || ask instanceof JobMessage.Append
                        || ask instanceof JobMessage.Commit;
        return isSubmit ? ACCEPTED : OK;
    }

    private static void collect(long call, ListRequest list, JobMessage.Jobs jobs, Effects out) {
        list.mJobs.addAll(jobs.jobs());
        if (--list.mMissingAnswers == 0) {
            list.mJobs.sort(Comparator.comparingLong(JobStatus::acceptedEpochMillis));
            JsonAnswer.send(call, OK, JobResponses.JobList.of(list.mJobs), out);
        }
    }

    /** Resends requests that got no answer, and gives up those whose time is over. */
    public void tick(long nowNanos, Effects out) {
        mClient.tick(nowNanos, out);
    }

    /** Returns the time at which {@link #tick} is due next, or {@link Node#NEVER}. */
    public long nextTickNanos() {
        return mClient.nextTickNanos();
    }

    /** Returns whether no call is open. */
    public boolean isDrained() {
        return mClient.isDrained();
    }
}
