package org.coltsfootproxy.net;

import static org.testng.Assert.assertNotNull;

import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.coltsfootproxy.node.Input;

/** A sink whose inputs tests take one by one. */
final class RecordingSink implements InputSink {
    private static final long PATIENCE_SECONDS = 30;

    private final BlockingQueue<Input> mInputs = new LinkedBlockingQueue<>();
    private volatile boolean mFull;

    @Override
    public boolean offer(Input input) {
        return !mFull && mInputs.add(input);
    }

    void setFull(boolean full) {
        mFull = full;
    }

    /** Waits for the next input of a type; others before it are dropped. */
    <T extends Input> T next(Class<T> type) throws InterruptedException {
        Input input = next();
        while (!type.isInstance(input)) {
            input = next();
        }
        return type.cast(input);
    }

    Input next() throws InterruptedException {
        Input input = mInputs.poll(PATIENCE_SECONDS, TimeUnit.SECONDS);
        assertNotNull(input, "nothing came");
        return input;
    }

    boolean isEmpty() {
        return mInputs.isEmpty();
    }
}
