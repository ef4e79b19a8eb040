package org.coltsfootproxy.runtime;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.coltsfootproxy.base.EventCode;
import org.coltsfootproxy.node.Effects;
import org.coltsfootproxy.node.Input;
import org.coltsfootproxy.node.Node;

/**
 * The duty that runs a node's decisions on a thread of its own.
 *
 * <p>Inputs come through a bounded ring, effects go to {@link EffectRouter} in the order in which
 * the node gave them. The thread parks until the next input or timer.
 */
final class NodeDuty {
    /** Inputs that the ring holds. */
    static final int RING_CAPACITY = 16_384;

    /** Inputs handled before timers are looked at again. */
    private static final int BATCH = 256;

    /** Longest time that the duty parks, in nanoseconds. */
    private static final long LONGEST_PARK_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final Node mNode;
    private final Effects mEffects;
    private final Consumer<Input> mObserver;
    private final Ring<Input> mRing = Ring.create(RING_CAPACITY);
    private final CountDownLatch mDrained = new CountDownLatch(1);
    private final Thread mThread;
    private volatile boolean mRunning = true;
    private ClockWatch mClocks;

    private NodeDuty(String name, Node node, Effects effects, Consumer<Input> observer) {
        mNode = checkNotNull(node, "node");
        mEffects = checkNotNull(effects, "effects");
        mObserver = checkNotNull(observer, "observer");
        mThread = new Thread(this::run, name);
        mRing.consumedBy(mThread);
    }

    /**
     * Returns the duty of {@code node}, not yet started.
     *
     * @param observer shown each input on the duty's thread before the node handles it
     */
    static NodeDuty create(String name, Node node, Effects effects, Consumer<Input> observer) {
        return new NodeDuty(name, node, effects, observer);
    }

    void start() {
        mThread.start();
    }

    /** Hands an input to the node; returns false if the ring is full. */
    boolean offer(Input input) {
        return mRing.offer(input);
    }

    /** Hands an input to the node, waiting while the ring is full. */
    boolean put(Input input) {
        return mRing.put(input);
    }

    /** Waits until a planned stop has finished; returns false if it took too long. */
    boolean awaitDrained(long timeoutNanos) throws InterruptedException {
        return mDrained.await(timeoutNanos, TimeUnit.NANOSECONDS);
    }

    /** Ends the thread. */
    void stop() throws InterruptedException {
        mRunning = false;
        mThread.interrupt();
        mThread.join();
    }

    private void run() {
        guard(() -> mNode.start(System.nanoTime(), mEffects));
        mClocks = ClockWatch.create(System::currentTimeMillis, System.nanoTime());
        while (mRunning) {
            checkClocks();
            int handled = mRing.drain(this::handle, BATCH);
            guard(this::tickIfDue);
            if (mNode.isDrained()) {
                mDrained.countDown();
            }
            if (handled == 0) {
                park();
            }
        }
    }

    /** The node must know that it stood still before it decides anything else. */
    private void checkClocks() {
        mClocks.jump(System.nanoTime()).ifPresent(nanos -> handle(new Input.ClockJumped(nanos)));
    }

    private void handle(Input input) {
        guard(
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
        long wait = next == Node.NEVER ? LONGEST_PARK_NANOS : next - System.nanoTime();
        if (wait > 0) {
            mRing.awaitElement(Math.min(wait, LONGEST_PARK_NANOS));
        }
    }

    /** One input that fails must not end the duty, or the host would fall silent. */
    private void guard(Runnable step) {
        try {
            step.run();
        } catch (RuntimeException e) {
            mEffects.log(EventCode.DUTY_FAILED, EventLog.describe(e));
        }
    }
}
