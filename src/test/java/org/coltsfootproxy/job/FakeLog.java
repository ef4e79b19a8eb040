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
 * A replicated log that commits when told to: proposals wait, and may be lost or kept at a change
 * of leader. Each host has a ledger that is brought up to date when it becomes leader.
 */
final class FakeLog {
    private final List<byte[]> mCommitted = new ArrayList<>();
    private final Deque<Waiting> mWaiting = new ArrayDeque<>();
    private final List<Host> mHosts = new ArrayList<>();
    private Host mLeader;
    private ErrorKind mRefusal;
    private long mBytes;

    private record Waiting(Host host, byte[] command, Proposer.Completion done) {}

    /** One member: its ledger and how it proposes. */
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

        /** Restarts the ledger from a snapshot of itself; the service must be created anew. */
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
            mWaiting.add(new Waiting(this, command, done));
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

    /** Refuses proposals from now on, or takes them again. */
    void refuse(ErrorKind kind) {
        mRefusal = kind;
    }

    boolean isIdle() {
        return mWaiting.isEmpty();
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

    /** Commits the oldest proposal and tells its proposer. */
    void commitOne() {
        Waiting waiting = mWaiting.remove();
        commit(waiting.command());
        byte[] result = waiting.host().catchUp();
        waiting.done().committed(mCommitted.size(), result);
    }

    void commitAll() {
        while (!mWaiting.isEmpty()) {
            commitOne();
        }
    }

    private void commit(byte[] command) {
        mCommitted.add(command);
        mBytes += command.length;
    }

    /**
     * The leader's proposals up to {@code kept} survive, the others don't; nobody is told which.
     */
    void lead(Host next, int kept) {
        List<Waiting> open = List.copyOf(mWaiting);
        mWaiting.clear();
        open.stream().limit(kept).forEach(waiting -> commit(waiting.command()));
        mLeader = next;
        if (next != null) {
            next.catchUp();
        }
        open.forEach(waiting -> waiting.done().failed(ErrorKind.COMMIT_UNKNOWN));
    }
}
