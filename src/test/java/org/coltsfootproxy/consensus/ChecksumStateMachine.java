package org.coltsfootproxy.consensus;

import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.zip.CRC32C;

/** A state machine whose state is the last index and a checksum of all commands in order. */
final class ChecksumStateMachine implements StateMachine {
    private static final int HEADER_BYTES = 2 * Long.BYTES;
    private static final int STATE_BYTES = 300;

    private final Oracle mOracle;
    private long mIndex;
    private long mChecksum;

    ChecksumStateMachine(Oracle oracle) {
        mOracle = oracle;
    }

    long index() {
        return mIndex;
    }

    @Override
    public byte[] apply(long index, byte[] command) {
        CRC32C crc = new CRC32C();
        crc.update(ByteBuffer.allocate(2 * Long.BYTES).putLong(index).putLong(mChecksum).flip());
        crc.update(command);
        mChecksum = mChecksum * 31 + crc.getValue();
        mOracle.applied(mIndex, index, mChecksum, command);
        mIndex = index;
        return ByteBuffer.allocate(Long.BYTES).putLong(mChecksum).array();
    }

    @Override
    public byte[] snapshot() {
        return ByteBuffer.allocate(STATE_BYTES).putLong(mIndex).putLong(mChecksum).array();
    }

    @Override
    public void restore(byte[] snapshot) {
        ByteBuffer buffer = ByteBuffer.wrap(snapshot);
        mIndex = buffer.getLong();
        mChecksum = buffer.getLong();
        byte[] rest = Arrays.copyOfRange(snapshot, HEADER_BYTES, snapshot.length);
        mOracle.restored(mIndex, mChecksum, rest.length == STATE_BYTES - HEADER_BYTES);
    }
}
