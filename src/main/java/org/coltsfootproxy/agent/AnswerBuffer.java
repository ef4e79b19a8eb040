package org.coltsfootproxy.agent;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import org.coltsfootproxy.message.CallMessage;

/**
 * Keeps the last chunks of an answer, so that an entry can resume it after its connection was lost.
 *
 * <p>Memory is bounded by {@link #MAX_BYTES}; the oldest chunks are evicted first.
 */
final class AnswerBuffer {
    /** Maximum number of bytes of chunks kept for one answer. */
    static final int MAX_BYTES = 256 << 10;

    private final Deque<CallMessage.AnswerChunk> mChunks = new ArrayDeque<>();
    private CallMessage.AnswerHead mHead;
    private CallMessage mEnd;
    private int mNextChunk;
    private int mBytes;

    void head(CallMessage.AnswerHead head) {
        mHead = head;
    }

    /** Returns the sequence number of the next chunk. */
    int nextChunk() {
        return mNextChunk;
    }

    void chunk(CallMessage.AnswerChunk chunk) {
        mChunks.add(chunk);
        mNextChunk++;
        mBytes += chunk.bytes().length;
        while (mBytes > MAX_BYTES && mChunks.size() > 1) {
            mBytes -= mChunks.remove().bytes().length;
        }
    }

    /** Keeps how the answer ended: {@code AnswerEnd} or {@code Failed}. */
    void end(CallMessage end) {
        mEnd = end;
    }

    /**
     * Returns the messages of the answer that an entry lacks.
     *
     * @param hasHead whether the entry has the head
     * @param nextChunk sequence number of the first chunk that the entry lacks
     * @return empty if such a chunk has been evicted
     */
    Optional<List<CallMessage>> since(boolean hasHead, int nextChunk) {
        int oldest = mChunks.isEmpty() ? mNextChunk : mChunks.peek().sequence();
        if (nextChunk < oldest) {
            return Optional.empty();
        }
        List<CallMessage> missing = new ArrayList<>();
        if (mHead != null && !hasHead) {
            missing.add(mHead);
        }
        mChunks.stream().filter(chunk -> chunk.sequence() >= nextChunk).forEach(missing::add);
        if (mEnd != null) {
            missing.add(mEnd);
        }
        return Optional.of(missing);
    }
}
