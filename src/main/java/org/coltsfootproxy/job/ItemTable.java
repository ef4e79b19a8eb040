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
import org.coltsfootproxy.message.ItemResult;
import org.coltsfootproxy.message.ItemState;
import org.coltsfootproxy.message.JobItem;
import org.coltsfootproxy.message.PartialOutput;

/**
 * The items of one job in arrays by place; what only few items have is kept apart.
 *
 * <p>An item costs 13 bytes here, its payload and the payload's array header.
 */
final class ItemTable {
    /** Bytes that quotas count for an item besides its payload. */
    static final int OVERHEAD_BYTES = 40;

    private static final ItemState[] STATES = ItemState.values();
    private static final int FIRST_CAPACITY = 16;
    private static final byte[] NOTHING = {};

    private final int[] mCounts = new int[STATES.length];
    private final Int2ObjectHashMap<Trouble> mTroubles = new Int2ObjectHashMap<>();
    private final Int2ObjectHashMap<Run> mRuns = new Int2ObjectHashMap<>();
    private final Int2ObjectHashMap<PartialOutput> mMade = new Int2ObjectHashMap<>();
    private final IntArrayList mEnded = new IntArrayList();
    private byte[] mStates = new byte[FIRST_CAPACITY];
    private long[] mHashes = new long[FIRST_CAPACITY];
    private byte[][] mPayloads = new byte[FIRST_CAPACITY][];
    private int mSize;
    private long mBytes;

    /** Failures of an item: how many, when it may run again, the last error and its lease. */
    record Trouble(int attempts, long notBeforeEpochMillis, String error, long fence) {}

    /** The one run that was allowed of an item that may not be repeated. */
    record Run(long fence, String agent) {}

    int size() {
        return mSize;
    }

    /** Returns the number of items in a state. */
    int count(ItemState state) {
        return mCounts[state.ordinal()];
    }

    /** Returns the number of items that may still run. */
    int open() {
        return count(ItemState.WAITING) + count(ItemState.STARTED);
    }

    /** Returns payload bytes and overhead of all items. */
    long bytes() {
        return mBytes;
    }

    /** Returns the bytes that an item would add. */
    static long bytesOf(JobItem item) {
        return item.body().length + item.id().length() + OVERHEAD_BYTES;
    }

    void add(JobItem item) {
        restore(ItemEvent.CHART.initial(), hash(item), ItemPayload.of(item), null, null);
    }

    /** Adds an item as a snapshot tells it; {@code trouble} and {@code run} may be null. */
    void restore(ItemState state, long hash, byte[] payload, Trouble trouble, Run run) {
        if (mSize == mStates.length) {
            int capacity = mSize + (mSize >> 1);
            mStates = Arrays.copyOf(mStates, capacity);
            mHashes = Arrays.copyOf(mHashes, capacity);
            mPayloads = Arrays.copyOf(mPayloads, capacity);
        }
        mStates[mSize] = (byte) state.ordinal();
        mHashes[mSize] = hash;
        mPayloads[mSize] = payload;
        if (trouble != null) {
            mTroubles.put(mSize, trouble);
        }
        if (run != null) {
            mRuns.put(mSize, run);
        }
        mCounts[state.ordinal()]++;
        mBytes += payload.length + OVERHEAD_BYTES;
        mSize++;
    }

    /** Gives back memory kept for items that don't come. */
    void trim() {
        mStates = Arrays.copyOf(mStates, mSize);
        mHashes = Arrays.copyOf(mHashes, mSize);
        mPayloads = Arrays.copyOf(mPayloads, mSize);
    }

    /** Tells whether the item was received with this content. */
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

    /** Moves an item along its state chart. */
    void step(int index, ItemEvent event) {
        ItemState state = ItemEvent.CHART.next(state(index), event);
        mCounts[state(index).ordinal()]--;
        mCounts[state.ordinal()]++;
        mStates[index] = (byte) state.ordinal();
        if (hasResult(state)) {
            mEnded.addInt(index);
        }
    }

    private static boolean hasResult(ItemState state) {
        return state == ItemState.DONE || state == ItemState.FAILED;
    }

    /** Returns how many items have a result, done or failed for good. */
    int ended() {
        return mEnded.size();
    }

    /** Returns the item at a position in the order in which items got their results. */
    int endedAt(int position) {
        return mEnded.getInt(position);
    }

    /** Restores the order in which items got their results. */
    void restoreEnded(int index) {
        mEnded.addInt(index);
    }

    /** Returns the index of the item with the given id. */
    OptionalInt indexOf(String id) {
        return IntStream.range(0, mSize)
                .filter(i -> ItemPayload.id(mPayloads[i]).equals(id))
                .findFirst();
    }

    /** Replaces the body of the call by the result's status and body. */
    void setResult(int index, int status, byte[] body) {
        setMade(index, PartialOutput.NONE);
        byte[] payload = ItemPayload.withContent(mPayloads[index], status, body);
        mBytes += payload.length - mPayloads[index].length;
        mPayloads[index] = payload;
    }

    /** Drops the body of a call that will not be made. */
    void dropBody(int index) {
        setResult(index, 0, NOTHING);
    }

    /** Returns the failures of an item, or null if it had none. */
    Trouble trouble(int index) {
        return mTroubles.get(index);
    }

    int attempts(int index) {
        Trouble trouble = mTroubles.get(index);
        return trouble == null ? 0 : trouble.attempts();
    }

    /** Tells whether a failure under this or a later lease was recorded. */
    boolean hasFailedUnder(int index, long fence) {
        Trouble trouble = mTroubles.get(index);
        return trouble != null && trouble.fence() >= fence;
    }

    void setTrouble(int index, Trouble trouble) {
        mTroubles.put(index, trouble);
    }

    /** Returns the run that was allowed, or null. */
    Run run(int index) {
        return mRuns.get(index);
    }

    void setRun(int index, Run run) {
        mRuns.put(index, run);
    }

    void clearRun(int index) {
        mRuns.remove(index);
    }

    /** Returns the output that runs of an item which has not ended have made. */
    PartialOutput made(int index) {
        PartialOutput made = mMade.get(index);
        return made == null ? PartialOutput.NONE : made;
    }

    /** Adds a piece to the output that runs have made. */
    void addMade(int index, PartialOutput piece) {
        byte[] bytes = Bytes.concat(made(index).bytes(), piece.bytes());
        setMade(index, new PartialOutput(bytes, piece.lastEvent()));
    }

    void setMade(int index, PartialOutput made) {
        mBytes += made.bytes().length - made(index).bytes().length;
        if (made.bytes().length == 0) {
            mMade.remove(index);
        } else {
            mMade.put(index, made);
        }
    }

    /** Returns what became of an item; its body only once it has ended with an answer. */
    ItemResult result(int index) {
        ItemState state = state(index);
        byte[] payload = mPayloads[index];
        boolean hasAnswer = hasResult(state);
        Trouble trouble = mTroubles.get(index);
        Run run = mRuns.get(index);
        return new ItemResult(
                index,
                ItemPayload.id(payload),
                state,
                hasAnswer ? ItemPayload.status(payload) : 0,
                hasAnswer ? ItemPayload.content(payload) : NOTHING,
                trouble == null ? "" : trouble.error(),
                attempts(index),
                state == ItemState.MAY_HAVE_RUN && run != null ? run.fence() : 0);
    }
}
