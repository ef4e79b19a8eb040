package org.coltsfootproxy.consensus;

import static com.google.common.base.Preconditions.checkArgument;

import java.time.Duration;
import java.util.List;
import org.coltsfootproxy.base.HostId;

/**
 * Settings of a replicated log.
 *
 * @param hosts the hosts that found the group; all must be up at the first start
 * @param heartbeatNanos time between a leader's messages to a member
 * @param electionTimeoutNanos shortest silence of a leader before an election; the longest is twice
 *     that
 * @param maxClockDrift bound on how far the rate of a host's clock is from true, as a fraction
 * @param maxAppendBytes most bytes of entries in a message, and of proposals in one write
 * @param maxInFlight most messages with entries to one member that are not yet acknowledged
 * @param maxQueuedBytes most bytes of proposals that wait; more are refused
 * @param maxCommandBytes size of the largest command
 * @param snapshotPieceBytes bytes of state in a message
 * @param snapshotLogBytes least bytes of log after which a snapshot is taken
 * @param retainedEntries entries kept in memory before a snapshot for members that lag
 * @param autoReplace whether a host that comes back with an empty disk replaces its former life
 * @param mayFound whether a group may be founded; false once the fleet has run before
 * @param wantedVoters number of voters up to which hosts that ask to join are let in, and beyond
 *     which they replace voters that are silent; 0 if only operators add hosts
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
        boolean autoReplace,
        boolean mayFound,
        int wantedVoters) {
    private static final long HEARTBEAT_NANOS = Duration.ofMillis(200).toNanos();
    private static final long ELECTION_TIMEOUT_NANOS = Duration.ofSeconds(1).toNanos();

    /** In a fleet that callers wait for: a quarter of the election timeout. */
    private static final long FLEET_HEARTBEAT_NANOS = Duration.ofMillis(120).toNanos();

    /**
     * In a fleet that callers wait for. A host that has its core for part of each 100 ms, and links
     * of up to 30 ms, leave four heartbeats in it; a restarted fleet is without leader for at most
     * twice this time.
     */
    private static final long FLEET_ELECTION_TIMEOUT_NANOS = Duration.ofMillis(480).toNanos();

    private static final double MAX_CLOCK_DRIFT = 0.02;
    private static final int KIB = 1024;

    /** Checks the ranges. */
    public RaftSettings {
        hosts = hosts.stream().sorted().distinct().toList();
        checkArgument(!hosts.isEmpty(), "no hosts are named");
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
        checkArgument(maxInFlight > 0, "window %s is not positive", maxInFlight);
        checkArgument(maxQueuedBytes > 0, "queue size %s is not positive", maxQueuedBytes);
        checkArgument(maxCommandBytes > 0, "command size %s is not positive", maxCommandBytes);
        checkArgument(snapshotPieceBytes > 0, "piece size %s", snapshotPieceBytes);
        checkArgument(snapshotLogBytes > 0, "log size %s is not positive", snapshotLogBytes);
        checkArgument(retainedEntries >= 0, "retained entries %s", retainedEntries);
        checkArgument(wantedVoters >= 0, "wanted voters %s", wantedVoters);
    }

    /** Returns the usual settings for a group founded by {@code hosts}. */
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
                true,
                true,
                0);
    }

    /** Returns the same settings with automatic replacement on or off. */
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
                allowed,
                mayFound,
                wantedVoters);
    }

    /** Returns the same settings for a fleet whose hosts let others in by themselves. */
    public RaftSettings withGrowth(boolean founds, int voters) {
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
                autoReplace,
                founds,
                voters);
    }

    /** Returns the same settings with another bound on the rates of clocks. */
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
                autoReplace,
                mayFound,
                wantedVoters);
    }

    /** Returns the same settings with other bounds on snapshots. */
    public RaftSettings withSnapshots(int logBytes, int pieceBytes, int retained) {
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
                retained,
                autoReplace,
                mayFound,
                wantedVoters);
    }

    /** Returns the same settings with other bounds on messages and the queue. */
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
                autoReplace,
                mayFound,
                wantedVoters);
    }

    /**
     * Returns how long a leader's lease lasts from when it sent the round that a quorum answered.
     *
     * <p>A member that answered grants no vote for the election timeout by its own clock. If that
     * clock runs fast by the bound and the leader's slow by it, the lease still ends first.
     */
    long leaseNanos() {
        return (long) (electionTimeoutNanos * (1 - maxClockDrift) / (1 + maxClockDrift));
    }
}
