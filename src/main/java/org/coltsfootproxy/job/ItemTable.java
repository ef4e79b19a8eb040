package org.coltsfootproxy.job;

import static com.google.common.base.Preconditions.checkElementIndex;

import com.google.common.hash.Hashing;
import com.google.common.primitives.Bytes;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.OptionalInt;
import java.util.stream.IntStream;
import org.agrona.collections.Int2ObjectHashMap;
import org.agrona.collections.IntArrayList;
import org.coltsfootproxy.message.ItemProgress;
import org.coltsfootproxy.message.ItemResult;
import org.coltsfootproxy.message.ItemState;
import org.coltsfootproxy.message.JobItem;
import org.coltsfootproxy.message.PartialOutput;

/**
 * The items of one job, in arrays by index. Attributes that few items have are kept in maps.
 *
 * <p>An item takes 13 bytes in the arrays, plus its payload and the payload's array header.
 */
final class ItemTable {
    /** Bytes that quotas count for an item in addition to its payload. */
    static final int OVERHEAD_BYTES = 40;

    private static final ItemState[] STATES = ItemState.values();
    private static final int INITIAL_CAPACITY = 16;
    private static final byte[] NO_BODY = {};

    private final int[] mCounts = new int[STATES.length];
    private final Int2ObjectHashMap<FailureRecord> mFailures = new Int2ObjectHashMap<>();
    private final Int2ObjectHashMap<Run> mRuns = new Int2ObjectHashMap<>();
    private final Int2ObjectHashMap<KeptOutput> mKeptOutputs = new Int2ObjectHashMap<>();
    private final IntArrayList mResultOrder = new IntArrayList();
    private byte[] mStates = new byte[INITIAL_CAPACITY];
    private long[] mHashes = new long[INITIAL_CAPACITY];
    private byte[][] mPayloads = new byte[INITIAL_CAPACITY][];
    private int mSize;
    private long mBytes;

    /**
     * Failures of an item.
     *
     * @param attempts failed attempts
     * @param notBeforeEpochMillis end of the backoff
     * @param error last error
     * @param fence fencing number of the lease under which the last failure occurred
     */
    record FailureRecord(int attempts, long notBeforeEpochMillis, String error, long fence) {}

    /** The run of an item that may not be repeated, as its durable start recorded it. */
    record Run(long fence, String agent) {}

    int size() {
        return mSize;
    }

    int count(ItemState state) {
        return mCounts[state.ordinal()];
    }

    /** Returns the number of items that wait or have started. */
    int openCount() {
        return count(ItemState.WAITING) + count(ItemState.STARTED);
    }

    /** Returns the bytes of all items: payloads, partial output and overhead. */
    long bytes() {
        return mBytes;
    }

    /** Returns the bytes that quotas count for an item that is to be added. */
    static long bytesOf(JobItem item) {
        return item.body().length + item.id().length() + OVERHEAD_BYTES;
    }

    void add(JobItem item) {
        restore(ItemEvent.CHART.initial(), hash(item), ItemPayload.of(item), null, null);
    }

    /** Adds an item restored from a snapshot; {@code failure} and {@code run} may be null. */
    void restore(ItemState state, long hash, byte[] payload, FailureRecord failure, Run run) {
        if (mSize == mStates.length) {
            int capacity = mSize + (mSize >> 1);
            mStates = Arrays.copyOf(mStates, capacity);
            mHashes = Arrays.copyOf(mHashes, capacity);
            mPayloads = Arrays.copyOf(mPayloads, capacity);
        }
        mStates[mSize] = (byte) state.ordinal();
        mHashes[mSize] = hash;
        mPayloads[mSize] = payload;
        if (failure != null) {
            mFailures.put(mSize, failure);
        }
        if (run != null) {
            mRuns.put(mSize, run);
        }
        mCounts[state.ordinal()]++;
        mBytes += payload.length + OVERHEAD_BYTES;
        mSize++;
    }

    /** Trims the arrays to the number of items. */
    void trim() {
        mStates = Arrays.copyOf(mStates, mSize);
        mHashes = Arrays.copyOf(mHashes, mSize);
        mPayloads = Arrays.copyOf(mPayloads, mSize);
    }

    /** Returns whether the item at the index has the same id and body, by hash. */
    boolean isSame(int index, JobItem item) {
        return mHashes[checkElementIndex(index, mSize)] == hash(item);
    }

    private static long hash(JobItem item) {
        return Hashing.sha256()
                .newHasher()
                .putInt(item.id().length())
                .putString(item.id(), StandardCharsets.UTF_8)
                .putBytes(item.body())
                .hash()
                .asLong();
    }

    long hashAt(int index) {
        return mHashes[index];
    }

    byte[] payload(int index) {
        return mPayloads[index];
    }

    ItemState state(int index) {
        return STATES[mStates[checkElementIndex(index, mSize)]];
    }

    /** Applies an event to the state of an item. */
    void transition(int index, ItemEvent event) {
        ItemState state = ItemEvent.CHART.next(state(index), event);
        mCounts[state(index).ordinal()]--;
        mCounts[state.ordinal()]++;
        mStates[index] = (byte) state.ordinal();
        if (hasResult(state)) {
            mResultOrder.addInt(index);
        }
    }

    private static boolean hasResult(ItemState state) {
        return state == ItemState.DONE || state == ItemState.FAILED;
    }

    /** Returns the number of items with a result, those that are done or failed. */
    int resultCount() {
        return mResultOrder.size();
    }

    /** Returns the index of the item at a position in the order in which items ended. */
    int resultAt(int position) {
        return mResultOrder.getInt(position);
    }

    /** Appends an item to the order in which items ended, from a snapshot. */
    void restoreResultOrder(int index) {
        mResultOrder.addInt(index);
    }

    OptionalInt indexOf(String id) {
        return IntStream.range(0, mSize)
                .filter(i -> ItemPayload.id(mPayloads[i]).equals(id))
                .findFirst();
    }

    /** Replaces the body of the call by the result and drops the partial output. */
    void setResult(int index, int status, byte[] body) {
        setKeptOutput(index, KeptOutput.NONE);
        byte[] payload = ItemPayload.withContent(mPayloads[index], status, body);
        mBytes += payload.length - mPayloads[index].length;
        mPayloads[index] = payload;
    }

    /** Drops the body of a call that will not be made. */
    void dropBody(int index) {
        setResult(index, 0, NO_BODY);
    }

    /** Returns the failures of an item, or null if there are none. */
    FailureRecord failure(int index) {
        return mFailures.get(index);
    }

    int attempts(int index) {
        FailureRecord failure = mFailures.get(index);
        return failure == null ? 0 : failure.attempts();
    }

    /**
     * Returns whether a failure under a lease with this or a higher fencing number was recorded.
     */
    boolean hasFailedUnder(int index, long fence) {
        FailureRecord failure = mFailures.get(index);
        return failure != null && failure.fence() >= fence;
    }

    void setFailure(int index, FailureRecord failure) {
        mFailures.put(index, failure);
    }

    /** Returns the run that a durable start recorded, or null. */
    Run run(int index) {
        return mRuns.get(index);
    }

    void setRun(int index, Run run) {
        mRuns.put(index, run);
    }

    void clearRun(int index) {
        mRuns.remove(index);
    }

    /** Returns the partial output of an item that has not ended. */
    PartialOutput partialOutput(int index) {
        return keptOutput(index).output();
    }

    /** Returns the partial output of an item and its run. */
    KeptOutput keptOutput(int index) {
        KeptOutput kept = mKeptOutputs.get(index);
        return kept == null ? KeptOutput.NONE : kept;
    }

    /** Appends a piece to the partial output. */
    void appendPartialOutput(ItemProgress progress) {
        int index = progress.lease().item();
        PartialOutput piece = progress.piece();
        byte[] bytes = Bytes.concat(partialOutput(index).bytes(), piece.bytes());
        PartialOutput output =
                new PartialOutput(bytes, piece.lastEvent(), piece.version(), piece.service());
        setKeptOutput(index, new KeptOutput(output, progress.lease().fence(), progress.restarts()));
    }

    void setKeptOutput(int index, KeptOutput kept) {
        mBytes += kept.output().bytes().length - partialOutput(index).bytes().length;
        if (kept.output().bytes().length == 0) {
            mKeptOutputs.remove(index);
        } else {
            mKeptOutputs.put(index, kept);
        }
    }

    /** Returns the result of an item; status and body are set only if it is done or failed. */
    ItemResult result(int index) {
        ItemState state = state(index);
        byte[] payload = mPayloads[index];
        boolean hasAnswer = hasResult(state);
        FailureRecord failure = mFailures.get(index);
        Run run = mRuns.get(index);
        return new ItemResult(
                index,
                ItemPayload.id(payload),
                state,
                hasAnswer ? ItemPayload.status(payload) : 0,
                hasAnswer ? ItemPayload.content(payload) : NO_BODY,
                failure == null ? "" : failure.error(),
                attempts(index),
                state == ItemState.MAY_HAVE_RUN && run != null ? run.fence() : 0);
    }
}
