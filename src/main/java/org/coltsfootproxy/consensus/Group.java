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
import org.coltsfootproxy.node.StoreWrite;

/** The state of one group that the parts of a member share. */
final class Group {
    private static final StateChart<MemberState, MemberEvent> CHART =
            StateChart.load("member", MemberState.class, MemberEvent.class);

    private final RaftSettings mSettings;
    private final Member mSelf;
    private final int mNumber;
    private final RandomGenerator mRandom;
    private final RaftLog mLog = new RaftLog();
    private final MemberHistory mHistory = new MemberHistory();
    private final Journal mJournal;
    private MemberState mState = CHART.initial();
    private StoreWrite.Vote mVote;
    private Optional<HostId> mLeader = Optional.empty();
    private long mCommitIndex;
    private long mAppliedIndex;
    private long mHeardNanos;

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
        mHeardNanos = nowNanos;
        recover(recovered);
        mJournal =
                new Journal(
                        number, settings.electionTimeoutNanos(), mLog.lastIndex(), mVote.term());
    }

    private void recover(RecoveredState recovered) {
        List<LogEntry> entries = recovered.entries();
        recovered.snapshot().ifPresent(this::resetTo);
        long covered = mLog.baseIndex();
        entries.stream().filter(entry -> entry.index() > covered).forEach(this::add);
    }

    /** Forgets the log and goes on after a snapshot. */
    void resetTo(StoreWrite.Snapshot snapshot) {
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

    /** Drops entries that another leader's replace. */
    void truncateFrom(long index) {
        mLog.truncateFrom(index);
        mHistory.truncateFrom(index);
        mJournal.truncateFrom(index);
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

    /** Tells whether this host has never had an entry; it may have voted. */
    boolean hasNothing() {
        return mLog.lastIndex() == 0;
    }

    /** Returns the latest members, committed or not. */
    Members members() {
        return mHistory.current();
    }

    /**
     * Tells whether this host may lead: it votes, or voted before a list that may not be committed.
     *
     * <p>Without the second, a member whose removal reached only itself would keep a later log than
     * the others, and nobody could be elected.
     */
    boolean isElectable() {
        long index = mHistory.currentIndex();
        boolean before = index > mCommitIndex && mHistory.at(index - 1).isVoter(mSelf);
        return before || members().isVoter(mSelf);
    }

    Journal journal() {
        return mJournal;
    }

    MemberState state() {
        return mState;
    }

    boolean is(MemberState state) {
        return mState == state;
    }

    /** Goes on to the state that the chart names. */
    void on(MemberEvent event) {
        mState = CHART.next(mState, event);
    }

    long term() {
        return mVote.term();
    }

    StoreWrite.Vote vote() {
        return mVote;
    }

    /** Records a vote, or a new term without one; the caller has it written to disk. */
    void setVote(long term, Optional<Member> candidate) {
        mVote = new StoreWrite.Vote(term, candidate);
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

    /** Raises the commit index; it never falls. */
    void commitTo(long index) {
        mCommitIndex = Math.max(mCommitIndex, index);
    }

    long appliedIndex() {
        return mAppliedIndex;
    }

    void setAppliedIndex(long index) {
        mAppliedIndex = index;
    }

    /** Notes a sign of life of the leader; no vote is granted for the election timeout. */
    void heardLeader(long nowNanos) {
        mHeardNanos = nowNanos;
    }

    /** Tells whether a promise to a leader, possibly of a former life, may still hold. */
    boolean isPromised(long nowNanos) {
        return silenceNanos(nowNanos) < mSettings.electionTimeoutNanos();
    }

    /** Returns how long no leader was heard, or since the start. */
    long silenceNanos(long nowNanos) {
        return nowNanos - mHeardNanos;
    }

    /** Has the term and vote written. */
    void writeVote(Step step, Journal.Action synced) {
        mJournal.write(StoreWrite.of(mVote), term(), step, synced);
    }

    /** Logs an event with the group's number. */
    void log(Step step, EventCode code, String detail) {
        step.log(code, "group " + mNumber + " term " + term() + " " + detail);
    }
}
