package org.coltsfootproxy.consensus;

import static com.google.common.base.Preconditions.checkArgument;

import java.time.Duration;
import java.util.List;
import org.coltsfootproxy.base.HostId;

/**
 * Settings of a Raft group.
 *
 * @param hosts the hosts that bootstrap the group; all must be up at the first start
 * @param heartbeatNanos longest time between a leader's messages to a member
 * @param electionTimeoutNanos shortest time without a message from a leader before an election; the
 *     actual time is random, up to twice as long
 * @param maxClockDrift bound on the rate error of a host's clock, as a fraction
 * @param maxAppendBytes maximum bytes of entries in a message, and of proposals in one write
 * @param maxInFlight maximum unacknowledged messages with entries to one member
 * @param maxQueuedBytes maximum bytes of queued proposals; further ones are refused
 * @param maxCommandBytes size limit of a command
 * @param snapshotPieceBytes maximum bytes of snapshot state in a message
 * @param snapshotLogBytes minimum bytes of log since the last snapshot before another is taken
 * @param retainedEntries maximum number of entries before a snapshot that are kept in memory for
 *     lagging members
 * @param retainedBytes maximum bytes of these entries
 * @param autoReplace whether a host that returns with an empty disk replaces its previous
 *     incarnation without an operator
 * @param mayBootstrap whether the group may be bootstrapped; false once the fleet has run before
 * @param wantedVoters number of voters up to which hosts that ask to join are added; at that number
 *     they replace silent voters; 0 if only operators add hosts
 */
public record RaftSettings(
        List<HostId> hosts,
        long heartbeatNanos,
        long electionTimeoutNanos,
        double maxClockDrift,
        int maxAppendBytes,
        int maxInFlight,
        int maxQueuedBytes,
        int maxCommandBytes,
        int snapshotPieceBytes,
        int snapshotLogBytes,
        int retainedEntries,
        int retainedBytes,
        boolean autoReplace,
        boolean mayBootstrap,
        int wantedVoters) {
    private static final long HEARTBEAT_NANOS = Duration.ofMillis(200).toNanos();
    private static final long ELECTION_TIMEOUT_NANOS = Duration.ofSeconds(1).toNanos();

    /** Heartbeat in a fleet that serves callers: a quarter of the election timeout. */
    private static final long FLEET_HEARTBEAT_NANOS = Duration.ofMillis(120).toNanos();

    /**
     * Election timeout in a fleet that serves callers. Four heartbeats fit into it even if a host
     * gets its core for only part of each 100 ms and links take up to 30 ms. A restarted fleet is
     * without a leader for at most twice this time.
     */
    private static final long FLEET_ELECTION_TIMEOUT_NANOS = Duration.ofMillis(480).toNanos();

    private static final double MAX_CLOCK_DRIFT = 0.02;
    private static final int KIB = 1024;

    /** Checks the ranges. */
    public RaftSettings {
        hosts = hosts.stream().sorted().distinct().toList();
        checkArgument(!hosts.isEmpty(), "the list of hosts is empty");
        checkArgument(heartbeatNanos > 0, "heartbeat %s ns is not positive", heartbeatNanos);
        checkArgument(
                electionTimeoutNanos >= 3 * heartbeatNanos,
                "election timeout %s ns is below three heartbeats",
                electionTimeoutNanos);
        checkArgument(
                maxClockDrift >= 0 && maxClockDrift < 0.5,
                "clock drift %s is outside 0 to 0.5",
                maxClockDrift);
        checkArgument(maxAppendBytes > 0, "append size %s is not positive", maxAppendBytes);
        checkArgument(maxInFlight > 0, "messages in flight %s is not positive", maxInFlight);
        checkArgument(maxQueuedBytes > 0, "queue size %s is not positive", maxQueuedBytes);
        checkArgument(maxCommandBytes > 0, "command size %s is not positive", maxCommandBytes);
        checkArgument(
                snapshotPieceBytes > 0,
                "snapshot piece size %s is not positive",
                snapshotPieceBytes);
        checkArgument(
                snapshotLogBytes > 0, "snapshot log size %s is not positive", snapshotLogBytes);
        checkArgument(retainedEntries >= 0, "retained entries %s is negative", retainedEntries);
        checkArgument(retainedBytes >= 0, "retained bytes %s is negative", retainedBytes);
        checkArgument(wantedVoters >= 0, "wanted voters %s is negative", wantedVoters);
    }

    /** Returns the default settings for a group bootstrapped by {@code hosts}. */
    public static RaftSettings of(List<HostId> hosts) {
        return new RaftSettings(
                hosts,
                HEARTBEAT_NANOS,
                ELECTION_TIMEOUT_NANOS,
                MAX_CLOCK_DRIFT,
                256 * KIB,
                4,
                16 * KIB * KIB,
                4 * KIB * KIB,
                64 * KIB,
                4 * KIB * KIB,
                1000,
                8 * KIB * KIB,
                true,
                true,
                0);
    }

    /** Returns these settings with automatic replacement on or off. */
    public RaftSettings withAutoReplace(boolean allowed) {
        return new RaftSettings(
                hosts,
                heartbeatNanos,
                electionTimeoutNanos,
                maxClockDrift,
                maxAppendBytes,
                maxInFlight,
                maxQueuedBytes,
                maxCommandBytes,
                snapshotPieceBytes,
                snapshotLogBytes,
                retainedEntries,
                retainedBytes,
                allowed,
                mayBootstrap,
                wantedVoters);
    }

    /**
     * Returns these settings for a fleet, whose leader adds hosts without an operator: with its
     * timing, and the given bootstrap permission and wanted number of voters.
     */
    public RaftSettings withFleetSettings(boolean bootstrapAllowed, int voters) {
        return new RaftSettings(
                hosts,
                FLEET_HEARTBEAT_NANOS,
                FLEET_ELECTION_TIMEOUT_NANOS,
                maxClockDrift,
                maxAppendBytes,
                maxInFlight,
                maxQueuedBytes,
                maxCommandBytes,
                snapshotPieceBytes,
                snapshotLogBytes,
                retainedEntries,
                retainedBytes,
                autoReplace,
                bootstrapAllowed,
                voters);
    }

    /** Returns these settings with another bound on clock drift. */
    public RaftSettings withMaxClockDrift(double drift) {
        return new RaftSettings(
                hosts,
                heartbeatNanos,
                electionTimeoutNanos,
                drift,
                maxAppendBytes,
                maxInFlight,
                maxQueuedBytes,
                maxCommandBytes,
                snapshotPieceBytes,
                snapshotLogBytes,
                retainedEntries,
                retainedBytes,
                autoReplace,
                mayBootstrap,
                wantedVoters);
    }

    /** Returns these settings with other snapshot limits. */
    public RaftSettings withSnapshots(
            int logBytes, int pieceBytes, int keptEntries, int keptBytes) {
        return new RaftSettings(
                hosts,
                heartbeatNanos,
                electionTimeoutNanos,
                maxClockDrift,
                maxAppendBytes,
                maxInFlight,
                maxQueuedBytes,
                maxCommandBytes,
                pieceBytes,
                logBytes,
                keptEntries,
                keptBytes,
                autoReplace,
                mayBootstrap,
                wantedVoters);
    }

    /** Returns these settings with other limits on messages and the proposal queue. */
    public RaftSettings withBounds(int appendBytes, int inFlight, int queuedBytes) {
        return new RaftSettings(
                hosts,
                heartbeatNanos,
                electionTimeoutNanos,
                maxClockDrift,
                appendBytes,
                inFlight,
                queuedBytes,
                maxCommandBytes,
                snapshotPieceBytes,
                snapshotLogBytes,
                retainedEntries,
                retainedBytes,
                autoReplace,
                mayBootstrap,
                wantedVoters);
    }

    /**
     * Returns the duration of a leader's lease, from when it sent messages that a quorum answered.
     *
     * <p>A member that answered grants no vote for an election timeout of its own clock. The lease
     * ends first even if that clock is fast, and the leader's slow, by the maximum drift.
     */
    long leaseNanos() {
        return (long) (electionTimeoutNanos * (1 - maxClockDrift) / (1 + maxClockDrift));
    }
}
