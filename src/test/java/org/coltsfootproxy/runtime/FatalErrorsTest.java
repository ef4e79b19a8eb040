package org.coltsfootproxy.runtime;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertSame;
import static org.testng.Assert.assertTrue;

import io.netty.util.internal.OutOfDirectMemoryError;
import java.io.OutputStream;
import java.io.PrintStream;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.coltsfootproxy.base.FatalErrors;
import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.consensus.RecoveredState;
import org.coltsfootproxy.node.Effect;
import org.coltsfootproxy.node.Effects;
import org.coltsfootproxy.node.Input;
import org.coltsfootproxy.node.LogWrite;
import org.coltsfootproxy.node.Node;
import org.coltsfootproxy.storage.LogStore;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests that a process ends when it can't go on, so that the platform starts it again.
 *
 * <p>Guards against control hosts and stores that are out of memory, stay up and do nothing.
 */
public final class FatalErrorsTest {
    private static final long WAIT_SECONDS = 30;

    private final BlockingQueue<Throwable> mEnds = new LinkedBlockingQueue<>();
    private Consumer<Throwable> mEndingBefore;

    @BeforeMethod
    public void recordEnds() {
        mEnds.clear();
        mEndingBefore = FatalErrors.replaceEnding(mEnds::add);
    }

    @AfterMethod(alwaysRun = true)
    public void restore() {
        FatalErrors.replaceEnding(mEndingBefore);
    }

    private Throwable awaitEnd() throws InterruptedException {
        return mEnds.poll(WAIT_SECONDS, TimeUnit.SECONDS);
    }

    /** A node whose input handling throws. */
    private record FailingNode(Error error) implements Node {
        @Override
        public void start(long nowNanos, Effects out) {
            // Nothing to start.
        }

        @Override
        public void handle(Input input, long nowNanos, Effects out) {
            throw error;
        }

        @Override
        public void tick(long nowNanos, Effects out) {
            // Nothing is due.
        }

        @Override
        public long nextTickNanos() {
            return NEVER;
        }

        @Override
        public boolean isDrained() {
            return false;
        }
    }

    @DataProvider
    Object[][] fatalErrors() {
        return new Object[][] {
            {new OutOfMemoryError("planned")}, {new InternalError("planned")},
        };
    }

    @Test(dataProvider = "fatalErrors")
    public void aStepOfANodeThatIsDoneByHalfEndsTheProcess(Error error) throws Exception {
        NodeLoop loop =
                NodeLoop.create("failing", new FailingNode(error), effect -> {}, input -> {});
        loop.start();
        try {
            loop.offer(new Input.PeerLost(HostId.of("h1")));
            assertSame(awaitEnd(), error);
        } finally {
            loop.stop();
        }
    }

    /** Guards against a thread that ends because the failure could not be logged either. */
    @Test
    public void aNodeThreadThatEndsEndsTheProcess() throws Exception {
        Error second = new AssertionError("planned, while logging");
        Effects effects =
                effect -> {
                    throw second;
                };
        NodeLoop loop =
                NodeLoop.create(
                        "failing",
                        new FailingNode(new AssertionError("planned")),
                        effects,
                        input -> {});
        loop.start();
        loop.offer(new Input.PeerLost(HostId.of("h1")));
        assertSame(awaitEnd(), second);
        loop.stop();
    }

    /** A store that throws when it is written to or synced. */
    private record FailingStore(Optional<Error> inApply, Optional<Error> inSync)
            implements LogStore {
        @Override
        public RecoveredState recovered() {
            throw new AssertionError("not recovered here");
        }

        @Override
        public void apply(LogWrite write) {
            inApply.ifPresent(
                    error -> {
                        throw error;
                    });
        }

        @Override
        public void sync() {
            inSync.ifPresent(
                    error -> {
                        throw error;
                    });
        }

        @Override
        public void close() {
            // No files.
        }
    }

    @DataProvider
    Object[][] storeErrors() {
        Error memory = new OutOfMemoryError("planned");
        Error assertion = new AssertionError("planned");
        return new Object[][] {
            {memory, true}, {memory, false}, {assertion, true}, {assertion, false},
        };
    }

    @Test(dataProvider = "storeErrors")
    public void aDiskThreadThatEndsEndsTheProcess(Error error, boolean isInApply) throws Exception {
        LogStore store =
                isInApply
                        ? new FailingStore(Optional.of(error), Optional.empty())
                        : new FailingStore(Optional.empty(), Optional.of(error));
        DiskWriter writer = DiskWriter.create("disk", Map.of(1, store), input -> {});
        writer.start();
        writer.write(
                new Effect.Persist(
                        1,
                        1,
                        new LogWrite(
                                Optional.of(new LogWrite.Vote(1, Optional.empty())),
                                Optional.empty(),
                                List.of())));
        assertSame(awaitEnd(), error);
        writer.stop();
    }

    @Test
    public void aLogThreadThatEndsEndsTheProcess() throws Exception {
        Error error = new OutOfMemoryError("planned");
        LogWriter writer = new LogWriter();
        writer.writeTo(
                new PrintStream(OutputStream.nullOutputStream()) {
                    @Override
                    public void print(Object text) {
                        throw error;
                    }
                });
        writer.offer("line");
        assertSame(awaitEnd(), error);
    }

    @DataProvider
    Object[][] survivable() {
        return new Object[][] {
            {new StackOverflowError("planned")},
            {new AssertionError("planned")},
            {new NoClassDefFoundError("planned")},
            {new IllegalStateException("planned")},
        };
    }

    @Test(dataProvider = "survivable")
    public void anErrorOfOneInputDoesNotEndTheProcess(Throwable error) {
        assertFalse(FatalErrors.isFatal(error));
        FatalErrors.endIfFatal(error);
        assertTrue(mEnds.isEmpty());
    }

    @Test
    public void theClassOfMemoryThatOnlyConnectionsNeedIsNotFatal() throws Exception {
        var constructor = OutOfDirectMemoryError.class.getDeclaredConstructor(String.class);
        constructor.setAccessible(true);
        assertFalse(FatalErrors.isFatal(constructor.newInstance("planned")));
        assertEquals(FatalErrors.EXIT_CODE, 71);
    }
}
