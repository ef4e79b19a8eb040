package org.coltsfootproxy.consensus;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.coltsfootproxy.base.ErrorKind;
import org.coltsfootproxy.base.EventCode;
import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.base.Member;
import org.coltsfootproxy.message.LogEntry;
import org.coltsfootproxy.message.RaftMessage;
import org.coltsfootproxy.node.Effects;
import org.coltsfootproxy.node.Node;

/**
 * One member of one group of a replicated log.
 *
 * <p>Single-threaded and deterministic: it is driven by messages, by reports of its disk writes and
 * by the time, and answers with effects. Nothing is acknowledged or voted for before it is synced,
 * and nothing is applied before it is committed and synced here.
 *
 * <p>Proposals and reads are taken up by the next call that has effects; {@link #nextTickNanos} is
 * due at once while any wait. Completions are called from within such a call and may propose again.
 */
public final class RaftNode implements Proposer {
    /** Election timeouts without a leader after which a voter asks whether it still is one. */
    private static final int LONG_SILENCE_TIMEOUTS = 4;

    private final Group mGroup;
    private final Election mElection;
    private final Founding mFounding;
    private final Applier mApplier;
    private final LogReceiver mReceiver;
    private final Proposals mProposals;
    private final ReadBarriers mBarriers;
    private final MemberChanges mChanges;
    private Optional<Leadership> mLeadership = Optional.empty();
    private long mNowNanos;

    private RaftNode(Group group, StateMachine machine, long nowNanos) {
        mGroup = group;
        mProposals = new Proposals(group.settings().maxQueuedBytes());
        mApplier = new Applier(group, machine, mProposals);
        mReceiver = new LogReceiver(group, mApplier);
        mElection = new Election(group, nowNanos);
        mFounding = new Founding(group, nowNanos);
        mBarriers = new ReadBarriers(group);
        mChanges = new MemberChanges(group);
        mNowNanos = nowNanos;
    }

    /**
     * Returns the member in the state that its store holds.
     *
     * @param self this host, in the life that its data folder names
     * @param group number of the log
     * @param machine the state, empty; a recovered snapshot is restored into it
     * @param random seeded source of election timeouts
     */
    public static RaftNode create(
            RaftSettings settings,
            Member self,
            int group,
            RecoveredState recovered,
            StateMachine machine,
            RandomGenerator random,
            long nowNanos) {
        checkNotNull(machine, "state machine is missing");
        checkArgument(group >= 0, "group %s is negative", group);
        Group state = new Group(settings, self, group, recovered, random, nowNanos);
        if (!recovered.isBlank()) {
            state.on(MemberEvent.RECOVER);
        }
        RaftNode node = new RaftNode(state, machine, nowNanos);
        recovered.snapshot().ifPresent(node.mApplier::restore);
        return node;
    }

    /** Takes a message from a proven peer; one of another group or life is ignored. */
    public void receive(HostId from, RaftMessage message, long nowNanos, Effects out) {
        Step step = begin(nowNanos, out);
        if (mGroup.is(MemberState.HALTED) || message.group() != mGroup.number()) {
            return;
        }
        dispatch(from, message, step);
        settle(step);
    }

    /** Notes that the write with this token and all before it are synced. */
    public void persisted(long token, long nowNanos, Effects out) {
        Step step = begin(nowNanos, out);
        if (mGroup.is(MemberState.HALTED)) {
            return;
        }
        List<Journal.Action> actions = mGroup.journal().synced(token);
        actions.forEach(action -> action.run(step));
        if (!actions.isEmpty() && mGroup.is(MemberState.FOLLOWER)) {
            mReceiver.answer(step);
        }
        settle(step);
    }

    /**
     * Notes that the write with this token and all after it were not kept.
     *
     * <p>If the disk is full, the member leads and votes no more until a later try succeeds; after
     * any other failure it takes no part at all.
     */
    public void persistFailed(
            long token, ErrorKind kind, String detail, long nowNanos, Effects out) {
        Step step = begin(nowNanos, out);
        if (mGroup.is(MemberState.HALTED)) {
            return;
        }
        boolean full = kind == ErrorKind.STORAGE_FULL;
        if (full) {
            mGroup.journal().full(token, step);
            mReceiver.abort();
            mApplier.abort();
        }
        boolean candidate = mGroup.is(MemberState.PRE_CANDIDATE) || isCandidate();
        if (isLeading() || candidate) {
            follow(mGroup.term(), Optional.empty(), step);
        }
        if (!full) {
            mGroup.on(MemberEvent.DISK_FAILED);
        }
        EventCode event = full ? EventCode.STORAGE_WRITE_REFUSED : EventCode.STORAGE_FAILED;
        mGroup.log(step, event, detail);
    }

    /** Does what is due. */
    public void tick(long nowNanos, Effects out) {
        Step step = begin(nowNanos, out);
        if (mGroup.is(MemberState.HALTED)) {
            return;
        }
        mGroup.journal().retry(mGroup.vote(), mGroup.log(), step);
        if (isLeading()) {
            tickLeader(step);
        } else {
            tickOther(step);
        }
        mBarriers.tick(step);
        settle(step);
    }

    private void tickLeader(Step step) {
        if (mLeadership.orElseThrow().isCutOff(step.nowNanos())) {
            follow(mGroup.term(), Optional.empty(), step);
        } else {
            mLeadership.orElseThrow().replication().tick(step);
        }
    }

    private void tickOther(Step step) {
        if (mGroup.is(MemberState.BLANK) || isOutside(step.nowNanos())) {
            mFounding.tick(step);
        }
        mElection.tick(step);
    }

    /**
     * Tells whether this host may be outside the group: no leader feeds it, and it is no voter or
     * has missed its own removal.
     */
    private boolean isOutside(long nowNanos) {
        boolean voter = mGroup.members().isVoter(mGroup.self());
        int timeouts = voter ? LONG_SILENCE_TIMEOUTS : 1;
        return mGroup.silenceNanos(nowNanos) >= timeouts * mGroup.settings().electionTimeoutNanos();
    }

    /** Returns the time of the next due {@link #tick}, or {@link Node#NEVER}. */
    public long nextTickNanos() {
        if (mGroup.is(MemberState.HALTED)) {
            return Node.NEVER;
        }
        long next = Math.min(mGroup.journal().retryAtNanos(), mBarriers.deadlineNanos());
        return Math.min(next, nextOwnNanos());
    }

    private long nextOwnNanos() {
        if (isLeading()) {
            return mLeadership.orElseThrow().nextTickNanos(mNowNanos);
        }
        if (mBarriers.hasNew()) {
            return mNowNanos;
        }
        boolean probes = mGroup.is(MemberState.BLANK) || isOutside(mNowNanos);
        long probe = probes ? mFounding.probeNanos() : Node.NEVER;
        return Math.min(probe, mElection.deadlineNanos());
    }

    /**
     * Proposes a command; never blocks.
     *
     * <p>Refusals are told at once: {@link ErrorKind#NO_LEADER}, {@link ErrorKind#STORAGE_FULL},
     * {@link ErrorKind#OVERLOADED} if too much waits, or {@link ErrorKind#BODY_TOO_LARGE}; then the
     * command is certainly not taken.
     */
    @Override
    public void propose(byte[] command, Completion done) {
        checkNotNull(command, "command is missing");
        Optional<ErrorKind> refusal = refusal(command.length);
        Proposals.Proposal proposal =
                new Proposals.Proposal(LogEntry.Kind.COMMAND, command, checkNotNull(done, "done"));
        if (refusal.isPresent()) {
            done.failed(refusal.get());
        } else if (!mProposals.offer(proposal)) {
            done.failed(ErrorKind.OVERLOADED);
        }
    }

    private Optional<ErrorKind> refusal(int bytes) {
        if (mGroup.journal().isFull()) {
            return Optional.of(ErrorKind.STORAGE_FULL);
        }
        if (!isLeading() || mLeadership.orElseThrow().isHandingOver()) {
            return Optional.of(ErrorKind.NO_LEADER);
        }
        boolean tooLarge = bytes > mGroup.settings().maxCommandBytes();
        return tooLarge ? Optional.of(ErrorKind.BODY_TOO_LARGE) : Optional.empty();
    }

    /**
     * Confirms with a quorum, on the leader or a replica, that the state machine here is current.
     *
     * @param done told once: committed, with the index applied here and an empty result, when
     *     everything acknowledged before this call is applied here; failed with {@link
     *     ErrorKind#NO_LEADER} if that could not be confirmed
     */
    public void confirmLeadership(Completion done) {
        if (mGroup.is(MemberState.HALTED)) {
            done.failed(ErrorKind.NO_LEADER);
        } else {
            mBarriers.add(checkNotNull(done, "done"));
        }
    }

    /**
     * Adds or removes a member; only on the leader.
     *
     * @param done told once: committed when the change is in the log for good (a host that joins
     *     votes later, once it has caught up); failed with {@link ErrorKind#NOT_FOUND} if the host
     *     has not asked to join or is no member, {@link ErrorKind#CONFLICT} if it is a member
     *     already or the voters that would be left have no quorum that answers, {@link
     *     ErrorKind#OVERLOADED} if another change waits, {@link ErrorKind#NO_LEADER} or {@link
     *     ErrorKind#COMMIT_UNKNOWN}
     */
    public void proposeMembers(MemberChange change, Completion done) {
        checkNotNull(change, "change is missing");
        if (isLeading()) {
            mChanges.ask(change, done);
        } else {
            done.failed(ErrorKind.NO_LEADER);
        }
    }

    /**
     * Begins to hand leadership over, for a planned stop.
     *
     * <p>From now on proposals are refused; once all earlier ones are committed and the most
     * advanced voter has them, it takes over. If that takes longer than an election timeout, this
     * host goes on leading.
     *
     * @return whether this host leads and another voter exists
     */
    public boolean transferLeadership(long nowNanos, Effects out) {
        Step step = begin(nowNanos, out);
        boolean begun = isLeading() && mLeadership.orElseThrow().handOver(step);
        settle(step);
        return begun;
    }

    /** Replaces the hosts that a member without state asks to let it in. */
    public void askToJoin(List<HostId> hosts) {
        mFounding.ask(hosts);
    }

    /**
     * Begins the log with the given members, unless this member has state or is none of them.
     *
     * <p>All of them must be given the same list, once for the life of the group: whoever gives it
     * has agreed on it.
     *
     * @return whether the log was begun
     */
    public boolean found(Collection<Member> voters, long nowNanos, Effects out) {
        boolean mayBegin = mGroup.is(MemberState.BLANK) && voters.contains(mGroup.self());
        if (mayBegin && mGroup.hasNothing()) {
            Step step = begin(nowNanos, out);
            mFounding.found(Members.ofVoters(voters), step);
            settle(step);
            return true;
        }
        return false;
    }

    /** Names the hosts that are to leave: others take their places as soon as they can. */
    public void retire(Set<HostId> hosts) {
        mChanges.retire(hosts);
    }

    /** Tells whether this member holds nothing. */
    public boolean isBlank() {
        return mGroup.hasNothing();
    }

    /** The host may have stood still unnoticed: its lease counts only once it is renewed. */
    public void distrustClock(long nowNanos) {
        mLeadership.ifPresent(leading -> leading.replication().distrust(nowNanos));
    }

    @Override
    public boolean isLeader(long nowNanos) {
        return isLeading() && mLeadership.orElseThrow().isLeaseValid(nowNanos);
    }

    @Override
    public Optional<HostId> leader() {
        return mGroup.leader();
    }

    /** Returns the last index that the state machine has applied. */
    public long appliedIndex() {
        return mGroup.appliedIndex();
    }

    /** Returns what operators are shown. */
    public RaftStatus status(long nowNanos) {
        return new RaftStatus(
                mGroup.number(),
                mGroup.self(),
                mGroup.state(),
                mGroup.term(),
                mGroup.leader(),
                isLeader(nowNanos),
                mGroup.commitIndex(),
                mGroup.appliedIndex(),
                mGroup.log().lastIndex(),
                mGroup.journal().syncedIndex(),
                mGroup.journal().isFull(),
                mGroup.members(),
                mLeadership.map(leading -> leading.lags(nowNanos)).orElse(List.of()));
    }

    private Step begin(long nowNanos, Effects out) {
        mNowNanos = nowNanos;
        return new Step(nowNanos, out);
    }

    private boolean isLeading() {
        return mLeadership.isPresent();
    }

    private boolean isCandidate() {
        return mGroup.is(MemberState.CANDIDATE);
    }

    private void dispatch(HostId from, RaftMessage message, Step step) {
        if (message instanceof RaftMessage.Append append) {
            receive(from, append, step);
        } else if (message instanceof RaftMessage.AppendAnswer answer) {
            receive(from, answer, step);
        } else if (message instanceof RaftMessage.SnapshotPiece piece) {
            receive(from, piece, step);
        } else if (message instanceof RaftMessage.SnapshotAnswer answer) {
            receive(from, answer, step);
        } else if (message instanceof RaftMessage.VoteRequest request) {
            receive(from, request, step);
        } else if (message instanceof RaftMessage.VoteAnswer answer) {
            receive(from, answer, step);
        } else {
            dispatchOther(from, message, step);
        }
    }

    private void dispatchOther(HostId from, RaftMessage message, Step step) {
        if (message instanceof RaftMessage.TakeOver order) {
            receive(order, step);
        } else if (message instanceof RaftMessage.ReadRequest request) {
            receive(from, request, step);
        } else if (message instanceof RaftMessage.ReadAnswer answer) {
            mBarriers.receive(answer);
        } else if (message instanceof RaftMessage.Probe probe) {
            receive(from, probe, step);
        } else if (message instanceof RaftMessage.ProbeAnswer answer) {
            mFounding.receive(from, answer, step);
        }
    }

    private void receive(HostId from, RaftMessage.Append append, Step step) {
        if (isFromLeader(from, append, append.to().equals(mGroup.incarnation()), step)) {
            mReceiver.receive(append, step);
        }
    }

    private void receive(HostId from, RaftMessage.SnapshotPiece piece, Step step) {
        if (isFromLeader(from, piece, piece.to().equals(mGroup.incarnation()), step)) {
            mReceiver.receive(piece, step);
        }
    }

    private boolean isFromLeader(HostId from, RaftMessage message, boolean toSelf, Step step) {
        if (!toSelf) {
            return false;
        }
        if (message.term() < mGroup.term()) {
            step.send(
                    from,
                    new RaftMessage.AppendAnswer(
                            mGroup.number(), mGroup.incarnation(), mGroup.term(), false, 0, 0));
            return false;
        }
        follow(message.term(), Optional.of(from), step);
        return true;
    }

    private void receive(HostId from, RaftMessage.AppendAnswer answer, Step step) {
        if (isOfOwnTerm(answer, step)) {
            Member member = Member.of(from, answer.from());
            mLeadership.ifPresent(leading -> leading.replication().receive(member, answer, step));
        }
    }

    private void receive(HostId from, RaftMessage.SnapshotAnswer answer, Step step) {
        if (isOfOwnTerm(answer, step)) {
            Member member = Member.of(from, answer.from());
            mLeadership.ifPresent(leading -> leading.replication().receive(member, answer, step));
        }
    }

    private boolean isOfOwnTerm(RaftMessage message, Step step) {
        if (message.term() > mGroup.term()) {
            follow(message.term(), Optional.empty(), step);
        }
        return message.term() == mGroup.term();
    }

    private void receive(HostId from, RaftMessage.VoteRequest request, Step step) {
        boolean meant = request.to().equals(mGroup.incarnation());
        if (!meant || mElection.isIgnored(request, step)) {
            return;
        }
        if (request.pre()) {
            mElection.answerPre(from, request, step);
            return;
        }
        if (request.term() > mGroup.term()) {
            follow(request.term(), Optional.empty(), step);
        }
        mElection.answer(Member.of(from, request.from()), request, step);
    }

    private void receive(HostId from, RaftMessage.VoteAnswer answer, Step step) {
        if (!answer.granted() && answer.term() > mGroup.term()) {
            follow(answer.term(), Optional.empty(), step);
        } else {
            mElection.receive(Member.of(from, answer.from()), answer, step);
        }
    }

    private void receive(RaftMessage.TakeOver order, Step step) {
        boolean meant = order.to().equals(mGroup.incarnation()) && order.term() == mGroup.term();
        boolean able =
                mGroup.is(MemberState.FOLLOWER)
                        && mGroup.isElectable()
                        && !mGroup.journal().isFull();
        if (meant && able) {
            mElection.campaign(true, step);
        }
    }

    private void receive(HostId from, RaftMessage.ReadRequest request, Step step) {
        if (isLeading()) {
            mLeadership.orElseThrow().receive(request, from, step);
        } else {
            mBarriers.answer(from, request.number(), false, 0, step);
        }
    }

    private void receive(HostId from, RaftMessage.Probe probe, Step step) {
        Member member = Member.of(from, probe.from());
        if (mChanges.joining(member, step.nowNanos()) && !mGroup.members().contains(member)) {
            mGroup.log(step, EventCode.HOST_ASKS_TO_JOIN, member.toString());
        }
        mFounding.answer(from, probe, step);
    }

    /** Enters a term, or stays in it, as a follower. */
    private void follow(long term, Optional<HostId> leader, Step step) {
        Optional<Leadership> ended = mLeadership;
        mLeadership = Optional.empty();
        mGroup.on(MemberEvent.FOLLOW);
        if (term > mGroup.term()) {
            mGroup.setVote(term, Optional.empty());
            mGroup.writeVote(step, later -> {});
        }
        mGroup.setLeader(leader);
        if (leader.isPresent()) {
            mGroup.heardLeader(step.nowNanos());
            mElection.resetDeadline(step.nowNanos());
        }
        ended.ifPresent(leading -> stepDown(leading, step));
    }

    private void stepDown(Leadership leading, Step step) {
        mElection.resetDeadline(step.nowNanos());
        mGroup.log(step, EventCode.LEADER_STEPPED_DOWN, "");
        leading.end(step);
    }

    private void lead(Step step) {
        mGroup.on(MemberEvent.WIN);
        mGroup.setLeader(Optional.of(mGroup.self().host()));
        mGroup.log(step, EventCode.LEADER_ELECTED, "");
        Replication replication = new Replication(mGroup, mApplier::snapshot, step);
        mLeadership =
                Optional.of(new Leadership(mGroup, replication, mProposals, mBarriers, mChanges));
        replication.heartbeat(step);
    }

    /** Does everything that the step has made possible. */
    private void settle(Step step) {
        if (mElection.isWon()) {
            lead(step);
        }
        if (isLeading() && mLeadership.orElseThrow().advance(step)) {
            follow(mGroup.term(), Optional.empty(), step);
        }
        if (!isLeading() && mBarriers.hasNew()) {
            mBarriers.ask(step);
        }
        mApplier.apply(step);
        mApplier.compact(step);
        mBarriers.applied(mGroup.appliedIndex());
    }
}
