package org.coltsfootproxy.control;

import java.util.Optional;
import java.util.Random;
import org.coltsfootproxy.base.ErrorKind;
import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.base.Member;
import org.coltsfootproxy.config.QuorumRead;
import org.coltsfootproxy.consensus.MemberChange;
import org.coltsfootproxy.consensus.Proposer;
import org.coltsfootproxy.consensus.RaftNode;
import org.coltsfootproxy.consensus.RaftSettings;
import org.coltsfootproxy.consensus.RaftStatus;
import org.coltsfootproxy.consensus.RecoveredState;
import org.coltsfootproxy.consensus.StateMachine;
import org.coltsfootproxy.membership.Leadership;
import org.coltsfootproxy.node.Effects;
import org.coltsfootproxy.node.Input;

/** One replicated log on this host, as the policies see it. */
final class RaftGroup implements Proposer, QuorumRead, Leadership {
    private final int mNumber;
    private final StateMachine mMachine;
    private final RecoveredState mRecovered;
    private RaftNode mNode;
    private long mNowNanos;

    RaftGroup(int number, StateMachine machine, RecoveredState recovered) {
        mNumber = number;
        mMachine = machine;
        mRecovered = recovered;
    }

    int number() {
        return mNumber;
    }

    /** Begins work; called once, before any other method but {@link #number}. */
    void start(RaftSettings settings, Member self, Random random, long nowNanos) {
        mNowNanos = nowNanos;
        mNode = RaftNode.create(settings, self, mNumber, mRecovered, mMachine, random, nowNanos);
    }

    /** Returns the log's member itself. */
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

    /** Tells whether a tick is due. */
    boolean isDue(long nowNanos) {
        return mNode.nextTickNanos() <= nowNanos;
    }

    /** Does what is due. */
    void tick(long nowNanos, Effects out) {
        mNowNanos = nowNanos;
        if (isDue(nowNanos)) {
            mNode.tick(nowNanos, out);
        }
    }

    /** Tells whether a host is a member of the log. */
    boolean isMember(HostId host) {
        return status(mNowNanos).members().all().anyMatch(m -> m.host().equals(host));
    }

    @Override
    public void propose(byte[] command, Completion done) {
        mNode.propose(command, done);
    }

    /** Proposes a change of the members. */
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
        return mNode.status(mNowNanos).term();
    }

    RaftStatus status(long nowNanos) {
        return mNode.status(nowNanos);
    }

    @Override
    public void read(Done done) {
        mNode.confirmLeadership(
                new Completion() {
                    @Override
                    public void committed(long index, byte[] result) {
                        done.confirmed();
                    }

                    @Override
                    public void failed(ErrorKind kind) {
                        done.failed();
                    }
                });
    }
}
