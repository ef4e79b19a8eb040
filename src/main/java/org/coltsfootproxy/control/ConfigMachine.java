package org.coltsfootproxy.control;

import static com.google.common.base.Preconditions.checkArgument;

import java.nio.ByteBuffer;
import java.util.Optional;
import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.config.ConfigState;
import org.coltsfootproxy.consensus.Proposer;
import org.coltsfootproxy.consensus.StateMachine;
import org.coltsfootproxy.membership.LeaseTable;

/** The state of group 0: configuration and leases, told apart by the first byte of a command. */
final class ConfigMachine implements StateMachine {
    private static final byte CONFIG = 0;
    private static final byte LEASE = 1;
    private static final byte[] NOTHING = new byte[0];

    private final ConfigState mConfig = ConfigState.create();
    private final LeaseTable mLeases = LeaseTable.create();

    ConfigState config() {
        return mConfig;
    }

    LeaseTable leases() {
        return mLeases;
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
            default -> NOTHING;
        };
    }

    @Override
    public byte[] snapshot() {
        byte[] config = mConfig.snapshot();
        byte[] leases = mLeases.snapshot();
        return ByteBuffer.allocate(Integer.BYTES + config.length + leases.length)
                .putInt(config.length)
                .put(config)
                .put(leases)
                .array();
    }

    @Override
    public void restore(byte[] snapshot) {
        ByteBuffer whole = ByteBuffer.wrap(snapshot);
        int length = whole.getInt();
        checkArgument(
                length >= 0 && length <= whole.remaining(), "snapshot has a part of %s", length);
        byte[] config = new byte[length];
        whole.get(config);
        mConfig.restore(config);
        mLeases.restore(rest(whole));
    }

    private static byte[] rest(ByteBuffer buffer) {
        byte[] rest = new byte[buffer.remaining()];
        buffer.get(rest);
        return rest;
    }
}
