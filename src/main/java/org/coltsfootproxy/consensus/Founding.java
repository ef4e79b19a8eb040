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
import org.coltsfootproxy.node.StoreWrite;

/**
 * What a member without state does: it asks the others, and founds the group only if all hosts of
 * the settings are there without state and it is the first of them.
 *
 * <p>Otherwise it waits until a leader of the existing group lets it in.
 */
final class Founding {
    private static final long FIRST_INDEX = 1;
    private static final long FIRST_TERM = 1;

    private final Group mGroup;
    private final Map<HostId, RaftMessage.ProbeAnswer> mBlank = new TreeMap<>();
    private List<HostId> mHosts;
    private long mProbeNanos;

    Founding(Group group, long nowNanos) {
        mGroup = group;
        mHosts = group.settings().hosts();
        mProbeNanos = nowNanos;
    }

    /** Replaces the hosts that are asked; none are asked if there are none. */
    void ask(List<HostId> hosts) {
        mHosts = List.copyOf(hosts);
    }

    /** Begins the log with members that were agreed on elsewhere, this one among them. */
    void found(Members members, Step step) {
        begin(members, FIRST_TERM, step);
    }

    /** Returns when the next questions are due. */
    long probeNanos() {
        return mProbeNanos;
    }

    void tick(Step step) {
        if (step.nowNanos() < mProbeNanos) {
            return;
        }
        mProbeNanos = step.nowNanos() + mGroup.settings().electionTimeoutNanos();
        mBlank.clear();
        List<HostId> hosts = mHosts;
        RaftMessage probe =
                new RaftMessage.Probe(mGroup.number(), mGroup.incarnation(), mGroup.term(), hosts);
        hosts.stream()
                .filter(host -> !host.equals(mGroup.self().host()))
                .forEach(host -> step.send(host, probe));
        foundIfAllBlank(step);
    }

    /** Takes another host's answer. */
    void receive(HostId from, RaftMessage.ProbeAnswer answer, Step step) {
        if (answer.blank() && answer.to().equals(mGroup.incarnation())) {
            mBlank.put(from, answer);
            foundIfAllBlank(step);
        }
    }

    private void foundIfAllBlank(Step step) {
        List<HostId> hosts = mGroup.settings().hosts();
        HostId own = mGroup.self().host();
        Set<HostId> ready = new HashSet<>(mBlank.keySet());
        ready.add(own);
        boolean isFounder = mGroup.settings().mayFound() && hosts.get(0).equals(own);
        if (mGroup.hasNothing() && isFounder && ready.containsAll(hosts)) {
            found(step);
        }
    }

    /**
     * Puts the first entry into the log, in a term that no host has been in, so that no entry of an
     * attempt that failed can pass for it.
     */
    private void found(Step step) {
        List<Member> voters = mGroup.settings().hosts().stream().map(this::member).toList();
        long term =
                1
                        + mBlank.values().stream()
                                .mapToLong(RaftMessage.ProbeAnswer::term)
                                .reduce(mGroup.term(), Math::max);
        begin(Members.ofVoters(voters), term, step);
    }

    private void begin(Members members, long term, Step step) {
        LogEntry entry = LogEntry.of(FIRST_INDEX, term, LogEntry.Kind.MEMBERS, members.encode());
        mGroup.on(MemberEvent.FOLLOW);
        mGroup.setVote(term, Optional.of(mGroup.self()));
        mGroup.add(entry);
        mGroup.journal()
                .writeEntries(
                        StoreWrite.of(mGroup.vote(), List.of(entry)), term, FIRST_INDEX, step);
        mGroup.log(step, EventCode.GROUP_FOUNDED, "members " + members.voters());
    }

    private Member member(HostId host) {
        return host.equals(mGroup.self().host())
                ? mGroup.self()
                : Member.of(host, mBlank.get(host).from());
    }

    /** Answers another host without state. */
    void answer(HostId from, RaftMessage.Probe probe, Step step) {
        boolean blank = mGroup.hasNothing() && probe.hosts().equals(mGroup.settings().hosts());
        step.send(
                from,
                new RaftMessage.ProbeAnswer(
                        mGroup.number(), mGroup.incarnation(), mGroup.term(), probe.from(), blank));
    }
}
