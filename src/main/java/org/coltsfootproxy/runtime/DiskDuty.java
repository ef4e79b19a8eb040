package org.coltsfootproxy.runtime;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.Collections;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicIntegerArray;
import java.util.function.Consumer;
import org.coltsfootproxy.base.ProxyException;
import org.coltsfootproxy.node.Effect;
import org.coltsfootproxy.node.Input;
import org.coltsfootproxy.storage.LogStore;

/**
 * The duty that writes to the disk on a thread of its own: one sync for all writes that wait.
 *
 * <p>After a write of a group failed, the group's writes that were issued before the node learned
 * of it are dropped, since the node counts them as lost.
 */
final class DiskDuty {
    private static final int RING_CAPACITY = 4_096;
    private static final int BATCH = 1_024;
    private static final long PARK_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final Map<Integer, LogStore> mStores;
    private final Consumer<Input> mNode;
    private final Ring<Task> mRing = Ring.create(RING_CAPACITY);
    private final AtomicIntegerArray mGenerations;
    private final Map<Integer, Integer> mFailedGeneration = new HashMap<>();
    private final Map<Integer, Long> mUnsynced = new HashMap<>();
    private final Thread mThread;
    private volatile boolean mRunning = true;

    /** A write with the number of failures that the node knew of when it issued it. */
    private record Task(Effect.Persist persist, int generation) {}

    private DiskDuty(String name, Map<Integer, LogStore> stores, Consumer<Input> node) {
        mStores = Map.copyOf(stores);
        mNode = checkNotNull(node, "node");
        mGenerations = new AtomicIntegerArray(1 + Collections.max(stores.keySet()));
        mThread = new Thread(this::run, name);
        mRing.consumedBy(mThread);
    }

    /**
     * Returns the duty, not yet started.
     *
     * @param stores the store of each group by its number, at least one
     * @param node told what was synced and what failed; it may wait
     */
    static DiskDuty create(String name, Map<Integer, LogStore> stores, Consumer<Input> node) {
        return new DiskDuty(name, stores, node);
    }

    void start() {
        mThread.start();
    }

    /** Queues a write; waits while the ring is full. */
    void write(Effect.Persist persist) {
        mRing.put(new Task(persist, mGenerations.get(persist.group())));
    }

    /** Notes, on the node's thread, an input that the node is about to handle. */
    void observe(Input input) {
        if (input instanceof Input.PersistFailed failed) {
            mGenerations.incrementAndGet(failed.group());
        }
    }

    /** Ends the thread after what waits was written, and closes the stores. */
    void stop() throws InterruptedException {
        mRunning = false;
        mRing.wake();
        mThread.join();
        mStores.values().forEach(LogStore::close);
    }

    private void run() {
        boolean isWorking = true;
        while (isWorking) {
            int written = mRing.drain(this::apply, BATCH);
            syncAll();
            if (written == 0) {
                isWorking = mRunning;
                mRing.awaitElement(mRunning ? PARK_NANOS : 1);
            }
        }
    }

    private void apply(Task task) {
        Effect.Persist persist = task.persist();
        int group = persist.group();
        if (mFailedGeneration.getOrDefault(group, -1) == task.generation()) {
            return;
        }
        try {
            mStores.get(group).apply(persist.write());
            mUnsynced.put(group, persist.token());
        } catch (ProxyException e) {
            sync(group);
            fail(group, task.generation(), persist.token(), e);
        }
    }

    private void syncAll() {
        mUnsynced.keySet().stream().sorted().toList().forEach(this::sync);
    }

    private void sync(int group) {
        Long token = mUnsynced.remove(group);
        if (token == null) {
            return;
        }
        try {
            mStores.get(group).sync();
            mNode.accept(new Input.Persisted(group, token));
        } catch (ProxyException e) {
            fail(group, mGenerations.get(group), token, e);
        }
    }

    private void fail(int group, int generation, long token, ProxyException e) {
        mFailedGeneration.put(group, generation);
        mNode.accept(new Input.PersistFailed(group, token, e.kind(), e.getMessage()));
    }
}
