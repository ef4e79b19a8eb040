package org.coltsfootproxy.control;

import java.util.Optional;
import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.config.QuorumRead;
import org.coltsfootproxy.consensus.Proposer;
import org.coltsfootproxy.consensus.StateMachine;

/** A group of one member that keeps nothing on disk. */
final class LocalGroup implements Proposer, QuorumRead {
    private final HostId mSelf;
    private final StateMachine mState;
    private long mIndex;

    LocalGroup(HostId self, StateMachine state) {
        mSelf = self;
        mState = state;
    }

    @Override
    public void propose(byte[] command, Completion done) {
        mIndex++;
        done.committed(mIndex, mState.apply(mIndex, command));
    }

    @Override
    public boolean isLeader(long nowNanos) {
        return true;
    }

    @Override
    public Optional<HostId> leader() {
        return Optional.of(mSelf);
    }

    @Override
    public void read(Done done) {
        done.confirmed();
    }
}
