package org.coltsfootproxy.storage;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.ByteArrayOutputStream;
import java.util.Random;
import org.coltsfootproxy.base.ProxyException;
import org.coltsfootproxy.node.LogWrite;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of {@link SnapshotFrame}. */
public final class SnapshotFrameTest {
    private static final int MAX_PIECE_BYTES = 64 << 10;

    /** A file that keeps its bytes and the size of the largest append. */
    private static final class RecordedFile implements DiskFile {
        private final ByteArrayOutputStream mBytes = new ByteArrayOutputStream();
        private int mLargest;

        @Override
        public void append(byte[] bytes) {
            mBytes.writeBytes(bytes);
            mLargest = Math.max(mLargest, bytes.length);
        }

        @Override
        public void truncate(long length) {
            throw new AssertionError("not truncated here");
        }

        @Override
        public void sync() {
            // Always durable.
        }

        @Override
        public void close() {
            // Nothing to close.
        }
    }

    @DataProvider
    Object[][] sizes() {
        return new Object[][] {
            {0}, {1}, {255}, {256}, {65_535}, {65_536}, {65_537}, {1_000_000}, {1 << 24},
        };
    }

    private static LogWrite.Snapshot snapshot(int bytes) {
        byte[] state = new byte[bytes];
        new Random(bytes).nextBytes(state);
        return new LogWrite.Snapshot(77, 5, new byte[] {1, 2, 3}, state);
    }

    /** Guards against a snapshot that an earlier or later version can't read. */
    @Test(dataProvider = "sizes")
    public void theBytesAreThoseOfTheRecord(int bytes) throws ProxyException {
        LogWrite.Snapshot snapshot = snapshot(bytes);
        ByteArrayOutputStream whole = new ByteArrayOutputStream();
        Frames.write(
                new SegmentRecord.SnapshotRecord(
                        FileLogStore.FORMAT,
                        3,
                        snapshot.index(),
                        snapshot.term(),
                        snapshot.members(),
                        snapshot.state()),
                0,
                whole);
        RecordedFile file = new RecordedFile();
        SnapshotFrame.of(3, snapshot).appendTo(file);
        assertEquals(file.mBytes.toByteArray(), whole.toByteArray());
    }

    /** Guards against copies of the whole state that fill the heap while it is written. */
    @Test(dataProvider = "sizes")
    public void noPieceIsLargerThanALimit(int bytes) throws ProxyException {
        RecordedFile file = new RecordedFile();
        SnapshotFrame.of(3, snapshot(bytes)).appendTo(file);
        assertTrue(file.mLargest <= MAX_PIECE_BYTES, file.mLargest + " bytes");
    }
}
