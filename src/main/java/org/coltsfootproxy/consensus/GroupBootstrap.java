package org.coltsfootproxy.consensus;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.coltsfootproxy.base.EventCode;
import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.base.Member;
import org.coltsfootproxy.message.LogEntry;
import org.coltsfootproxy.message.RaftMessage;
import org.coltsfootproxy.node.LogWrite;

/**
 * Bootstraps a group, or asks to join an existing one, on a member without state.
 *
 * <p>The member probes the other hosts. It bootstraps the group only if it is the first of the
 * hosts in the settings and all of them answer that they have no state. Otherwise it waits until
 * the leader of the existing group adds it. A member that may have been removed from its group
 * probes as well.
 */
final class GroupBootstrap {
    private static final long FIRST_INDEX = 1;
    private static final long FIRST_TERM = 1;

    private final Group mGroup;
    private final Map<HostId, RaftMessage.ProbeAnswer> mBlankAnswers = new TreeMap<>();
    private List<HostId> mProbedHosts;
    private long mNextProbeNanos;

    GroupBootstrap(Group group, long nowNanos) {
        mGroup = group;
        mProbedHosts = group.settings().hosts();
        mNextProbeNanos = nowNanos;
    }

    /** Replaces the hosts to probe; an empty list stops the probes. */
    void probeHosts(List<HostId> hosts) {
        mProbedHosts = List.copyOf(hosts);
    }

    /** Starts the log with voters agreed on elsewhere, which include this member. */
    void bootstrap(Members members, Step step) {
        startLog(members, FIRST_TERM, step);
    }

    /** Returns when the next probes are due. */
    long nextProbeNanos() {
        return mNextProbeNanos;
    }

    void tick(Step step) {
        if (step.nowNanos() < mNextProbeNanos) {
            return;
        }
        mNextProbeNanos = step.nowNanos() + mGroup.settings().electionTimeoutNanos();
        mBlankAnswers.clear();
        List<HostId> hosts = mProbedHosts;
        RaftMessage probe =
                new RaftMessage.Probe(mGroup.number(), mGroup.incarnation(), mGroup.term(), hosts);
        hosts.stream()
                .filter(host -> !host.equals(mGroup.self().host()))
                .forEach(host -> step.send(host, probe));
        bootstrapIfAllBlank(step);
    }

    /** Handles another host's answer to a probe. */
    void receive(HostId from, RaftMessage.ProbeAnswer answer, Step step) {
        if (answer.blank() && answer.to().equals(mGroup.incarnation())) {
            mBlankAnswers.put(from, answer);
            bootstrapIfAllBlank(step);
        }
    }

    private void bootstrapIfAllBlank(Step step) {
        List<HostId> hosts = mGroup.settings().hosts();
        HostId self = mGroup.self().host();
        Set<HostId> blankHosts = new HashSet<>(mBlankAnswers.keySet());
        blankHosts.add(self);
        boolean isFounder = mGroup.settings().mayBootstrap() && hosts.get(0).equals(self);
        if (mGroup.hasNoEntries() && isFounder && blankHosts.containsAll(hosts)) {
            bootstrap(step);
        }
    }

    /**
     * Starts the log in a term higher than that of any host, so that the first entry cannot be
     * confused with one from an earlier attempt that failed.
     */
    private void bootstrap(Step step) {
        List<Member> voters = mGroup.settings().hosts().stream().map(this::member).toList();
        long term =
                1
                        + mBlankAnswers.values().stream()
                                .mapToLong(RaftMessage.ProbeAnswer::term)
                                .reduce(mGroup.term(), Math::max);
        startLog(Members.ofVoters(voters), term, step);
    }

    private void startLog(Members members, long term, Step step) {
        LogEntry entry = LogEntry.of(FIRST_INDEX, term, LogEntry.Kind.MEMBERS, members.encode());
        mGroup.transition(MemberEvent.FOLLOW);
        mGroup.setVote(term, Optional.of(mGroup.self()));
        mGroup.add(entry);
        mGroup.writes()
                .writeEntries(LogWrite.of(mGroup.vote(), List.of(entry)), term, FIRST_INDEX, step);
        mGroup.log(step, EventCode.GROUP_FOUNDED, "members " + members.voters());
    }

    private Member member(HostId host) {
        return host.equals(mGroup.self().host())
                ? mGroup.self()
                : Member.of(host, mBlankAnswers.get(host).from());
    }

    /** Answers a probe of another host. */
    void answer(HostId from, RaftMessage.Probe probe, Step step) {
        boolean blank = mGroup.hasNoEntries() && probe.hosts().equals(mGroup.settings().hosts());
        step.send(
                from,
                new RaftMessage.ProbeAnswer(
                        mGroup.number(), mGroup.incarnation(), mGroup.term(), probe.from(), blank));
    }
}
