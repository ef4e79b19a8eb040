package org.coltsfootproxy.agent;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import org.coltsfootproxy.message.CallMessage;

/**
 * The last part of an answer, kept so that an entry whose connection broke can go on with it.
 *
 * <p>Memory is bounded by {@link #MAX_BYTES}; the oldest pieces go first.
 */
final class AnswerLog {
    /** Most bytes of pieces kept for one answer. */
    static final int MAX_BYTES = 256 << 10;

    private final Deque<CallMessage.AnswerChunk> mChunks = new ArrayDeque<>();
    private CallMessage.AnswerHead mHead;
    private CallMessage mEnd;
    private int mNextChunk;
    private int mBytes;

    void head(CallMessage.AnswerHead head) {
        mHead = head;
    }

    /** Returns the number of the next piece. */
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
     * Returns what an entry is missing.
     *
     * @param headSeen whether the entry has the head
     * @param nextChunk number of the first piece that the entry misses
     * @return empty if a missing piece is no longer kept
     */
    Optional<List<CallMessage>> since(boolean headSeen, int nextChunk) {
        int oldest = mChunks.isEmpty() ? mNextChunk : mChunks.peek().sequence();
        if (nextChunk < oldest) {
            return Optional.empty();
        }
        List<CallMessage> missing = new ArrayList<>();
        if (mHead != null && !headSeen) {
            missing.add(mHead);
        }
        mChunks.stream().filter(chunk -> chunk.sequence() >= nextChunk).forEach(missing::add);
        if (mEnd != null) {
            missing.add(mEnd);
        }
        return Optional.of(missing);
    }
}
