package org.coltsfootproxy.job;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import org.coltsfootproxy.base.ErrorKind;
import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.consensus.Proposer;

/**
 * A replicated log that commits on demand. Proposals wait, and may be lost or kept at a change of
 * leader. Each host has a ledger, which catches up when the host becomes leader.
 */
final class FakeLog {
    private final List<byte[]> mCommitted = new ArrayList<>();
    private final Deque<Proposal> mProposals = new ArrayDeque<>();
    private final List<Host> mHosts = new ArrayList<>();
    private Host mLeader;
    private ErrorKind mRefusal;
    private long mBytes;

    private record Proposal(Host host, byte[] command, Proposer.Completion done) {}

    /** A member of the group, with its ledger. */
    final class Host implements Proposer {
        private final HostId mId;
        private JobLedger mLedger = JobLedger.create();
        private int mApplied;

        private Host(HostId id) {
            mId = id;
        }

        HostId id() {
            return mId;
        }

        JobLedger ledger() {
            return mLedger;
        }

        /** Restores the ledger from its own snapshot. The service must be recreated afterwards. */
        void restartLedger() {
            JobLedger restored = JobLedger.create();
            restored.restore(mLedger.snapshot());
            mLedger = restored;
        }

        private byte[] catchUp() {
            byte[] result = {};
            while (mApplied < mCommitted.size()) {
                result = mLedger.apply(mApplied + 1, mCommitted.get(mApplied++));
            }
            return result;
        }

        @Override
        public void propose(byte[] command, Completion done) {
            if (mLeader != this || mRefusal != null) {
                done.failed(mLeader != this ? ErrorKind.NO_LEADER : mRefusal);
                return;
            }
            mProposals.add(new Proposal(this, command, done));
        }

        @Override
        public boolean isLeader(long nowNanos) {
            return mLeader == this;
        }

        @Override
        public Optional<HostId> leader() {
            return Optional.ofNullable(mLeader).map(Host::id);
        }
    }

    Host addHost(String id) {
        Host host = new Host(HostId.of(id));
        mHosts.add(host);
        return host;
    }

    Host host(int index) {
        return mHosts.get(index);
    }

    Optional<Host> leader() {
        return Optional.ofNullable(mLeader);
    }

    /** Refuses further proposals with the given error, or accepts them again if it is null. */
    void refuse(ErrorKind kind) {
        mRefusal = kind;
    }

    boolean isIdle() {
        return mProposals.isEmpty();
    }

    long bytes() {
        return mBytes;
    }

    int commands() {
        return mCommitted.size();
    }

    List<byte[]> committed() {
        return mCommitted;
    }

    /** Commits the oldest proposal and notifies its proposer. */
    void commitOne() {
        Proposal proposal = mProposals.remove();
        commit(proposal.command());
        byte[] result = proposal.host().catchUp();
        proposal.done().committed(mCommitted.size(), result);
    }

    void commitAll() {
        while (!mProposals.isEmpty()) {
            commitOne();
        }
    }

    private void commit(byte[] command) {
        mCommitted.add(command);
        mBytes += command.length;
    }

    /**
     * Changes the leader; null for none. The oldest {@code kept} proposals are committed and the
     * others lost, and all proposers get an unknown outcome.
     */
    void changeLeader(Host next, int kept) {
        List<Proposal> proposals = List.copyOf(mProposals);
        mProposals.clear();
        proposals.stream().limit(kept).forEach(proposal -> commit(proposal.command()));
        mLeader = next;
        if (next != null) {
            next.catchUp();
        }
        proposals.forEach(proposal -> proposal.done().failed(ErrorKind.COMMIT_UNKNOWN));
    }
}
