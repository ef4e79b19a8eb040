package org.coltsfootproxy.job;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
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
 * <p>Every order may be sent twice without harm, so it asks again after silence or a change of
 * leader, until its time is up. Single-threaded and deterministic like a {@link Node}.
 */
public final class JobGateway {
    private static final long MILLI = EpochClock.NANOS_PER_MILLI;
    private static final long ANSWER_NANOS = 10_000 * MILLI;
    private static final long ASK_AGAIN_NANOS = 1_500 * MILLI;
    private static final long PAUSE_NANOS = 100 * MILLI;
    private static final int MAX_OPEN = 1_000;
    private static final long MAX_OPEN_BYTES = 64L << 20;
    private static final int OK = 200;
    private static final int ACCEPTED = 202;
    private static final String OPERATOR_PREFIX = "/v1/organisations/";

    private final List<HostId> mControls;
    private final int mGroups;
    private final EpochClock mClock;
    private final JobRequests mRequests;
    private final Map<Long, Open> mOpen = new LinkedHashMap<>();
    private final int[] mLeaders;
    private long mLastNumber;
    private long mOpenBytes;

    /** A question that was not answered yet. */
    private static final class Open {
        private final long mCall;
        private final JobMessage.Ask mAsk;
        private final ListAsk mList;
        private final int mBytes;
        private final long mEndNanos;
        private long mAskNanos;
        private HostId mAsked;
        private int mUnrefused;

        Open(long call, JobMessage.Ask ask, ListAsk list, int bytes, long endNanos) {
            mCall = call;
            mAsk = ask;
            mList = list;
            mBytes = bytes;
            mEndNanos = endNanos;
        }
    }

    /** Gathers the answers of all groups to one question for a list. */
    private static final class ListAsk {
        private final List<JobStatus> mJobs = new ArrayList<>();
        private int mMissing;
    }

    private JobGateway(List<HostId> controls, int groups, long firstNumber, EpochClock clock) {
        mControls = List.copyOf(controls);
        mGroups = groups;
        mLastNumber = firstNumber;
        mClock = clock;
        mRequests = new JobRequests(groups);
        mLeaders = new int[groups + 1];
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
        if (mOpen.size() + mGroups > MAX_OPEN || mOpenBytes + call.body().length > MAX_OPEN_BYTES) {
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
                        ? mRequests.settle(call, context, mLastNumber + 1)
                        : mRequests.ask(call, context, mLastNumber + 1);
        open(call, ask, null, nowNanos, out);
    }

    private void askAll(JobCall call, JobRequests.Context context, long nowNanos, Effects out) {
        ListAsk list = new ListAsk();
        list.mMissing = mGroups;
        for (int group = 1; group <= mGroups; group++) {
            JobMessage.Ask ask =
                    new JobMessage.AskJobs(group, mLastNumber + 1, context.organisation());
            open(call, ask, list, nowNanos, out);
        }
    }

    private void open(JobCall call, JobMessage.Ask ask, ListAsk list, long nowNanos, Effects out) {
        int bytes = call.body().length;
        Open open = new Open(call.call(), ask, list, bytes, nowNanos + ANSWER_NANOS);
        mLastNumber = ask.call();
        mOpen.put(ask.call(), open);
        mOpenBytes += bytes;
        send(open, nowNanos, out);
    }

    private void send(Open open, long nowNanos, Effects out) {
        open.mAskNanos = nowNanos + ASK_AGAIN_NANOS;
        open.mAsked = mControls.get(mLeaders[open.mAsk.group()]);
        open.mUnrefused++;
        out.send(open.mAsked, open.mAsk);
    }

    /** The caller is gone; what it ordered may still be carried out. */
    public void gone(long call) {
        List<Open> gone = mOpen.values().stream().filter(o -> o.mCall == call).toList();
        gone.forEach(this::close);
    }

    private void close(Open open) {
        if (mOpen.remove(open.mAsk.call()) != null) {
            mOpenBytes -= open.mBytes;
        }
    }

    /** Handles an answer of a control host. */
    public void handle(HostId from, JobMessage message, long nowNanos, Effects out) {
        if (!(message instanceof JobMessage.Answer answer)) {
            return;
        }
        Open open = mOpen.get(answer.call());
        if (open == null) {
            return;
        }
        if (answer instanceof JobMessage.Refused refused && isWorthAnother(refused)) {
            askLater(open, from, refused, nowNanos);
            return;
        }
        close(open);
        answer(open, answer, out);
    }

    private static boolean isWorthAnother(JobMessage.Refused refused) {
        return refused.kind() == ErrorKind.NO_LEADER || refused.kind() == ErrorKind.COMMIT_UNKNOWN;
    }

    private void askLater(Open open, HostId from, JobMessage.Refused refused, long nowNanos) {
        if (refused.kind() == ErrorKind.NO_LEADER) {
            open.mUnrefused--;
        }
        int hint = refused.leader() == null ? -1 : mControls.indexOf(refused.leader());
        turnFrom(from, open.mAsk.group(), hint);
        open.mAskNanos = Math.min(open.mAskNanos, nowNanos + PAUSE_NANOS);
    }

    /** Asks another host from now on, if {@code host} is the one that is asked. */
    private void turnFrom(HostId host, int group, int hint) {
        if (mControls.get(mLeaders[group]).equals(host)) {
            mLeaders[group] = hint >= 0 ? hint : (mLeaders[group] + 1) % mControls.size();
        }
    }

    private void answer(Open open, JobMessage.Answer answer, Effects out) {
        if (answer instanceof JobMessage.Refused refused) {
            Problem.of(refused.kind(), refused.ran(), refused.detail())
                    .withRetryAfterSeconds((refused.retryAfterMillis() + 999) / 1_000)
                    .answer(open.mCall, out);
            gone(open.mCall);
        } else if (answer instanceof JobMessage.Status status) {
            JsonAnswer.send(
                    open.mCall, statusCode(open.mAsk), JobAnswers.JobView.of(status.status()), out);
        } else if (answer instanceof JobMessage.Results results) {
            JobAnswers.sendResults(open.mCall, results, out);
        } else if (answer instanceof JobMessage.Jobs jobs && open.mList != null) {
            gather(open, jobs, out);
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

    private static void gather(Open open, JobMessage.Jobs jobs, Effects out) {
        ListAsk list = open.mList;
        list.mJobs.addAll(jobs.jobs());
        if (--list.mMissing == 0) {
            list.mJobs.sort(Comparator.comparingLong(JobStatus::acceptedEpochMillis));
            JsonAnswer.send(open.mCall, OK, JobAnswers.JobList.of(list.mJobs), out);
        }
    }

    /** Does whatever is due: asks again after silence, and gives up when the time is up. */
    public void tick(long nowNanos, Effects out) {
        for (Open open : List.copyOf(mOpen.values())) {
            if (nowNanos - open.mEndNanos >= 0) {
                giveUp(open, out);
            } else if (nowNanos - open.mAskNanos >= 0) {
                turnFromSilent(open);
                send(open, nowNanos, out);
            }
        }
    }

    private void turnFromSilent(Open open) {
        if (open.mUnrefused > 0) {
            turnFrom(open.mAsked, open.mAsk.group(), -1);
        }
    }

    private void giveUp(Open open, Effects out) {
        if (!mOpen.containsKey(open.mAsk.call())) {
            return;
        }
        boolean isOrder =
                statusCode(open.mAsk) == ACCEPTED
                        || open.mAsk instanceof JobMessage.Cancel
                        || open.mAsk instanceof JobMessage.Settle;
        ErrorKind kind =
                isOrder && open.mUnrefused > 0 ? ErrorKind.COMMIT_UNKNOWN : ErrorKind.NO_LEADER;
        Problem.of(kind, "no control host answered in time")
                .withRetryAfterSeconds(1)
                .answer(open.mCall, out);
        gone(open.mCall);
    }

    /** Returns the time of the next due {@link #tick}, or {@link Node#NEVER}. */
    public long nextTickNanos() {
        return mOpen.values().stream()
                .mapToLong(open -> Math.min(open.mAskNanos, open.mEndNanos))
                .min()
                .orElse(Node.NEVER);
    }

    /** Tells whether no call is open. */
    public boolean isDrained() {
        return mOpen.isEmpty();
    }
}
