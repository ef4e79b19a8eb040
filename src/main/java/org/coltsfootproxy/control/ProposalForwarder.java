package org.coltsfootproxy.control;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.LongFunction;
import org.coltsfootproxy.base.ErrorKind;
import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.consensus.MemberChange;
import org.coltsfootproxy.consensus.Proposer;
import org.coltsfootproxy.message.ConfigMessage;
import org.coltsfootproxy.node.Effects;
import org.coltsfootproxy.node.Node;

/**
 * Brings orders of operators to the leader of a group, here or on another host, and tells what
 * became of them.
 *
 * <p>An order that may be repeated is tried again after silence, a change of leader or an unknown
 * outcome, until its time is up; for tickets that is safe, since a resend gets the first answer.
 * ProposalForwarder that were never taken end as {@link ErrorKind#NO_LEADER}, others as {@link
 * ErrorKind#COMMIT_UNKNOWN}.
 */
final class ProposalForwarder {
    private static final long LIFE_NANOS = TimeUnit.SECONDS.toNanos(8);
    private static final long SILENCE_NANOS = TimeUnit.SECONDS.toNanos(2);
    private static final long PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(100);
    private static final int MAX_OPEN = 1_000;
    private static final byte[] NO_RESULT = new byte[0];

    private final HostId mSelf;
    private final List<RaftGroup> mGroups;
    private final Map<Long, Order> mOpen = new TreeMap<>();
    private long mLastId;

    /** Told the outcome of an order once. */
    interface Outcome {
        /** The order was committed with this result. */
        void done(byte[] result);

        /** The order failed, or its outcome is unknown. */
        void failed(ErrorKind kind);
    }

    private static final class Order {
        private final long mId;
        private final RaftGroup mGroup;
        private final LongFunction<ConfigMessage> mMessage;
        private final boolean mMayRepeat;
        private final Outcome mOutcome;
        private final long mEndNanos;
        private long mTryNanos;
        private int mAttempt;
        private boolean mIsUnderWay;
        private boolean mIsUnresolved;
        private HostId mAsked;

        Order(
                long id,
                RaftGroup group,
                LongFunction<ConfigMessage> message,
                boolean mayRepeat,
                Outcome outcome,
                long nowNanos) {
            mId = id;
            mGroup = group;
            mMessage = message;
            mMayRepeat = mayRepeat;
            mOutcome = outcome;
            mEndNanos = nowNanos + LIFE_NANOS;
            mTryNanos = nowNanos;
        }
    }

    /**
     * Returns the orders of a host.
     *
     * @param firstId random number, so that answers to an earlier life are told apart
     */
    ProposalForwarder(HostId self, List<RaftGroup> groups, long firstId) {
        mSelf = self;
        mGroups = groups;
        mLastId = firstId;
    }

    /** Has a command committed that may be repeated without harm. */
    void command(int group, byte[] command, Outcome outcome, long nowNanos, Effects out) {
        LongFunction<ConfigMessage> message = id -> new ConfigMessage.Propose(id, group, command);
        open(group, message, true, outcome, nowNanos, out);
    }

    /** Has the members of a group changed. */
    void member(int group, boolean add, HostId host, Outcome outcome, long nowNanos, Effects out) {
        LongFunction<ConfigMessage> message =
                id -> new ConfigMessage.ChangeMember(id, group, add, host);
        open(group, message, false, outcome, nowNanos, out);
    }

    private void open(
            int group,
            LongFunction<ConfigMessage> message,
            boolean mayRepeat,
            Outcome outcome,
            long nowNanos,
            Effects out) {
        if (mOpen.size() >= MAX_OPEN) {
            outcome.failed(ErrorKind.OVERLOADED);
            return;
        }
        mLastId++;
        var order = new Order(mLastId, mGroups.get(group), message, mayRepeat, outcome, nowNanos);
        mOpen.put(order.mId, order);
        attempt(order, nowNanos, out);
    }

    private void attempt(Order order, long nowNanos, Effects out) {
        Optional<HostId> leader = order.mGroup.leader();
        if (leader.isEmpty()) {
            order.mTryNanos = nowNanos + PAUSE_NANOS;
            return;
        }
        order.mIsUnresolved |= order.mIsUnderWay;
        order.mAsked = leader.get();
        order.mAttempt++;
        order.mIsUnderWay = true;
        order.mTryNanos = nowNanos + SILENCE_NANOS;
        ConfigMessage message = order.mMessage.apply(order.mId);
        if (leader.get().equals(mSelf)) {
            carryOut(message, new LocalCompletion(order, nowNanos));
        } else {
            out.send(leader.get(), message);
        }
    }

    private void carryOut(ConfigMessage message, Proposer.Completion done) {
        if (message instanceof ConfigMessage.Propose propose) {
            mGroups.get(propose.group()).propose(propose.command(), done);
        } else if (message instanceof ConfigMessage.ChangeMember change) {
            MemberChange order =
                    change.add()
                            ? new MemberChange.Add(change.host())
                            : new MemberChange.Remove(change.host());
            mGroups.get(change.group()).propose(order, done);
        }
    }

    /** Handles an order that another control host brings, or the outcome of one brought there. */
    void handle(HostId from, ConfigMessage message, long nowNanos, Effects out) {
        if (message instanceof ConfigMessage.Propose propose) {
            take(from, propose.id(), propose.group(), message, out);
        } else if (message instanceof ConfigMessage.ChangeMember change) {
            take(from, change.id(), change.group(), message, out);
        } else if (message instanceof ConfigMessage.ProposeResult result) {
            Order order = mOpen.get(result.id());
            if (order != null && (result.kind() == null || from.equals(order.mAsked))) {
                ended(order, result.kind(), result.result(), nowNanos);
            }
        }
    }

    private void take(HostId from, long id, int group, ConfigMessage message, Effects out) {
        if (group < 0 || group >= mGroups.size()) {
            out.send(from, new ConfigMessage.ProposeResult(id, ErrorKind.NOT_FOUND, NO_RESULT));
            return;
        }
        carryOut(
                message,
                new Proposer.Completion() {
                    @Override
                    public void committed(long index, byte[] result) {
                        out.send(from, new ConfigMessage.ProposeResult(id, null, result));
                    }

                    @Override
                    public void failed(ErrorKind kind) {
                        out.send(from, new ConfigMessage.ProposeResult(id, kind, NO_RESULT));
                    }
                });
    }

    private void ended(Order order, ErrorKind kind, byte[] result, long nowNanos) {
        if (kind == null) {
            mOpen.remove(order.mId);
            order.mOutcome.done(result);
            return;
        }
        order.mIsUnderWay = false;
        order.mIsUnresolved |= kind == ErrorKind.COMMIT_UNKNOWN;
        boolean mayTryAgain =
                kind == ErrorKind.NO_LEADER || order.mMayRepeat && kind == ErrorKind.COMMIT_UNKNOWN;
        if (mayTryAgain && nowNanos - order.mEndNanos < 0) {
            order.mTryNanos = nowNanos + PAUSE_NANOS;
        } else {
            fail(order, kind);
        }
    }

    /** Ends an order; if any attempt may have been taken, that is what it says. */
    private void fail(Order order, ErrorKind kind) {
        mOpen.remove(order.mId);
        boolean mayBeTaken = order.mIsUnresolved || order.mIsUnderWay;
        order.mOutcome.failed(mayBeTaken ? ErrorKind.COMMIT_UNKNOWN : kind);
    }

    /** Tries orders again that went to a host whose connection was lost. */
    void peerLost(HostId host, long nowNanos) {
        mOpen.values().stream()
                .filter(order -> order.mIsUnderWay && host.equals(order.mAsked))
                .forEach(order -> order.mTryNanos = Math.min(order.mTryNanos, nowNanos));
    }

    /** Does whatever is due. */
    void tick(long nowNanos, Effects out) {
        for (Order order : new ArrayList<>(mOpen.values())) {
            if (nowNanos - order.mEndNanos >= 0) {
                fail(order, ErrorKind.NO_LEADER);
            } else if (nowNanos - order.mTryNanos >= 0 || hasNewLeader(order)) {
                tryAgain(order, nowNanos, out);
            }
        }
    }

    /** Tells whether a repeatable order waits for a host that no longer leads. */
    private static boolean hasNewLeader(Order order) {
        return order.mIsUnderWay
                && order.mMayRepeat
                && order.mGroup.leader().filter(l -> !l.equals(order.mAsked)).isPresent();
    }

    private void tryAgain(Order order, long nowNanos, Effects out) {
        if (order.mIsUnderWay && !order.mMayRepeat) {
            fail(order, ErrorKind.COMMIT_UNKNOWN);
        } else {
            attempt(order, nowNanos, out);
        }
    }

    /** Returns the time of the next due tick, or {@link Node#NEVER}. */
    long nextTickNanos() {
        return mOpen.values().stream()
                .mapToLong(order -> Math.min(order.mTryNanos, order.mEndNanos))
                .min()
                .orElse(Node.NEVER);
    }

    boolean isEmpty() {
        return mOpen.isEmpty();
    }

    /** Told what became of an order that this host itself carried out. */
    private final class LocalCompletion implements Proposer.Completion {
        private final Order mOrder;
        private final int mAttempt;
        private final long mNowNanos;

        LocalCompletion(Order order, long nowNanos) {
            mOrder = order;
            mAttempt = order.mAttempt;
            mNowNanos = nowNanos;
        }

        @Override
        public void committed(long index, byte[] result) {
            if (mOpen.containsKey(mOrder.mId)) {
                ended(mOrder, null, result, mNowNanos);
            }
        }

        @Override
        public void failed(ErrorKind kind) {
            if (mOpen.containsKey(mOrder.mId) && mAttempt == mOrder.mAttempt) {
                ended(mOrder, kind, NO_RESULT, mNowNanos);
            }
        }
    }
}
