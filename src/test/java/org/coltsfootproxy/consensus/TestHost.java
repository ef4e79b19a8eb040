package org.coltsfootproxy.consensus;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Function;
import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.base.Member;
import org.coltsfootproxy.base.ProxyException;
import org.coltsfootproxy.message.RaftMessage;
import org.coltsfootproxy.node.Effect;
import org.coltsfootproxy.node.LogWrite;
import org.coltsfootproxy.storage.DataFolder;
import org.coltsfootproxy.storage.FakeDisk;
import org.coltsfootproxy.storage.LogStore;

/** A simulated host, whose disk outlives its process. */
final class TestHost {
    private final HostId mId;
    private final double mClockRate;
    private FakeDisk mDisk = new FakeDisk();
    private LogStore mStore;
    private Member mMember;
    private RaftNode mNode;
    private ChecksumStateMachine mMachine;
    private List<Effect.Persist> mWrites = new ArrayList<>();
    private boolean mUp;
    private int mCrashCount;
    private long mTickNanos = Long.MAX_VALUE;
    private LogWrite.Vote mSyncedVote = LogWrite.Vote.NONE;
    private long mSyncedIndex;

    TestHost(HostId id, double clockRate) {
        mId = id;
        mClockRate = clockRate;
    }

    HostId id() {
        return mId;
    }

    FakeDisk disk() {
        return mDisk;
    }

    RaftNode node() {
        return mNode;
    }

    Member member() {
        return mMember;
    }

    ChecksumStateMachine machine() {
        return mMachine;
    }

    boolean isUp() {
        return mUp;
    }

    /** Returns the number of crashes; events planned before a crash are ignored after it. */
    int crashCount() {
        return mCrashCount;
    }

    /** Plans a tick; returns whether it is earlier than any planned before. */
    boolean planTick(long timeNanos) {
        boolean earlier = timeNanos < mTickNanos;
        mTickNanos = Math.min(mTickNanos, timeNanos);
        return earlier;
    }

    /** Returns whether the next planned tick is at this time; if so, removes it from the plan. */
    boolean takePlannedTick(long timeNanos) {
        boolean planned = mUp && mTickNanos == timeNanos;
        mTickNanos = planned ? Long.MAX_VALUE : mTickNanos;
        return planned;
    }

    /** Returns the reading of the host's own clock at a virtual time. */
    long clock(long timeNanos) {
        return (long) (timeNanos * mClockRate);
    }

    /** Returns the virtual time in which the host's own clock advances by {@code ownNanos}. */
    long duration(long ownNanos) {
        return (long) Math.ceil(ownNanos / mClockRate);
    }

    void start(RaftSettings settings, Oracle oracle, SplittableRandom random, long timeNanos)
            throws ProxyException {
        DataFolder folder = DataFolder.open(mDisk, random);
        mStore = folder.openGroup(0);
        mMember = Member.of(mId, folder.incarnation());
        mSyncedVote = mStore.recovered().vote();
        mSyncedIndex = 0;
        mStore.recovered().snapshot().ifPresent(s -> mSyncedIndex = s.index());
        mStore.recovered().entries().forEach(entry -> mSyncedIndex = entry.index());
        mMachine = new ChecksumStateMachine(oracle);
        mNode =
                RaftNode.create(
                        settings,
                        mMember,
                        0,
                        mStore.recovered(),
                        mMachine,
                        random.split(),
                        clock(timeNanos));
        mUp = true;
    }

    void crash(SplittableRandom random) {
        mUp = false;
        mCrashCount++;
        mTickNanos = Long.MAX_VALUE;
        mWrites = new ArrayList<>();
        mDisk.crash(random);
    }

    void loseDisk() {
        mDisk = new FakeDisk();
    }

    /** Writes to the store while the process is stopped. */
    void writeWhileStopped(Function<LogStore, LogWrite> write) throws ProxyException {
        LogStore store = DataFolder.open(mDisk, new SplittableRandom(1)).openGroup(0);
        store.apply(write.apply(store));
        store.sync();
    }

    /** Queues a write; returns whether the queue was empty. */
    boolean write(Effect.Persist write) {
        mWrites.add(write);
        return mWrites.size() == 1;
    }

    /** Performs and syncs the queued writes, and reports the outcome to the node. */
    void flush(long timeNanos, org.coltsfootproxy.node.Effects out) {
        List<Effect.Persist> writes = mWrites;
        mWrites = new ArrayList<>();
        long token = 0;
        ProxyException failure = null;
        for (Effect.Persist write : writes) {
            try {
                mStore.apply(write.write());
                token = write.token();
            } catch (ProxyException e) {
                failure = e;
                break;
            }
        }
        report(writes, token, failure, timeNanos, out);
    }

    private void recordSynced(LogWrite write) {
        mSyncedVote = write.vote().orElse(mSyncedVote);
        write.snapshot().ifPresent(s -> mSyncedIndex = Math.max(mSyncedIndex, s.index()));
        write.entries().forEach(entry -> mSyncedIndex = entry.index());
    }

    /** Returns whether the vote or entries that a message acknowledges are synced. */
    boolean hasSynced(Effect.Send send) {
        if (send.message() instanceof RaftMessage.VoteAnswer answer) {
            return answer.pre()
                    || !answer.granted()
                    || mSyncedVote.term() > answer.term()
                    || mSyncedVote.candidate().filter(c -> c.host().equals(send.to())).isPresent();
        }
        return !(send.message() instanceof RaftMessage.AppendAnswer answer)
                || !answer.matched()
                || answer.index() <= mSyncedIndex;
    }

    private void report(
            List<Effect.Persist> writes,
            long token,
            ProxyException failure,
            long timeNanos,
            org.coltsfootproxy.node.Effects out) {
        long now = clock(timeNanos);
        try {
            mStore.sync();
        } catch (ProxyException e) {
            mNode.persistFailed(0, e.kind(), e.getMessage(), now, out);
            return;
        }
        writes.stream()
                .filter(write -> write.token() <= token)
                .forEach(write -> recordSynced(write.write()));
        if (token > 0) {
            mNode.persisted(token, now, out);
        }
        if (failure != null) {
            mNode.persistFailed(token + 1, failure.kind(), failure.getMessage(), now, out);
        }
    }
}
