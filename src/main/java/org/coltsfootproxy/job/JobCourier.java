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
 * Puts questions and orders to the leaders of the groups for jobs.
 *
 * <p>Every order may be sent twice without harm, so it asks again after silence or a change of
 * leader, until the question's time is up. Single-threaded and deterministic like a {@link Node}.
 */
public final class JobCourier {
    private static final long MILLI = EpochClock.NANOS_PER_MILLI;

    /** Pause before the host that a refusal names is asked. */
    private static final long PAUSE_NANOS = 100 * MILLI;

    private static final int MAX_OPEN = 1_000;
    private static final long MAX_OPEN_BYTES = 64L << 20;

    private final Map<Long, Open> mOpen = new LinkedHashMap<>();
    private final Map<Integer, HostId> mAskedLast = new HashMap<>();
    private final long mAskAgainNanos;
    private List<HostId> mControls = List.of();
    private long mLastNumber;
    private long mOpenBytes;

    /** Told what became of a question; at most one of the methods is called, once. */
    public interface Listener {
        /** A control host answered. */
        void answered(JobMessage.Answer answer, Effects out);

        /**
         * No control host answered in time.
         *
         * @param mayBeDone whether some control host may have taken the question
         */
        void unanswered(boolean mayBeDone, Effects out);

        /** The owner is gone; what it ordered may still be carried out. */
        default void withdrawn(Effects out) {}
    }

    /** A question that was not answered yet. */
    private static final class Open {
        private final long mOwner;
        private final JobMessage.Ask mAsk;
        private final int mBytes;
        private final long mEndNanos;
        private final Listener mListener;
        private long mAskNanos;
        private HostId mAsked;
        private int mUnrefused;

        Open(long owner, JobMessage.Ask ask, int bytes, long endNanos, Listener listener) {
            mOwner = owner;
            mAsk = ask;
            mBytes = bytes;
            mEndNanos = endNanos;
            mListener = listener;
        }
    }

    private JobCourier(List<HostId> controls, long firstNumber, long askAgainNanos) {
        mLastNumber = firstNumber;
        mAskAgainNanos = askAgainNanos;
        controls(controls, 0);
    }

    /**
     * Returns a courier without open questions.
     *
     * @param controls control hosts of the groups, at least one
     * @param firstNumber random number, so that answers to an earlier life are told apart
     * @param askAgainNanos silence after which another control host is asked
     */
    public static JobCourier create(List<HostId> controls, long firstNumber, long askAgainNanos) {
        checkArgument(askAgainNanos > 0, "askAgainNanos %s is not positive", askAgainNanos);
        return new JobCourier(controls, firstNumber, askAgainNanos);
    }

    /**
     * Replaces the control hosts that are asked, the likeliest leader first. If that is another one
     * than before, it gets all open questions at once.
     */
    public void controls(List<HostId> controls, long nowNanos) {
        checkArgument(!controls.isEmpty(), "no control hosts are given");
        HostId leader = controls.get(0);
        boolean isOtherLeader = !mControls.isEmpty() && !mControls.get(0).equals(leader);
        mControls = List.copyOf(controls);
        mAskedLast.values().retainAll(mControls);
        if (isOtherLeader) {
            mAskedLast.clear();
            mOpen.values().stream()
                    .filter(open -> !open.mAsked.equals(leader))
                    .forEach(open -> open.mAskNanos = nowNanos);
        }
    }

    /** A connection was lost: what was asked there is asked elsewhere at once. */
    public void peerLost(HostId host, long nowNanos) {
        List<Open> asked = mOpen.values().stream().filter(o -> o.mAsked.equals(host)).toList();
        asked.forEach(open -> turnFrom(host, open.mAsk.group(), null));
        asked.forEach(open -> open.mAskNanos = nowNanos);
    }

    /** Returns the number for the next question. */
    public long nextNumber() {
        return mLastNumber + 1;
    }

    /** Tells whether further questions with so many bytes in all may be put. */
    public boolean hasRoom(int questions, long bytes) {
        return mOpen.size() + questions <= MAX_OPEN && mOpenBytes + bytes <= MAX_OPEN_BYTES;
    }

    /**
     * Puts a question.
     *
     * @param owner what the question belongs to, see {@link #withdraw}
     * @param ask carries {@link #nextNumber()}
     * @param bytes size of the question
     * @param endNanos when to stop asking
     */
    public void ask(
            long owner,
            JobMessage.Ask ask,
            int bytes,
            long endNanos,
            Listener listener,
            long nowNanos,
            Effects out) {
        checkArgument(ask.call() == nextNumber(), "number %s is not the next", ask.call());
        Open open = new Open(owner, ask, bytes, endNanos, listener);
        mLastNumber = ask.call();
        mOpen.put(ask.call(), open);
        mOpenBytes += bytes;
        send(open, nowNanos, out);
    }

    private void send(Open open, long nowNanos, Effects out) {
        open.mAskNanos = nowNanos + mAskAgainNanos;
        open.mAsked = mAskedLast.computeIfAbsent(open.mAsk.group(), group -> mControls.get(0));
        open.mUnrefused++;
        out.send(open.mAsked, open.mAsk);
    }

    /** Forgets the owner's questions; what it ordered may still be carried out. */
    public void withdraw(long owner, Effects out) {
        List<Open> gone = mOpen.values().stream().filter(o -> o.mOwner == owner).toList();
        gone.forEach(this::close);
        gone.forEach(open -> open.mListener.withdrawn(out));
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
        open.mListener.answered(answer, out);
    }

    private static boolean isWorthAnother(JobMessage.Refused refused) {
        return refused.kind() == ErrorKind.NO_LEADER || refused.kind() == ErrorKind.COMMIT_UNKNOWN;
    }

    private void askLater(Open open, HostId from, JobMessage.Refused refused, long nowNanos) {
        if (refused.kind() == ErrorKind.NO_LEADER) {
            open.mUnrefused--;
        }
        turnFrom(from, open.mAsk.group(), refused.leader());
        open.mAskNanos = Math.min(open.mAskNanos, nowNanos + PAUSE_NANOS);
    }

    /** Asks another host from now on, if {@code host} is the one that is asked. */
    private void turnFrom(HostId host, int group, HostId hint) {
        if (!host.equals(mAskedLast.get(group))) {
            return;
        }
        boolean isKnown = hint != null && mControls.contains(hint);
        int next = (mControls.indexOf(host) + 1) % mControls.size();
        mAskedLast.put(group, isKnown ? hint : mControls.get(next));
    }

    /** Does whatever is due: asks again after silence, and gives up when the time is up. */
    public void tick(long nowNanos, Effects out) {
        for (Open open : List.copyOf(mOpen.values())) {
            if (!mOpen.containsKey(open.mAsk.call())) {
                continue;
            }
            if (nowNanos - open.mEndNanos >= 0) {
                close(open);
                open.mListener.unanswered(open.mUnrefused > 0, out);
            } else if (nowNanos - open.mAskNanos >= 0) {
                turnFromSilent(open);
                send(open, nowNanos, out);
            }
        }
    }

    private void turnFromSilent(Open open) {
        if (open.mUnrefused > 0) {
            turnFrom(open.mAsked, open.mAsk.group(), null);
        }
    }

    /** Returns the time of the next due {@link #tick}, or {@link Node#NEVER}. */
    public long nextTickNanos() {
        return mOpen.values().stream()
                .mapToLong(open -> Math.min(open.mAskNanos, open.mEndNanos))
                .min()
                .orElse(Node.NEVER);
    }

    /** Tells whether no question is open. */
    public boolean isDrained() {
        return mOpen.isEmpty();
    }
}
