package org.coltsfootproxy.runtime;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;
import org.coltsfootproxy.base.EventCode;
import org.coltsfootproxy.base.FatalErrors;
import org.coltsfootproxy.node.Effects;
import org.coltsfootproxy.node.Input;
import org.coltsfootproxy.node.Node;

/**
 * Runs a node on its own thread.
 *
 * <p>Inputs arrive through a bounded ring; effects go to {@link EffectRouter} in the order in which
 * the node emits them. The thread parks until the next input or timer.
 */
final class NodeLoop {
    static final int RING_CAPACITY = 16_384;

    /** Maximum bytes of the answers of targets that are queued. */
    static final long MAX_ANSWER_BYTES = 1L << 20;

    /** Fraction of the heap that the bodies of queued calls may occupy. */
    private static final double CALLS_FRACTION = 0.125;

    /** Inputs handled before timers are checked again. */
    private static final int MAX_INPUTS_PER_ROUND = 256;

    /** Pause after a step has failed. */
    private static final long FAILURE_PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(1);

    private static final long MAX_PARK_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final Node mNode;
    private final Effects mEffects;
    private final Consumer<Input> mObserver;
    private final InputQueue mInputs =
            InputQueue.create(
                    RING_CAPACITY,
                    MAX_ANSWER_BYTES,
                    (long) (CALLS_FRACTION * Runtime.getRuntime().maxMemory()));
    private final CountDownLatch mDrained = new CountDownLatch(1);
    private final Thread mThread;
    private volatile boolean mRunning = true;
    private ClockJumpDetector mClockJumpDetector;

    private NodeLoop(String name, Node node, Effects effects, Consumer<Input> observer) {
        mNode = checkNotNull(node, "node");
        mEffects = checkNotNull(effects, "effects");
        mObserver = checkNotNull(observer, "observer");
        mThread = new Thread(this::run, name);
        mInputs.consumedBy(mThread);
    }

    /**
     * Returns a loop for {@code node} that is not yet started.
     *
     * @param observer called on the loop's thread with each input before the node handles it
     */
    static NodeLoop create(String name, Node node, Effects effects, Consumer<Input> observer) {
        return new NodeLoop(name, node, effects, observer);
    }

    void start() {
        mThread.start();
    }

    /** Queues an input without waiting; returns false if the ring is full. */
    boolean offer(Input input) {
        return mInputs.offer(input);
    }

    /**
     * Queues an input, waiting while the ring is full.
     *
     * @return false if the calling thread was interrupted and the input was not queued
     */
    boolean put(Input input) {
        return mInputs.put(input);
    }

    /** Waits until the node has drained after a planned stop; returns false on a timeout. */
    boolean awaitDrained(long timeoutNanos) throws InterruptedException {
        return mDrained.await(timeoutNanos, TimeUnit.NANOSECONDS);
    }

    /** Ends the thread; inputs still in the ring are not handled. */
    void stop() throws InterruptedException {
        mRunning = false;
        mThread.interrupt();
        mThread.join();
    }

    private void run() {
        try {
            runUntilStopped();
        } catch (RuntimeException | Error e) {
            FatalErrors.end(e);
        }
    }

    private void runUntilStopped() {
        runGuarded(() -> mNode.start(System.nanoTime(), mEffects));
        mClockJumpDetector = ClockJumpDetector.create(System::currentTimeMillis, System.nanoTime());
        while (mRunning) {
            runGuarded(this::runRound);
        }
    }

    private void runRound() {
        reportClockJump();
        int handled = mInputs.drain(this::handle, MAX_INPUTS_PER_ROUND);
        runGuarded(this::tickIfDue);
        if (mNode.isDrained()) {
            mDrained.countDown();
        }
        if (handled == 0) {
            park();
        }
    }

    /**
     * Reports a possible suspension of the process before the next inputs and timers, which the
     * node might otherwise handle with expired leases.
     */
    private void reportClockJump() {
        mClockJumpDetector
                .jump(System.nanoTime())
                .ifPresent(nanos -> handle(new Input.ClockJumped(nanos)));
    }

    private void handle(Input input) {
        runGuarded(
                () -> {
                    mObserver.accept(input);
                    mNode.handle(input, System.nanoTime(), mEffects);
                });
    }

    private void tickIfDue() {
        long now = System.nanoTime();
        long next = mNode.nextTickNanos();
        if (next != Node.NEVER && next - now <= 0) {
            mNode.tick(now, mEffects);
        }
    }

    private void park() {
        long next = mNode.nextTickNanos();
        long wait = next == Node.NEVER ? MAX_PARK_NANOS : next - System.nanoTime();
        if (wait > 0) {
            mInputs.awaitInput(Math.min(wait, MAX_PARK_NANOS));
        }
    }

    /**
     * Runs a step and logs its exception or error. One failing input must not end the thread,
     * because the host would stop responding. A fatal error ends the process.
     */
    private void runGuarded(Runnable step) {
        try {
            step.run();
        } catch (RuntimeException | Error e) {
            FatalErrors.endIfFatal(e);
            mEffects.log(EventCode.DUTY_FAILED, EventLog.describe(e));
            // A step that fails each time must not occupy the processor.
            LockSupport.parkNanos(FAILURE_PAUSE_NANOS);
        }
    }
}
