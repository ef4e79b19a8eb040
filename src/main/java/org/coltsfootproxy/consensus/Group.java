package org.coltsfootproxy.consensus;

import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.coltsfootproxy.base.EventCode;
import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.base.Incarnation;
import org.coltsfootproxy.base.Member;
import org.coltsfootproxy.base.StateChart;
import org.coltsfootproxy.message.LogEntry;
import org.coltsfootproxy.node.LogWrite;

/** The state of one group on this host, shared by the classes that make up a {@link RaftNode}. */
final class Group {
    private static final StateChart<MemberState, MemberEvent> CHART =
            StateChart.load("member", MemberState.class, MemberEvent.class);

    private final RaftSettings mSettings;
    private final Member mSelf;
    private final int mNumber;
    private final RandomGenerator mRandom;
    private final RaftLog mLog = new RaftLog();
    private final MemberHistory mHistory = new MemberHistory();
    private final WriteTracker mWrites;
    private MemberState mState = CHART.initial();
    private LogWrite.Vote mVote;
    private Optional<HostId> mLeader = Optional.empty();
    private long mCommitIndex;
    private long mAppliedIndex;
    private long mLeaderContactNanos;

    Group(
            RaftSettings settings,
            Member self,
            int number,
            RecoveredState recovered,
            RandomGenerator random,
            long nowNanos) {
        mSettings = settings;
        mSelf = self;
        mNumber = number;
        mRandom = random;
        mVote = recovered.vote();
        mLeaderContactNanos = nowNanos;
        recover(recovered);
        mWrites =
                new WriteTracker(
                        number, settings.electionTimeoutNanos(), mLog.lastIndex(), mVote.term());
    }

    private void recover(RecoveredState recovered) {
        List<LogEntry> entries = recovered.entries();
        recovered.snapshot().ifPresent(this::resetTo);
        long snapshotIndex = mLog.baseIndex();
        entries.stream().filter(entry -> entry.index() > snapshotIndex).forEach(this::add);
    }

    /** Discards the log in memory and continues after a snapshot. */
    void resetTo(LogWrite.Snapshot snapshot) {
        mLog.reset(snapshot.index(), snapshot.term());
        mHistory.reset(snapshot.index(), Members.decode(snapshot.members()));
        mCommitIndex = Math.max(mCommitIndex, snapshot.index());
        mAppliedIndex = snapshot.index();
    }

    /** Adds an entry to the log in memory. */
    void add(LogEntry entry) {
        mLog.append(entry);
        if (entry.kind() == LogEntry.Kind.MEMBERS) {
            mHistory.set(entry.index(), Members.decode(entry.command()));
        }
    }

    /** Removes entries from {@code index} on, which conflict with those of the leader. */
    void truncateFrom(long index) {
        mLog.truncateFrom(index);
        mHistory.truncateFrom(index);
        mWrites.truncateFrom(index);
    }

    RaftSettings settings() {
        return mSettings;
    }

    Member self() {
        return mSelf;
    }

    Incarnation incarnation() {
        return mSelf.incarnation();
    }

    int number() {
        return mNumber;
    }

    RandomGenerator random() {
        return mRandom;
    }

    RaftLog log() {
        return mLog;
    }

    MemberHistory history() {
        return mHistory;
    }

    /** Returns whether this host has never held an entry; it may still have voted. */
    boolean hasNoEntries() {
        return mLog.lastIndex() == 0;
    }

    /** Returns the latest member list in the log, committed or not. */
    Members members() {
        return mHistory.current();
    }

    /**
     * Returns whether this host may become leader: it is a voter, or was one before the latest
     * member list and that list is not known to be committed.
     *
     * <p>Without the second case, a member that alone holds the entry with its own removal has a
     * more recent log than the others, and nobody could be elected.
     */
    boolean isElectable() {
        long index = mHistory.currentIndex();
        boolean wasVoter = index > mCommitIndex && mHistory.at(index - 1).isVoter(mSelf);
        return wasVoter || members().isVoter(mSelf);
    }

    WriteTracker writes() {
        return mWrites;
    }

    MemberState state() {
        return mState;
    }

    boolean is(MemberState state) {
        return mState == state;
    }

    /** Moves to the state that the {@code member} chart gives for this event. */
    void transition(MemberEvent event) {
        mState = CHART.next(mState, event);
    }

    long term() {
        return mVote.term();
    }

    LogWrite.Vote vote() {
        return mVote;
    }

    /** Sets the term and the vote in memory; the caller must have them written to disk. */
    void setVote(long term, Optional<Member> candidate) {
        mVote = new LogWrite.Vote(term, candidate);
    }

    Optional<HostId> leader() {
        return mLeader;
    }

    void setLeader(Optional<HostId> leader) {
        mLeader = leader;
    }

    long commitIndex() {
        return mCommitIndex;
    }

    /** Raises the commit index to {@code index} if it is lower; it never decreases. */
    void commitTo(long index) {
        mCommitIndex = Math.max(mCommitIndex, index);
    }

    long appliedIndex() {
        return mAppliedIndex;
    }

    void setAppliedIndex(long index) {
        mAppliedIndex = index;
    }

    /** Records a message from the leader; no vote is granted for an election timeout after it. */
    void recordLeaderContact(long nowNanos) {
        mLeaderContactNanos = nowNanos;
    }

    /**
     * Returns whether no vote may be granted yet, because a leader's lease may rely on an answer of
     * this host, possibly one sent before its last restart.
     */
    boolean isVoteWithheld(long nowNanos) {
        return leaderSilenceNanos(nowNanos) < mSettings.electionTimeoutNanos();
    }

    /**
     * Returns the time since the last message from a leader, or since the start if there was none.
     */
    long leaderSilenceNanos(long nowNanos) {
        return nowNanos - mLeaderContactNanos;
    }

    /** Issues a write of the term and vote; {@code synced} runs once it is synced. */
    void writeVote(Step step, WriteTracker.Action synced) {
        mWrites.write(LogWrite.of(mVote), term(), step, synced);
    }

    /** Logs an event with the group's number and the current term. */
    void log(Step step, EventCode code, String detail) {
        step.log(code, "group " + mNumber + " term " + term() + " " + detail);
    }
}
