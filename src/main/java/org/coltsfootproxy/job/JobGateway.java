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
 * The HTTP interface to batch jobs: it puts callers' questions and orders to the control hosts and
 * answers once they have.
 *
 * <p>Single-threaded and deterministic like a {@link Node}.
 */
public final class JobGateway {
    /** Silence after which another control host is asked: longer than a commit with an election. */
    private static final long ASK_AGAIN_NANOS = 1_500 * EpochClock.NANOS_PER_MILLI;

    private static final long ANSWER_NANOS = 10_000 * EpochClock.NANOS_PER_MILLI;
    private static final long RETRY_MILLIS = 1_000;
    private static final int OK = 200;
    private static final int ACCEPTED = 202;
    private static final String OPERATOR_PREFIX = "/v1/organisations/";

    private final int mGroups;
    private final EpochClock mClock;
    private final JobRequests mRequests;
    private final JobCourier mCourier;

    /** Gathers the answers of all groups to one question for a list. */
    private static final class ListAsk {
        private final List<JobStatus> mJobs = new ArrayList<>();
        private int mMissing;
    }

    private JobGateway(List<HostId> controls, int groups, long firstNumber, EpochClock clock) {
        mGroups = groups;
        mClock = clock;
        mRequests = new JobRequests(groups);
        mCourier = JobCourier.create(controls, firstNumber, ASK_AGAIN_NANOS);
    }

    /**
     * Returns a gateway without open calls.
     *
     * @param controls control hosts of the groups
     * @param groups number of groups for jobs, at least 1
     * @param firstNumber random number, so that answers to an earlier life are told apart
     */
    public static JobGateway create(
            List<HostId> controls, int groups, long firstNumber, EpochClock clock) {
        checkArgument(!controls.isEmpty(), "no control hosts are given");
        checkArgument(groups > 0, "number of groups %s is below 1", groups);
        checkNotNull(clock, "clock is missing");
        return new JobGateway(controls, groups, firstNumber, clock);
    }

    /** Tells whether callers' requests for a path are the gateway's to answer. */
    public static boolean serves(String path) {
        return path.equals(JobCall.PREFIX)
                || path.startsWith(JobCall.PREFIX + "/")
                || path.startsWith(JobCall.PREFIX + "?");
    }

    /**
     * Tells whether operators' requests for a path are the gateway's: the same paths below {@code
     * /v1/organisations/ORGANISATION}, and the order to settle an item.
     */
    public static boolean servesOperators(String path) {
        int end = path.indexOf('/', OPERATOR_PREFIX.length());
        return path.startsWith(OPERATOR_PREFIX) && end > 0 && serves(path.substring(end));
    }

    /** Handles a call whose key was checked to be the organisation's. */
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

    /** Handles a call whose operator's key was checked. */
    public void operatorCall(Input.HttpCall http, ConfigView config, long nowNanos, Effects out) {
        try {
            int end = http.path().indexOf('/', OPERATOR_PREFIX.length());
            String name = http.path().substring(OPERATOR_PREFIX.length(), end);
            if (!Names.isValid(name)) {
                throw ProxyException.of(
                        ErrorKind.MALFORMED_REQUEST, "no organisation can be called " + name);
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
        if (!mCourier.hasRoom(mGroups, call.body().length)) {
            throw ProxyException.of(ErrorKind.OVERLOADED, "too many calls on jobs are open");
        }
        if (call.depth() == 0 && call.method().equals("GET")) {
            askAll(call, context, nowNanos, out);
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
                        ? mRequests.settle(call, context, mCourier.nextNumber())
                        : mRequests.ask(call, context, mCourier.nextNumber());
        open(call, ask, null, nowNanos, out);
    }

    private void askAll(JobCall call, JobRequests.Context context, long nowNanos, Effects out) {
        ListAsk list = new ListAsk();
        list.mMissing = mGroups;
        for (int group = 1; group <= mGroups; group++) {
            JobMessage.Ask ask =
                    new JobMessage.AskJobs(group, mCourier.nextNumber(), context.organisation());
            open(call, ask, list, nowNanos, out);
        }
    }

    private void open(JobCall call, JobMessage.Ask ask, ListAsk list, long nowNanos, Effects out) {
        mCourier.ask(
                call.call(),
                ask,
                call.body().length,
                nowNanos + ANSWER_NANOS,
                new Answerer(call.call(), ask, list),
                nowNanos,
                out);
    }

    /** The caller is gone; what it ordered may still be carried out. */
    public void gone(long call, Effects out) {
        mCourier.withdraw(call, out);
    }

    /** Handles an answer of a control host. */
    public void handle(HostId from, JobMessage message, long nowNanos, Effects out) {
        mCourier.handle(from, message, nowNanos, out);
    }

    /** Answers the caller of one question. */
    private final class Answerer implements JobCourier.Listener {
        private final long mCall;
        private final JobMessage.Ask mAsk;
        private final ListAsk mList;

        Answerer(long call, JobMessage.Ask ask, ListAsk list) {
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
                gone(mCall, out);
            } else if (answer instanceof JobMessage.Status status) {
                JsonAnswer.send(
                        mCall, statusCode(mAsk), JobAnswers.JobView.of(status.status()), out);
            } else if (answer instanceof JobMessage.Results results) {
                JobAnswers.sendResults(mCall, results, out);
            } else if (answer instanceof JobMessage.Jobs jobs && mList != null) {
                gather(mCall, mList, jobs, out);
            }
        }

        @Override
        public void unanswered(boolean mayBeDone, Effects out) {
            boolean isOrder =
                    statusCode(mAsk) == ACCEPTED
                            || mAsk instanceof JobMessage.Cancel
                            || mAsk instanceof JobMessage.Settle;
            ErrorKind kind = isOrder && mayBeDone ? ErrorKind.COMMIT_UNKNOWN : ErrorKind.NO_LEADER;
            Problem.of(kind, "no control host answered in time")
                    .withRetryAfterMillis(RETRY_MILLIS)
                    .answer(mCall, out);
            gone(mCall, out);
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

    private static void gather(long call, ListAsk list, JobMessage.Jobs jobs, Effects out) {
        list.mJobs.addAll(jobs.jobs());
        if (--list.mMissing == 0) {
            list.mJobs.sort(Comparator.comparingLong(JobStatus::acceptedEpochMillis));
            JsonAnswer.send(call, OK, JobAnswers.JobList.of(list.mJobs), out);
        }
    }

    /** Does whatever is due: asks again after silence, and gives up when the time is up. */
    public void tick(long nowNanos, Effects out) {
        mCourier.tick(nowNanos, out);
    }

    /** Returns the time of the next due {@link #tick}, or {@link Node#NEVER}. */
    public long nextTickNanos() {
        return mCourier.nextTickNanos();
    }

    /** Tells whether no call is open. */
    public boolean isDrained() {
        return mCourier.isDrained();
    }
}
