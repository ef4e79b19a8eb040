package org.coltsfootproxy.job;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.coltsfootproxy.base.ErrorKind;
import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.message.JobMessage;
import org.coltsfootproxy.node.Effects;
import org.coltsfootproxy.node.Node;

/**
 * Sends requests to the leaders of the job groups and matches their answers.
 *
 * <p>All requests are idempotent. A request is therefore resent if there is no answer or the leader
 * changes, until its deadline. Single-threaded and deterministic like a {@link Node}.
 */
public final class JobRequestClient {
    private static final long MILLI_NANOS = EpochClock.NANOS_PER_MILLI;

    /** Pause before a refused request is resent to another host. */
    private static final long REFUSAL_PAUSE_NANOS = 100 * MILLI_NANOS;

    private static final int MAX_OPEN = 1_000;
    private static final long MAX_OPEN_BYTES = 64L << 20;

    private final Map<Long, OpenRequest> mOpen = new LinkedHashMap<>();
    private final Map<Integer, HostId> mCurrentHosts = new HashMap<>();
    private final long mResendNanos;
    private List<HostId> mControls = List.of();
    private long mLastNumber;
    private long mOpenBytes;

    /** Receives the outcome of a request. At most one of the methods is called, once. */
    public interface Listener {
        /** Called when a control host has answered. */
        void answered(JobMessage.Answer answer, Effects out);

        /**
         * Called when no control host has answered in time.
         *
         * @param mayBeDone whether a control host may have carried out the request
         */
        void unanswered(boolean mayBeDone, Effects out);

        /** Called when the owner has withdrawn the request, which may still be carried out. */
        default void withdrawn(Effects out) {}
    }

    /** A request that has not been answered yet. */
    private static final class OpenRequest {
        private final long mOwner;
        private final JobMessage.Ask mAsk;
        private final int mBytes;
        private final long mDeadlineNanos;
        private final Listener mListener;
        private long mNextSendNanos;
        private HostId mSentTo;

        /**
         * Number of sends that are not known to be refused. If it is above 0, the request may have
         * been carried out.
         */
        private int mUnrefusedSends;

        OpenRequest(
                long owner, JobMessage.Ask ask, int bytes, long deadlineNanos, Listener listener) {
            mOwner = owner;
            mAsk = ask;
            mBytes = bytes;
            mDeadlineNanos = deadlineNanos;
            mListener = listener;
        }
    }

    private JobRequestClient(List<HostId> controls, long firstNumber, long resendNanos) {
        mLastNumber = firstNumber;
        mResendNanos = resendNanos;
        setControlHosts(controls, 0);
    }

    /**
     * Returns a client without open requests.
     *
     * @param controls control hosts of the groups, at least one
     * @param firstNumber random first request number, so that answers to an earlier incarnation are
     *     not mistaken for new ones
     * @param resendNanos time without an answer after which another control host is tried
     */
    public static JobRequestClient create(
            List<HostId> controls, long firstNumber, long resendNanos) {
        checkArgument(resendNanos > 0, "resendNanos %s is not positive", resendNanos);
        return new JobRequestClient(controls, firstNumber, resendNanos);
    }

    /**
     * Replaces the control hosts, the most likely leader first. If the first host changes, all open
     * requests are resent to it at once.
     */
    public void setControlHosts(List<HostId> controls, long nowNanos) {
        checkArgument(!controls.isEmpty(), "no control hosts are given");
        HostId leader = controls.get(0);
        boolean isNewLeader = !mControls.isEmpty() && !mControls.get(0).equals(leader);
        mControls = List.copyOf(controls);
        mCurrentHosts.values().retainAll(mControls);
        if (isNewLeader) {
            mCurrentHosts.clear();
            mOpen.values().stream()
                    .filter(open -> !open.mSentTo.equals(leader))
                    .forEach(open -> open.mNextSendNanos = nowNanos);
        }
    }

    /**
     * Handles the loss of a connection: requests sent to the host are resent to another one at
     * once.
     */
    public void peerLost(HostId host, long nowNanos) {
        List<OpenRequest> lost =
                mOpen.values().stream().filter(o -> o.mSentTo.equals(host)).toList();
        lost.forEach(open -> switchFrom(host, open.mAsk.group(), null));
        lost.forEach(open -> open.mNextSendNanos = nowNanos);
    }

    /** Returns the number of the next request. */
    public long nextNumber() {
        return mLastNumber + 1;
    }

    /** Returns whether there is room for further requests with the given total bytes. */
    public boolean hasRoom(int requests, long bytes) {
        return mOpen.size() + requests <= MAX_OPEN && mOpenBytes + bytes <= MAX_OPEN_BYTES;
    }

    /**
     * Sends a request.
     *
     * @param owner owner of the request, see {@link #withdraw}
     * @param ask request with the number {@link #nextNumber()}
     * @param bytes size of the request
     * @param deadlineNanos deadline of the request
     */
    public void ask(
            long owner,
            JobMessage.Ask ask,
            int bytes,
            long deadlineNanos,
            Listener listener,
            long nowNanos,
            Effects out) {
        checkArgument(ask.call() == nextNumber(), "number %s is not the next", ask.call());
        OpenRequest open = new OpenRequest(owner, ask, bytes, deadlineNanos, listener);
        mLastNumber = ask.call();
        mOpen.put(ask.call(), open);
        mOpenBytes += bytes;
        send(open, nowNanos, out);
    }

    private void send(OpenRequest open, long nowNanos, Effects out) {
        open.mNextSendNanos = nowNanos + mResendNanos;
        open.mSentTo = mCurrentHosts.computeIfAbsent(open.mAsk.group(), group -> mControls.get(0));
        open.mUnrefusedSends++;
        out.send(open.mSentTo, open.mAsk);
    }

    /** Drops the owner's requests, which may still be carried out. */
    public void withdraw(long owner, Effects out) {
        List<OpenRequest> withdrawn =
                mOpen.values().stream().filter(o -> o.mOwner == owner).toList();
        withdrawn.forEach(this::close);
        withdrawn.forEach(open -> open.mListener.withdrawn(out));
    }

    private void close(OpenRequest open) {
        if (mOpen.remove(open.mAsk.call()) != null) {
            mOpenBytes -= open.mBytes;
        }
    }

    /** Handles an answer from a control host. */
    public void handle(HostId from, JobMessage message, long nowNanos, Effects out) {
        if (!(message instanceof JobMessage.Answer answer)) {
            return;
        }
        OpenRequest open = mOpen.get(answer.call());
        if (open == null) {
            return;
        }
        if (answer instanceof JobMessage.Refused refused && isRetryable(open, refused)) {
            resendLater(open, from, refused, nowNanos);
            return;
        }
        close(open);
        open.mListener.answered(answer, out);
    }

    private static boolean isRetryable(OpenRequest open, JobMessage.Refused refused) {
        return refused.kind() == ErrorKind.NO_LEADER
                || refused.kind() == ErrorKind.COMMIT_UNKNOWN
                || lacksCapacity(refused) && open.mUnrefusedSends > 1;
    }

    /**
     * Returns whether a send was refused for lack of capacity, which says nothing about the other
     * sends of the same request: one of them may be about to be committed.
     */
    private static boolean lacksCapacity(JobMessage.Refused refused) {
        return refused.kind() == ErrorKind.OVERLOADED || refused.kind() == ErrorKind.STORAGE_FULL;
    }

    private void resendLater(
            OpenRequest open, HostId from, JobMessage.Refused refused, long nowNanos) {
        if (refused.kind() != ErrorKind.COMMIT_UNKNOWN) {
            open.mUnrefusedSends--;
        }
        if (lacksCapacity(refused)) {
            return;
        }
        switchFrom(from, open.mAsk.group(), refused.leader());
        open.mNextSendNanos = Math.min(open.mNextSendNanos, nowNanos + REFUSAL_PAUSE_NANOS);
    }

    /**
     * Switches the group from {@code host} to the hint if that is a known control host, else to the
     * next one. Does nothing if {@code host} is not the current one.
     */
    private void switchFrom(HostId host, int group, HostId hint) {
        if (!host.equals(mCurrentHosts.get(group))) {
            return;
        }
        boolean isKnown = hint != null && mControls.contains(hint);
        int next = (mControls.indexOf(host) + 1) % mControls.size();
        mCurrentHosts.put(group, isKnown ? hint : mControls.get(next));
    }

    /** Resends requests that got no answer, and gives up those past their deadline. */
    public void tick(long nowNanos, Effects out) {
        for (OpenRequest open : List.copyOf(mOpen.values())) {
            if (!mOpen.containsKey(open.mAsk.call())) {
                continue;
            }
            if (nowNanos - open.mDeadlineNanos >= 0) {
                close(open);
                open.mListener.unanswered(open.mUnrefusedSends > 0, out);
            } else if (nowNanos - open.mNextSendNanos >= 0) {
                switchFromSilent(open);
                send(open, nowNanos, out);
            }
        }
    }

    private void switchFromSilent(OpenRequest open) {
        if (open.mUnrefusedSends > 0) {
            switchFrom(open.mSentTo, open.mAsk.group(), null);
        }
    }

    /** Returns the time at which {@link #tick} is due next, or {@link Node#NEVER}. */
    public long nextTickNanos() {
        return mOpen.values().stream()
                .mapToLong(open -> Math.min(open.mNextSendNanos, open.mDeadlineNanos))
                .min()
                .orElse(Node.NEVER);
    }

    /** Returns whether no request is open. */
    public boolean isDrained() {
        return mOpen.isEmpty();
    }
}
