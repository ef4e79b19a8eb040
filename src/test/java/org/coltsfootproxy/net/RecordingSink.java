package org.coltsfootproxy.net;

import static org.testng.Assert.assertNotNull;

import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.coltsfootproxy.node.Input;

/** Records inputs for tests; can be made to reject inputs as if it were full. */
final class RecordingSink implements InputSink {
    private static final long TIMEOUT_SECONDS = 30;

    private final BlockingQueue<Input> mInputs = new LinkedBlockingQueue<>();
    private volatile boolean mFull;

    @Override
    public boolean offer(Input input) {
        return !mFull && mInputs.add(input);
    }

    void setFull(boolean full) {
        mFull = full;
    }

    /** Waits for the next input of a type; inputs of other types before it are discarded. */
    <T extends Input> T next(Class<T> type) throws InterruptedException {
        Input input = next();
        while (!type.isInstance(input)) {
            input = next();
        }
        return type.cast(input);
    }

    Input next() throws InterruptedException {
        Input input = mInputs.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        assertNotNull(input, "no input within 30 s");
        return input;
    }

    boolean isEmpty() {
        return mInputs.isEmpty();
    }
}
