package org.coltsfootproxy.control;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.coltsfootproxy.base.ErrorKind;
import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.base.SuspectId;
import org.coltsfootproxy.consensus.Proposer;
import org.coltsfootproxy.message.FleetMessage;
import org.coltsfootproxy.node.Effects;

/**
 * Keeps the quarantined parts of prompts in the log of the control hosts, so that they outlast the
 * end of all hosts that call targets.
 *
 * <p>Those hosts decide what is quarantined, and report it with each enrolment. A part stays in the
 * log as long as any of them reports it.
 */
final class QuarantineStore {
    /**
     * Time without a report after which a part is removed: several enrolments, in which hosts that
     * have just started report what this host has told them.
     */
    private static final long RELEASE_NANOS = TimeUnit.SECONDS.toNanos(10);

    /** Remaining quarantine of a part that no host has reported since this host started. */
    private static final long UNKNOWN_REMAINING_NANOS = TimeUnit.HOURS.toNanos(1);

    private final FleetState mState;
    private final RaftGroup mConfig;

    /** The end of each part's quarantine, and when it was last reported. */
    private final Map<SuspectId, Reported> mReported = new HashMap<>();

    private boolean mIsProposing;

    private record Reported(long end, long at) {}

    QuarantineStore(FleetState state, RaftGroup config) {
        mState = state;
        mConfig = config;
    }

    /** Handles an enrolment, and tells the host of the parts that it does not know. */
    void enrolled(HostId host, FleetMessage.Enrol enrol, long nowNanos, Effects out) {
        Set<SuspectId> known = new HashSet<>();
        for (FleetMessage.Quarantined part : enrol.quarantined()) {
            long end = nowNanos + TimeUnit.MILLISECONDS.toNanos(part.remainingMillis());
            mReported.put(part.suspect(), new Reported(end, nowNanos));
            known.add(part.suspect());
        }
        List<FleetMessage.Quarantined> unknown =
                mState.quarantined().stream()
                        .filter(part -> !known.contains(part))
                        .map(part -> remaining(part, nowNanos))
                        .filter(part -> part.remainingMillis() > 0)
                        .toList();
        if (!unknown.isEmpty()) {
            out.send(host, new FleetMessage.Quarantine(unknown));
        }
    }

    private FleetMessage.Quarantined remaining(SuspectId part, long nowNanos) {
        Reported reported = mReported.get(part);
        long nanos = reported == null ? UNKNOWN_REMAINING_NANOS : reported.end() - nowNanos;
        return new FleetMessage.Quarantined(part, TimeUnit.NANOSECONDS.toMillis(nanos));
    }

    /**
     * Updates the log if this host leads it.
     *
     * @param hasHosts whether any host that calls targets is enrolled
     */
    void tick(boolean hasHosts, long nowNanos) {
        if (!hasHosts) {
            // Nobody could report; the time for reports begins when hosts are back.
            mReported.replaceAll((part, reported) -> new Reported(reported.end(), nowNanos));
        }
        Set<SuspectId> stored = mState.quarantined();
        stored.forEach(part -> mReported.computeIfAbsent(part, p -> unreported(nowNanos)));
        Set<SuspectId> reported =
                mReported.entrySet().stream()
                        .filter(part -> nowNanos - part.getValue().at() < RELEASE_NANOS)
                        .map(Map.Entry::getKey)
                        .collect(Collectors.toSet());
        mReported.keySet().removeIf(part -> !reported.contains(part) && !stored.contains(part));
        if (!mIsProposing && mConfig.isLeader(nowNanos) && !reported.equals(stored)) {
            propose(reported);
        }
    }

    /** Returns the state of a stored part that no host has reported to this one yet. */
    private static Reported unreported(long nowNanos) {
        return new Reported(nowNanos + UNKNOWN_REMAINING_NANOS, nowNanos);
    }

    private void propose(Set<SuspectId> parts) {
        mIsProposing = true;
        List<SuspectId> sorted = parts.stream().sorted().toList();
        mConfig.propose(
                ConfigStateMachine.fleetCommand(new FleetCommand.Quarantine(sorted)),
                new Proposer.Completion() {
                    @Override
                    public void committed(long index, byte[] result) {
                        mIsProposing = false;
                    }

                    @Override
                    public void failed(ErrorKind kind) {
                        mIsProposing = false;
                    }
                });
    }
}
