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
 * Forwards operators' proposals to the leader of a group, on this host or another one, and reports
 * their outcome.
 *
 * <p>A retryable proposal is retried after an attempt that timed out, a change of leader or an
 * unknown outcome, until the proposal itself times out. This is safe for tickets, since a resent
 * ticket gets the first verdict again. A proposal that no leader can have accepted times out with
 * {@link ErrorKind#NO_LEADER}, any other with {@link ErrorKind#COMMIT_UNKNOWN}.
 */
final class ProposalForwarder {
    private static final long TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(8);
    private static final long ATTEMPT_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(2);
    private static final long RETRY_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(100);
    private static final int MAX_PENDING = 1_000;
    private static final byte[] NO_RESULT = new byte[0];

    private final HostId mSelf;
    private final List<RaftGroup> mGroups;
    private final Map<Long, Proposal> mPending = new TreeMap<>();
    private long mLastId;

    /** Receives the outcome of a proposal, exactly once. */
    interface Callback {
        /** The proposal was committed and applied with this result. */
        void done(byte[] result);

        /** The proposal failed, or its outcome is unknown. */
        void failed(ErrorKind kind);
    }

    private static final class Proposal {
        private final long mId;
        private final RaftGroup mGroup;
        private final LongFunction<ConfigMessage> mMessage;
        private final boolean mIsRetryable;
        private final Callback mCallback;
        private final long mDeadlineNanos;
        private long mNextAttemptNanos;
        private int mAttempt;
        private boolean mIsInFlight;
        private boolean mHasUnknownOutcome;
        private HostId mAttemptLeader;

        Proposal(
                long id,
                RaftGroup group,
                LongFunction<ConfigMessage> message,
                boolean isRetryable,
                Callback callback,
                long nowNanos) {
            mId = id;
            mGroup = group;
            mMessage = message;
            mIsRetryable = isRetryable;
            mCallback = callback;
            mDeadlineNanos = nowNanos + TIMEOUT_NANOS;
            mNextAttemptNanos = nowNanos;
        }
    }

    /**
     * Creates the forwarder of a host.
     *
     * @param firstId random number, so that results for an earlier incarnation of this host are not
     *     matched to new proposals
     */
    ProposalForwarder(HostId self, List<RaftGroup> groups, long firstId) {
        mSelf = self;
        mGroups = groups;
        mLastId = firstId;
    }

    /** Submits a command, which must be idempotent since it is retried. */
    void submitCommand(int group, byte[] command, Callback callback, long nowNanos, Effects out) {
        LongFunction<ConfigMessage> message = id -> new ConfigMessage.Propose(id, group, command);
        submit(group, message, true, callback, nowNanos, out);
    }

    /** Submits a membership change, which is not retried once a leader may have accepted it. */
    void submitMemberChange(
            int group, boolean add, HostId host, Callback callback, long nowNanos, Effects out) {
        LongFunction<ConfigMessage> message =
                id -> new ConfigMessage.ChangeMember(id, group, add, host);
        submit(group, message, false, callback, nowNanos, out);
    }

    private void submit(
            int group,
            LongFunction<ConfigMessage> message,
            boolean isRetryable,
            Callback callback,
            long nowNanos,
            Effects out) {
        if (mPending.size() >= MAX_PENDING) {
            callback.failed(ErrorKind.OVERLOADED);
            return;
        }
        mLastId++;
        var proposal =
                new Proposal(mLastId, mGroups.get(group), message, isRetryable, callback, nowNanos);
        mPending.put(proposal.mId, proposal);
        attempt(proposal, nowNanos, out);
    }

    private void attempt(Proposal proposal, long nowNanos, Effects out) {
        Optional<HostId> leader = proposal.mGroup.leader();
        if (leader.isEmpty()) {
            proposal.mNextAttemptNanos = nowNanos + RETRY_DELAY_NANOS;
            return;
        }
        proposal.mHasUnknownOutcome |= proposal.mIsInFlight;
        proposal.mAttemptLeader = leader.get();
        proposal.mAttempt++;
        proposal.mIsInFlight = true;
        proposal.mNextAttemptNanos = nowNanos + ATTEMPT_TIMEOUT_NANOS;
        ConfigMessage message = proposal.mMessage.apply(proposal.mId);
        if (leader.get().equals(mSelf)) {
            proposeLocally(message, new LocalCompletion(proposal, nowNanos));
        } else {
            out.send(leader.get(), message);
        }
    }

    private void proposeLocally(ConfigMessage message, Proposer.Completion done) {
        if (message instanceof ConfigMessage.Propose propose) {
            mGroups.get(propose.group()).propose(propose.command(), done);
        } else if (message instanceof ConfigMessage.ChangeMember change) {
            MemberChange memberChange =
                    change.add()
                            ? new MemberChange.Add(change.host())
                            : new MemberChange.Remove(change.host());
            mGroups.get(change.group()).propose(memberChange, done);
        }
    }

    /**
     * Handles a proposal that another control host forwarded here, or the result of one sent there.
     */
    void handle(HostId from, ConfigMessage message, long nowNanos, Effects out) {
        if (message instanceof ConfigMessage.Propose propose) {
            proposeFor(from, propose.id(), propose.group(), message, out);
        } else if (message instanceof ConfigMessage.ChangeMember change) {
            proposeFor(from, change.id(), change.group(), message, out);
        } else if (message instanceof ConfigMessage.ProposeResult result) {
            Proposal proposal = mPending.get(result.id());
            if (proposal != null
                    && (result.kind() == null || from.equals(proposal.mAttemptLeader))) {
                handleResult(proposal, result.kind(), result.result(), nowNanos);
            }
        }
    }

    private void proposeFor(HostId from, long id, int group, ConfigMessage message, Effects out) {
        if (group < 0 || group >= mGroups.size()) {
            out.send(from, new ConfigMessage.ProposeResult(id, ErrorKind.NOT_FOUND, NO_RESULT));
            return;
        }
        proposeLocally(
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

    private void handleResult(Proposal proposal, ErrorKind kind, byte[] result, long nowNanos) {
        if (kind == null) {
            mPending.remove(proposal.mId);
            proposal.mCallback.done(result);
            return;
        }
        proposal.mIsInFlight = false;
        proposal.mHasUnknownOutcome |= kind == ErrorKind.COMMIT_UNKNOWN;
        boolean canRetry =
                kind == ErrorKind.NO_LEADER
                        || proposal.mIsRetryable && kind == ErrorKind.COMMIT_UNKNOWN;
        if (canRetry && nowNanos - proposal.mDeadlineNanos < 0) {
            proposal.mNextAttemptNanos = nowNanos + RETRY_DELAY_NANOS;
        } else {
            fail(proposal, kind);
        }
    }

    /** Fails a proposal; reports an unknown outcome if any attempt may have been committed. */
    private void fail(Proposal proposal, ErrorKind kind) {
        mPending.remove(proposal.mId);
        boolean mayBeCommitted = proposal.mHasUnknownOutcome || proposal.mIsInFlight;
        proposal.mCallback.failed(mayBeCommitted ? ErrorKind.COMMIT_UNKNOWN : kind);
    }

    /** Makes the proposals due that are in flight to a host whose connection was lost. */
    void peerLost(HostId host, long nowNanos) {
        mPending.values().stream()
                .filter(proposal -> proposal.mIsInFlight && host.equals(proposal.mAttemptLeader))
                .forEach(
                        proposal ->
                                proposal.mNextAttemptNanos =
                                        Math.min(proposal.mNextAttemptNanos, nowNanos));
    }

    /** Retries or fails the proposals that are due. */
    void tick(long nowNanos, Effects out) {
        for (Proposal proposal : new ArrayList<>(mPending.values())) {
            if (nowNanos - proposal.mDeadlineNanos >= 0) {
                fail(proposal, ErrorKind.NO_LEADER);
            } else if (nowNanos - proposal.mNextAttemptNanos >= 0 || hasNewLeader(proposal)) {
                retry(proposal, nowNanos, out);
            }
        }
    }

    /** Returns whether a retryable proposal is in flight to a host that no longer leads. */
    private static boolean hasNewLeader(Proposal proposal) {
        return proposal.mIsInFlight
                && proposal.mIsRetryable
                && proposal.mGroup
                        .leader()
                        .filter(l -> !l.equals(proposal.mAttemptLeader))
                        .isPresent();
    }

    private void retry(Proposal proposal, long nowNanos, Effects out) {
        if (proposal.mIsInFlight && !proposal.mIsRetryable) {
            fail(proposal, ErrorKind.COMMIT_UNKNOWN);
        } else {
            attempt(proposal, nowNanos, out);
        }
    }

    /** Returns the time of the next due tick, or {@link Node#NEVER}. */
    long nextTickNanos() {
        return mPending.values().stream()
                .mapToLong(
                        proposal -> Math.min(proposal.mNextAttemptNanos, proposal.mDeadlineNanos))
                .min()
                .orElse(Node.NEVER);
    }

    boolean isEmpty() {
        return mPending.isEmpty();
    }

    /** Receives the outcome of a proposal that this host proposed as leader. */
    private final class LocalCompletion implements Proposer.Completion {
        private final Proposal mProposal;
        private final int mAttempt;
        private final long mNowNanos;

        LocalCompletion(Proposal proposal, long nowNanos) {
            mProposal = proposal;
            mAttempt = proposal.mAttempt;
            mNowNanos = nowNanos;
        }

        @Override
        public void committed(long index, byte[] result) {
            if (mPending.containsKey(mProposal.mId)) {
                handleResult(mProposal, null, result, mNowNanos);
            }
        }

        @Override
        public void failed(ErrorKind kind) {
            if (mPending.containsKey(mProposal.mId) && mAttempt == mProposal.mAttempt) {
                handleResult(mProposal, kind, NO_RESULT, mNowNanos);
            }
        }
    }
}
