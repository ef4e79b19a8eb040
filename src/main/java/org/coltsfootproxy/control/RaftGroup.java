package org.coltsfootproxy.control;

import java.util.Optional;
import java.util.Random;
import org.coltsfootproxy.base.ErrorKind;
import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.base.Member;
import org.coltsfootproxy.config.QuorumRead;
import org.coltsfootproxy.consensus.MemberChange;
import org.coltsfootproxy.consensus.Members;
import org.coltsfootproxy.consensus.Proposer;
import org.coltsfootproxy.consensus.RaftNode;
import org.coltsfootproxy.consensus.RaftSettings;
import org.coltsfootproxy.consensus.RaftStatus;
import org.coltsfootproxy.consensus.RecoveredState;
import org.coltsfootproxy.consensus.StateMachine;
import org.coltsfootproxy.membership.Leadership;
import org.coltsfootproxy.node.Effects;
import org.coltsfootproxy.node.Input;

/** This host's replica of one Raft group. Groups are numbered; group 0 is the configuration. */
final class RaftGroup implements Proposer, QuorumRead, Leadership {
    private final int mNumber;
    private final StateMachine mStateMachine;
    private final RecoveredState mRecovered;
    private RaftNode mNode;
    private long mNowNanos;

    RaftGroup(int number, StateMachine stateMachine, RecoveredState recovered) {
        mNumber = number;
        mStateMachine = stateMachine;
        mRecovered = recovered;
    }

    int number() {
        return mNumber;
    }

    /** Starts the replica. Must be called once, before any other method except {@link #number}. */
    void start(RaftSettings settings, Member self, Random random, long nowNanos) {
        mNowNanos = nowNanos;
        mNode =
                RaftNode.create(
                        settings, self, mNumber, mRecovered, mStateMachine, random, nowNanos);
    }

    /** Returns the underlying Raft node. */
    RaftNode node() {
        return mNode;
    }

    void handle(Input.Persisted persisted, long nowNanos, Effects out) {
        mNowNanos = nowNanos;
        mNode.persisted(persisted.token(), nowNanos, out);
    }

    void handle(Input.PersistFailed failed, long nowNanos, Effects out) {
        mNowNanos = nowNanos;
        mNode.persistFailed(failed.token(), failed.kind(), failed.detail(), nowNanos, out);
    }

    /** Returns whether a tick is due. */
    boolean isDue(long nowNanos) {
        return mNode.nextTickNanos() <= nowNanos;
    }

    /** Ticks the Raft node if a tick is due. */
    void tick(long nowNanos, Effects out) {
        mNowNanos = nowNanos;
        if (isDue(nowNanos)) {
            mNode.tick(nowNanos, out);
        }
    }

    /** Returns whether a host is a member of the group. */
    boolean isMember(HostId host) {
        return members().all().anyMatch(m -> m.host().equals(host));
    }

    @Override
    public void propose(byte[] command, Completion done) {
        mNode.propose(command, done);
    }

    /** Proposes a membership change. */
    void propose(MemberChange change, Completion done) {
        mNode.proposeMembers(change, done);
    }

    @Override
    public boolean isLeader(long nowNanos) {
        return mNode.isLeader(nowNanos);
    }

    @Override
    public Optional<HostId> leader() {
        return mNode.leader();
    }

    @Override
    public long term() {
        return mNode.term();
    }

    /** Returns the members; the same instance until they change. */
    Members members() {
        return mNode.members();
    }

    RaftStatus status(long nowNanos) {
        return mNode.status(nowNanos);
    }

    @Override
    public void read(Callback callback) {
        mNode.confirmRead(
                new Completion() {
                    @Override
                    public void committed(long index, byte[] result) {
                        callback.confirmed();
                    }

                    @Override
                    public void failed(ErrorKind kind) {
                        callback.failed();
                    }
                });
    }
}
