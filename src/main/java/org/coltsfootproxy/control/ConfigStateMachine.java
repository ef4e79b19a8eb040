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

/** The state of group 0: configuration and leases, told apart by the first byte of a command. */
final class ConfigStateMachine implements StateMachine {
    private static final byte CONFIG = 0;
    private static final byte LEASE = 1;
    private static final byte FLEET = 2;
    private static final byte[] NOTHING = new byte[0];

    private final ConfigState mConfig = ConfigState.create();
    private final LeaseTable mLeases = LeaseTable.create();
    private final FleetState mFleet = new FleetState();

    ConfigState config() {
        return mConfig;
    }

    LeaseTable leases() {
        return mLeases;
    }

    /** Returns what the fleet has agreed on. */
    FleetState fleet() {
        return mFleet;
    }

    /** Returns a command on the hosts of the fleet. */
    static byte[] fleetCommand(FleetCommand command) {
        return tagged(FLEET, FleetCommand.CODEC.encode(command));
    }

    /** Returns the command of group 0 that stands for a command of the configuration. */
    static byte[] configCommand(byte[] command) {
        return tagged(CONFIG, command);
    }

    /** Returns the way for lease commands into a log of this state. */
    static Proposer leaseProposer(Proposer log) {
        return new Proposer() {
            @Override
            public void propose(byte[] command, Completion done) {
                log.propose(tagged(LEASE, command), done);
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
            return NOTHING;
        }
        byte[] rest = rest(ByteBuffer.wrap(command, 1, command.length - 1));
        return switch (command[0]) {
            case CONFIG -> mConfig.apply(index, rest);
            case LEASE -> mLeases.apply(index, rest);
            case FLEET -> mFleet.apply(index, rest);
            default -> NOTHING;
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

    /** Returns the parts in the order in which snapshots hold them. */
    private Stream<StateMachine> parts() {
        return Stream.of(mConfig, mLeases, mFleet);
    }

    @Override
    public void restore(byte[] snapshot) {
        ByteBuffer whole = ByteBuffer.wrap(snapshot);
        parts().forEach(part -> part.restore(part(whole)));
    }

    private static byte[] part(ByteBuffer whole) {
        int length = whole.getInt();
        checkArgument(
                length >= 0 && length <= whole.remaining(), "snapshot has a part of %s", length);
        byte[] part = new byte[length];
        whole.get(part);
        return part;
    }

    private static byte[] rest(ByteBuffer buffer) {
        byte[] rest = new byte[buffer.remaining()];
        buffer.get(rest);
        return rest;
    }
}
