package org.coltsfootproxy.runtime;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.Collections;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicIntegerArray;
import java.util.function.Consumer;
import org.coltsfootproxy.base.ErrorKind;
import org.coltsfootproxy.base.FatalErrors;
import org.coltsfootproxy.base.ProxyException;
import org.coltsfootproxy.node.Effect;
import org.coltsfootproxy.node.Input;
import org.coltsfootproxy.storage.LogStore;

/**
 * Writes a node's durable state on its own thread, with one sync per group for all pending writes.
 *
 * <p>After a write of a group fails, the group's writes that were issued before the node learned of
 * the failure are dropped, because the node treats them as lost.
 */
final class DiskWriter {
    private static final int RING_CAPACITY = 4_096;
    private static final int MAX_WRITES_PER_ROUND = 1_024;
    private static final long PARK_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final Map<Integer, LogStore> mStores;
    private final Consumer<Input> mNode;
    private final Ring<PendingWrite> mRing = Ring.create(RING_CAPACITY);
    private final AtomicIntegerArray mGenerations;
    private final Map<Integer, Integer> mFailedGenerations = new HashMap<>();
    private final Map<Integer, Long> mUnsyncedTokens = new HashMap<>();
    private final Thread mThread;
    private volatile boolean mRunning = true;

    /**
     * A queued write.
     *
     * @param generation number of failures of the group that the node knew of when it issued the
     *     write
     */
    private record PendingWrite(Effect.Persist persist, int generation) {}

    private DiskWriter(String name, Map<Integer, LogStore> stores, Consumer<Input> node) {
        mStores = Map.copyOf(stores);
        mNode = checkNotNull(node, "node");
        mGenerations = new AtomicIntegerArray(1 + Collections.max(stores.keySet()));
        mThread = new Thread(this::run, name);
        mRing.consumedBy(mThread);
    }

    /**
     * Returns a writer that is not yet started.
     *
     * @param stores the store of each group by group number, at least one
     * @param node receives the results of writes; may block
     */
    static DiskWriter create(String name, Map<Integer, LogStore> stores, Consumer<Input> node) {
        return new DiskWriter(name, stores, node);
    }

    void start() {
        mThread.start();
    }

    /** Queues a write; waits while the ring is full. */
    void write(Effect.Persist persist) {
        mRing.put(new PendingWrite(persist, mGenerations.get(persist.group())));
    }

    /** Counts the write failures that the node learns of. Called on the node's thread. */
    void observe(Input input) {
        if (input instanceof Input.PersistFailed failed) {
            mGenerations.incrementAndGet(failed.group());
        }
    }

    /** Writes what is queued, ends the thread and closes the stores. */
    void stop() throws InterruptedException {
        mRunning = false;
        mRing.wake();
        mThread.join();
        mStores.values().forEach(LogStore::close);
    }

    private void run() {
        try {
            runUntilStopped();
        } catch (RuntimeException | Error e) {
            // Without this thread the node would wait for its writes without end.
            FatalErrors.end(e);
        }
    }

    private void runUntilStopped() {
        boolean isWorking = true;
        while (isWorking) {
            int written = mRing.drain(this::apply, MAX_WRITES_PER_ROUND);
            syncAll();
            if (written == 0) {
                isWorking = mRunning;
                mRing.awaitElement(mRunning ? PARK_NANOS : 1);
            }
        }
    }

    private void apply(PendingWrite pending) {
        Effect.Persist persist = pending.persist();
        int group = persist.group();
        if (mFailedGenerations.getOrDefault(group, -1) == pending.generation()) {
            return;
        }
        try {
            mStores.get(group).apply(persist.write());
            mUnsyncedTokens.put(group, persist.token());
        } catch (ProxyException e) {
            sync(group);
            fail(group, pending.generation(), persist.token(), e);
        } catch (RuntimeException e) {
            fail(group, pending.generation(), persist.token(), damaged(e));
        }
    }

    private void syncAll() {
        mUnsyncedTokens.keySet().stream().sorted().toList().forEach(this::sync);
    }

    private void sync(int group) {
        Long token = mUnsyncedTokens.remove(group);
        if (token == null) {
            return;
        }
        try {
            mStores.get(group).sync();
            mNode.accept(new Input.Persisted(group, token));
        } catch (ProxyException e) {
            fail(group, mGenerations.get(group), token, e);
        } catch (RuntimeException e) {
            fail(group, mGenerations.get(group), token, damaged(e));
        }
    }

    /** Describes an unexpected exception of a store, of which it is unknown what was written. */
    private static ProxyException damaged(RuntimeException e) {
        return ProxyException.of(ErrorKind.STORAGE_DAMAGED, EventLog.describe(e), e);
    }

    private void fail(int group, int generation, long token, ProxyException e) {
        mFailedGenerations.put(group, generation);
        mNode.accept(new Input.PersistFailed(group, token, e.kind(), e.getMessage()));
    }
}
