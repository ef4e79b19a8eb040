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
 * One member of one Raft group, which replicates a log of commands.
 *
 * <p>Single-threaded and deterministic. The inputs are messages, reports of completed disk writes
 * and the time; the outputs are effects (messages to send, writes to persist, events to log). An
 * append is acknowledged and a vote is granted only once it is synced to the local disk, and an
 * entry is applied only once it is committed and synced locally.
 *
 * <p>Proposals and reads are queued and handled by a later call that takes an {@link Effects};
 * {@link #nextTickNanos} is due immediately once any can be handled. Completions run within such a
 * call and may propose again.
 */
public final class RaftNode implements Proposer {
    /**
     * Number of election timeouts without a leader after which a voter probes the other hosts, in
     * case it has missed its own removal.
     */
    private static final int VOTER_PROBE_TIMEOUTS = 4;

    private final Group mGroup;
    private final Election mElection;
    private final GroupBootstrap mBootstrap;
    private final Applier mApplier;
    private final LogReceiver mLogReceiver;
    private final Proposals mProposals;
    private final ReadBarriers mReadBarriers;
    private final MemberChanges mMemberChanges;
    private Optional<Leadership> mLeadership = Optional.empty();
    private long mNowNanos;

    private RaftNode(Group group, StateMachine machine, long nowNanos) {
        mGroup = group;
        mProposals = new Proposals(group.settings().maxQueuedBytes());
        mApplier = new Applier(group, machine, mProposals);
        mLogReceiver = new LogReceiver(group, mApplier);
        mElection = new Election(group, nowNanos);
        mBootstrap = new GroupBootstrap(group, nowNanos);
        mReadBarriers = new ReadBarriers(group);
        mMemberChanges = new MemberChanges(group);
        mNowNanos = nowNanos;
    }

    /**
     * Creates the member from the state recovered from its store.
     *
     * @param self this host, with the incarnation stored in its data folder
     * @param group number of the group
     * @param machine an empty state machine; a recovered snapshot is restored into it
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
            state.transition(MemberEvent.RECOVER);
        }
        RaftNode node = new RaftNode(state, machine, nowNanos);
        recovered.snapshot().ifPresent(node.mApplier::restore);
        return node;
    }

    /**
     * Handles a message from an authenticated peer. Messages for another group, or for another
     * incarnation of this host, are ignored.
     */
    public void receive(HostId from, RaftMessage message, long nowNanos, Effects out) {
        Step step = beginStep(nowNanos, out);
        if (mGroup.is(MemberState.HALTED) || message.group() != mGroup.number()) {
            return;
        }
        dispatch(from, message, step);
        completeStep(step);
    }

    /** Handles the report that the write with this token and all earlier ones are synced. */
    public void persisted(long token, long nowNanos, Effects out) {
        Step step = beginStep(nowNanos, out);
        if (mGroup.is(MemberState.HALTED)) {
            return;
        }
        List<WriteTracker.Action> actions = mGroup.writes().synced(token);
        actions.forEach(action -> action.run(step));
        if (!actions.isEmpty() && mGroup.is(MemberState.FOLLOWER)) {
            mLogReceiver.answer(step);
        }
        completeStep(step);
    }

    /**
     * Handles the report that the write with this token and all later ones failed.
     *
     * <p>If the disk is full, the member neither leads nor votes until a retry succeeds. After any
     * other failure it halts and ignores all further input.
     */
    public void persistFailed(
            long token, ErrorKind kind, String detail, long nowNanos, Effects out) {
        Step step = beginStep(nowNanos, out);
        if (mGroup.is(MemberState.HALTED)) {
            return;
        }
        boolean diskFull = kind == ErrorKind.STORAGE_FULL;
        if (diskFull) {
            mGroup.writes().onDiskFull(token, step);
            mLogReceiver.abandonSnapshot();
            mApplier.abandonSnapshot();
        }
        boolean candidate = mGroup.is(MemberState.PRE_CANDIDATE) || isCandidate();
        if (isLeading() || candidate) {
            follow(mGroup.term(), Optional.empty(), step);
        }
        if (!diskFull) {
            mGroup.transition(MemberEvent.DISK_FAILED);
        }
        EventCode event = diskFull ? EventCode.STORAGE_WRITE_REFUSED : EventCode.STORAGE_FAILED;
        mGroup.log(step, event, detail);
    }

    /** Performs whatever is due: write retries, heartbeats, elections, probes and timeouts. */
    public void tick(long nowNanos, Effects out) {
        Step step = beginStep(nowNanos, out);
        if (mGroup.is(MemberState.HALTED)) {
            return;
        }
        mGroup.writes().retry(mGroup.vote(), mGroup.log(), step);
        if (isLeading()) {
            tickLeader(step);
        } else {
            tickNonLeader(step);
        }
        mReadBarriers.tick(step);
        completeStep(step);
    }

    private void tickLeader(Step step) {
        if (mLeadership.orElseThrow().hasLostQuorum(step.nowNanos())) {
            follow(mGroup.term(), Optional.empty(), step);
        } else {
            mLeadership.orElseThrow().replication().tick(step);
        }
    }

    private void tickNonLeader(Step step) {
        if (mGroup.is(MemberState.BLANK) || mayBeOutsideGroup(step.nowNanos())) {
            mBootstrap.tick(step);
        }
        mElection.tick(step);
    }

    /**
     * Returns whether this host may no longer belong to the group: it has not heard from a leader
     * for an election timeout or, as a voter that may have missed its own removal, for {@value
     * #VOTER_PROBE_TIMEOUTS} of them.
     */
    private boolean mayBeOutsideGroup(long nowNanos) {
        boolean voter = mGroup.members().isVoter(mGroup.self());
        int timeouts = voter ? VOTER_PROBE_TIMEOUTS : 1;
        return mGroup.leaderSilenceNanos(nowNanos)
                >= timeouts * mGroup.settings().electionTimeoutNanos();
    }

    /** Returns the time of the next due {@link #tick}, or {@link Node#NEVER}. */
    public long nextTickNanos() {
        if (mGroup.is(MemberState.HALTED)) {
            return Node.NEVER;
        }
        long next = Math.min(mGroup.writes().retryAtNanos(), mReadBarriers.deadlineNanos());
        return Math.min(next, nextRoleTickNanos());
    }

    private long nextRoleTickNanos() {
        if (isLeading()) {
            return mLeadership.orElseThrow().nextTickNanos(mNowNanos);
        }
        if (mReadBarriers.hasNewReads()) {
            return mNowNanos;
        }
        boolean mayProbe = mGroup.is(MemberState.BLANK) || mayBeOutsideGroup(mNowNanos);
        long probe = mayProbe ? mBootstrap.nextProbeNanos() : Node.NEVER;
        return Math.min(probe, mElection.deadlineNanos());
    }

    /**
     * Proposes a command; never blocks.
     *
     * <p>A refusal is reported before this method returns: {@link ErrorKind#NO_LEADER}, {@link
     * ErrorKind#STORAGE_FULL}, {@link ErrorKind#OVERLOADED} if the queue is full, or {@link
     * ErrorKind#BODY_TOO_LARGE}. A refused command is never applied.
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
        if (mGroup.writes().isDiskFull()) {
            return Optional.of(ErrorKind.STORAGE_FULL);
        }
        if (!isLeading() || mLeadership.orElseThrow().isHandingOver()) {
            return Optional.of(ErrorKind.NO_LEADER);
        }
        boolean tooLarge = bytes > mGroup.settings().maxCommandBytes();
        return tooLarge ? Optional.of(ErrorKind.BODY_TOO_LARGE) : Optional.empty();
    }

    /**
     * Confirms with a quorum that the local state machine is current, for a linearizable read on
     * the leader or on a replica.
     *
     * @param done called once: {@code committed}, with the locally applied index and an empty
     *     result, when everything acknowledged before this call is applied locally; {@code failed}
     *     with {@link ErrorKind#NO_LEADER} if that could not be confirmed
     */
    public void confirmRead(Completion done) {
        if (mGroup.is(MemberState.HALTED)) {
            done.failed(ErrorKind.NO_LEADER);
        } else {
            mReadBarriers.add(checkNotNull(done, "done"));
        }
    }

    /**
     * Adds or removes a member; works only on the leader.
     *
     * @param done called once: {@code committed} when the change is committed (a host that joins
     *     becomes a voter later, once it has caught up); {@code failed} with {@link
     *     ErrorKind#NOT_FOUND} if the host has not asked to join or is not a member, {@link
     *     ErrorKind#CONFLICT} if it is already a member or the remaining voters have no quorum that
     *     answers, {@link ErrorKind#OVERLOADED} if another change is queued, {@link
     *     ErrorKind#NO_LEADER} or {@link ErrorKind#COMMIT_UNKNOWN}
     */
    public void proposeMembers(MemberChange change, Completion done) {
        checkNotNull(change, "change is missing");
        if (isLeading()) {
            mMemberChanges.submit(change, done);
        } else {
            done.failed(ErrorKind.NO_LEADER);
        }
    }

    /**
     * Begins to transfer leadership, for a planned stop.
     *
     * <p>Proposals are refused from now on. Once all earlier ones are committed and replicated to
     * the most advanced voter, that voter is asked to take over. If this takes longer than an
     * election timeout, the transfer is abandoned and this host remains leader.
     *
     * @param avoided hosts to which leadership is not transferred
     * @return whether this host leads and another voter exists
     */
    public boolean transferLeadership(Set<HostId> avoided, long nowNanos, Effects out) {
        Step step = beginStep(nowNanos, out);
        boolean started = isLeading() && mLeadership.orElseThrow().startHandover(avoided, step);
        completeStep(step);
        return started;
    }

    /** Replaces the hosts that this member probes while it has no state or may be removed. */
    public void setProbeHosts(List<HostId> hosts) {
        mBootstrap.probeHosts(hosts);
    }

    /**
     * Bootstraps the group with the given voters, unless this member has state or is not one of
     * them.
     *
     * <p>Every voter must be given the same list, and only once in the lifetime of the group; the
     * caller is responsible for agreement on the list.
     *
     * @return whether the group was bootstrapped
     */
    public boolean bootstrap(Collection<Member> voters, long nowNanos, Effects out) {
        boolean mayBootstrap = mGroup.is(MemberState.BLANK) && voters.contains(mGroup.self());
        if (mayBootstrap && mGroup.hasNoEntries()) {
            Step step = beginStep(nowNanos, out);
            mBootstrap.bootstrap(Members.ofVoters(voters), step);
            completeStep(step);
            return true;
        }
        return false;
    }

    /** Replaces the set of hosts to remove; each is replaced as soon as another host can join. */
    public void setRetiringHosts(Set<HostId> hosts) {
        mMemberChanges.setRetiringHosts(hosts);
    }

    /** Returns whether this member has no log entries and no snapshot. */
    public boolean isBlank() {
        return mGroup.hasNoEntries();
    }

    /**
     * Invalidates the leader's lease until a quorum answers messages sent from now on. Called when
     * the process may have been paused without noticing.
     */
    public void invalidateLease(long nowNanos) {
        mLeadership.ifPresent(leading -> leading.replication().invalidateLease(nowNanos));
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

    /** Returns the size in bytes of the log entries in memory. */
    long logBytes() {
        return mGroup.log().bytes();
    }

    /** Returns the current term. */
    public long term() {
        return mGroup.term();
    }

    /** Returns the members; the same instance until they change. */
    public Members members() {
        return mGroup.members();
    }

    /** Returns the status shown to operators. */
    public RaftStatus status(long nowNanos) {
        List<RaftStatus.Lag> lags =
                mLeadership.map(leading -> leading.lags(nowNanos)).orElse(List.of());
        return RaftStatus.of(mGroup, isLeader(nowNanos), lags);
    }

    private Step beginStep(long nowNanos, Effects out) {
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
        if (message instanceof RaftMessage.TimeoutNow timeoutNow) {
            receive(timeoutNow, step);
        } else if (message instanceof RaftMessage.ReadRequest request) {
            receive(from, request, step);
        } else if (message instanceof RaftMessage.ReadAnswer answer) {
            mReadBarriers.receive(answer);
        } else if (message instanceof RaftMessage.Probe probe) {
            receive(from, probe, step);
        } else if (message instanceof RaftMessage.ProbeAnswer answer) {
            mBootstrap.receive(from, answer, step);
        }
    }

    private void receive(HostId from, RaftMessage.Append append, Step step) {
        if (acceptLeader(from, append, append.to().equals(mGroup.incarnation()), step)) {
            mLogReceiver.receive(append, step);
        }
    }

    private void receive(HostId from, RaftMessage.SnapshotPiece piece, Step step) {
        if (acceptLeader(from, piece, piece.to().equals(mGroup.incarnation()), step)) {
            mLogReceiver.receive(piece, step);
        }
    }

    /**
     * Returns whether a leader's message must be handled, and follows its sender if so. A message
     * of an older term is answered with the current term instead.
     */
    private boolean acceptLeader(
            HostId from, RaftMessage message, boolean addressedToSelf, Step step) {
        if (!addressedToSelf) {
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
        if (isCurrentTerm(answer, step)) {
            Member member = Member.of(from, answer.from());
            mLeadership.ifPresent(leading -> leading.replication().receive(member, answer, step));
        }
    }

    private void receive(HostId from, RaftMessage.SnapshotAnswer answer, Step step) {
        if (isCurrentTerm(answer, step)) {
            Member member = Member.of(from, answer.from());
            mLeadership.ifPresent(leading -> leading.replication().receive(member, answer, step));
        }
    }

    private boolean isCurrentTerm(RaftMessage message, Step step) {
        if (message.term() > mGroup.term()) {
            follow(message.term(), Optional.empty(), step);
        }
        return message.term() == mGroup.term();
    }

    private void receive(HostId from, RaftMessage.VoteRequest request, Step step) {
        boolean addressedToSelf = request.to().equals(mGroup.incarnation());
        if (!addressedToSelf || mElection.mustIgnore(request, step)) {
            return;
        }
        if (request.pre()) {
            mElection.answerPreVote(from, request, step);
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

    private void receive(RaftMessage.TimeoutNow timeoutNow, Step step) {
        boolean addressedToSelf =
                timeoutNow.to().equals(mGroup.incarnation()) && timeoutNow.term() == mGroup.term();
        boolean eligible =
                mGroup.is(MemberState.FOLLOWER)
                        && mGroup.isElectable()
                        && !mGroup.writes().isDiskFull();
        if (addressedToSelf && eligible) {
            mElection.campaign(true, step);
        }
    }

    private void receive(HostId from, RaftMessage.ReadRequest request, Step step) {
        if (isLeading()) {
            mLeadership.orElseThrow().receive(request, from, step);
        } else {
            mReadBarriers.answer(from, request.number(), false, 0, step);
        }
    }

    private void receive(HostId from, RaftMessage.Probe probe, Step step) {
        Member member = Member.of(from, probe.from());
        if (mMemberChanges.recordJoinRequest(member, step.nowNanos())
                && !mGroup.members().contains(member)) {
            mGroup.log(step, EventCode.HOST_ASKS_TO_JOIN, member.toString());
        }
        mBootstrap.answer(from, probe, step);
    }

    /** Becomes or stays a follower in {@code term}, and steps down if this host was leading. */
    private void follow(long term, Optional<HostId> leader, Step step) {
        Optional<Leadership> endedLeadership = mLeadership;
        mLeadership = Optional.empty();
        mGroup.transition(MemberEvent.FOLLOW);
        if (term > mGroup.term()) {
            mGroup.setVote(term, Optional.empty());
            mGroup.writeVote(step, later -> {});
        }
        mGroup.setLeader(leader);
        if (leader.isPresent()) {
            mGroup.recordLeaderContact(step.nowNanos());
            mElection.resetDeadline(step.nowNanos());
        }
        endedLeadership.ifPresent(leading -> stepDown(leading, step));
    }

    private void stepDown(Leadership leading, Step step) {
        mElection.resetDeadline(step.nowNanos());
        mGroup.log(step, EventCode.LEADER_STEPPED_DOWN, "");
        leading.failPending(step);
    }

    private void lead(Step step) {
        mGroup.transition(MemberEvent.WIN);
        mGroup.setLeader(Optional.of(mGroup.self().host()));
        mGroup.log(step, EventCode.LEADER_ELECTED, "");
        Replication replication = new Replication(mGroup, mApplier::snapshot, step);
        mLeadership =
                Optional.of(
                        new Leadership(
                                mGroup, replication, mProposals, mReadBarriers, mMemberChanges));
        replication.heartbeat(step);
    }

    /** Performs everything that the step's input has made possible. */
    private void completeStep(Step step) {
        if (mElection.isWon()) {
            lead(step);
        }
        if (isLeading() && mLeadership.orElseThrow().advance(step)) {
            follow(mGroup.term(), Optional.empty(), step);
        }
        if (!isLeading() && mReadBarriers.hasNewReads()) {
            mReadBarriers.requestCommitIndex(step);
        }
        mApplier.apply(step);
        mApplier.snapshotIfDue(step);
        mReadBarriers.applied(mGroup.appliedIndex());
    }
}
