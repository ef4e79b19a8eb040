package org.coltsfootproxy.control;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.io.ByteArrayDataOutput;
import com.google.common.io.ByteStreams;
import java.nio.ByteBuffer;
import java.util.Optional;
import java.util.stream.Stream;
import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.config.ConfigState;
import org.coltsfootproxy.consensus.Proposer;
import org.coltsfootproxy.consensus.StateMachine;
import org.coltsfootproxy.membership.LeaseTable;

/**
 * The state machine of group 0, made of the configuration, the leases and the fleet state. The
 * first byte of a command identifies the one that it is for.
 */
final class ConfigStateMachine implements StateMachine {
    private static final byte CONFIG_TAG = 0;
    private static final byte LEASE_TAG = 1;
    private static final byte FLEET_TAG = 2;

    /** Replicas of an earlier version ignore unknown tags, but fail on unknown fleet commands. */
    private static final byte VERSIONS_TAG = 3;

    private static final byte[] EMPTY_RESULT = new byte[0];

    private final ConfigState mConfig = ConfigState.create();
    private final LeaseTable mLeases = LeaseTable.create();
    private final FleetState mFleet = new FleetState();

    ConfigState config() {
        return mConfig;
    }

    LeaseTable leases() {
        return mLeases;
    }

    /** Returns the replicated state of the fleet. */
    FleetState fleet() {
        return mFleet;
    }

    /** Returns the command of group 0 for a command of the fleet state. */
    static byte[] fleetCommand(FleetCommand command) {
        return tagged(FLEET_TAG, FleetCommand.CODEC.encode(command));
    }

    /** Returns the command of group 0 that records software versions. */
    static byte[] versionsCommand(FleetCommand.RecordVersions command) {
        return tagged(VERSIONS_TAG, FleetCommand.CODEC.encode(command));
    }

    /** Returns the command of group 0 for a command of the configuration. */
    static byte[] configCommand(byte[] command) {
        return tagged(CONFIG_TAG, command);
    }

    /** Returns a proposer of lease commands that wraps a proposer of group 0. */
    static Proposer leaseProposer(Proposer log) {
        return new Proposer() {
            @Override
            public void propose(byte[] command, Completion done) {
                log.propose(tagged(LEASE_TAG, command), done);
            }

            @Override
            public boolean isLeader(long nowNanos) {
                return log.isLeader(nowNanos);
            }

            @Override
            public Optional<HostId> leader() {
                return log.leader();
            }
        };
    }

    private static byte[] tagged(byte tag, byte[] command) {
        return ByteBuffer.allocate(1 + command.length).put(tag).put(command).array();
    }

    @Override
    public byte[] apply(long index, byte[] command) {
        if (command.length == 0) {
            return EMPTY_RESULT;
        }
        byte[] payload = remainingBytes(ByteBuffer.wrap(command, 1, command.length - 1));
        return switch (command[0]) {
            case CONFIG_TAG -> mConfig.apply(index, payload);
            case LEASE_TAG -> mLeases.apply(index, payload);
            case FLEET_TAG, VERSIONS_TAG -> mFleet.apply(index, payload);
            default -> EMPTY_RESULT;
        };
    }

    @Override
    public byte[] snapshot() {
        ByteArrayDataOutput out = ByteStreams.newDataOutput();
        parts().map(StateMachine::snapshot)
                .forEach(
                        part -> {
                            out.writeInt(part.length);
                            out.write(part);
                        });
        return out.toByteArray();
    }

    /** Returns the parts in the order of the snapshot format. */
    private Stream<StateMachine> parts() {
        return Stream.of(mConfig, mLeases, mFleet);
    }

    @Override
    public void restore(byte[] snapshot) {
        ByteBuffer buffer = ByteBuffer.wrap(snapshot);
        parts().forEach(part -> part.restore(part(buffer)));
    }

    private static byte[] part(ByteBuffer buffer) {
        int length = buffer.getInt();
        checkArgument(
                length >= 0 && length <= buffer.remaining(),
                "length %s of a part of the snapshot is out of range",
                length);
        byte[] part = new byte[length];
        buffer.get(part);
        return part;
    }

    private static byte[] remainingBytes(ByteBuffer buffer) {
        byte[] bytes = new byte[buffer.remaining()];
        buffer.get(bytes);
        return bytes;
    }
}
