package org.coltsfootproxy.direct;

import java.util.HashMap;
import java.util.Map;
import java.util.function.LongConsumer;
import org.coltsfootproxy.node.Effect;
import org.coltsfootproxy.node.Effects;
import org.coltsfootproxy.node.Input;

/** The calls in flight to targets, each with the handler of its answer. */
public final class TargetCalls {
    /** Bytes of an ignored answer above which its connection is closed instead of reused. */
    static final int MAX_IGNORED_BYTES = 64 << 10;

    private final Map<Long, Handler> mOpen = new HashMap<>();
    private long mLastCall;

    /** Handles the answer to one call; {@link #ended} or {@link #failed} is called last. */
    public interface Handler {
        /** Handles the status and headers. */
        void head(Input.TargetHead head, long nowNanos, Effects out);

        /** Handles a chunk of the body. */
        void chunk(byte[] bytes, long nowNanos, Effects out);

        /** Handles the end of an answer that has not failed. */
        void ended(Input.TargetEnd end, long nowNanos, Effects out);

        /** Handles the failure of the call; no complete answer follows. */
        void failed(Input.TargetFailed failure, long nowNanos, Effects out);
    }

    private TargetCalls() {}

    /** Returns an instance without calls in flight. */
    public static TargetCalls create() {
        return new TargetCalls();
    }

    /** Returns the number for the next call. */
    long nextCall() {
        return mLastCall + 1;
    }

    /** Starts a call, whose number is {@link #nextCall()}. */
    void start(String address, Effect.TargetCall call, Handler handler, Effects out) {
        mLastCall = call.call();
        mOpen.put(call.call(), handler);
        out.add(new Effect.AddressedTargetCall(address, call));
    }

    /** Cancels a call and closes its connection. */
    void cancel(long call, Effects out) {
        if (mOpen.remove(call) != null) {
            out.add(new Effect.TargetCancel(call));
        }
    }

    /**
     * Discards the rest of an answer, so that its connection can be reused; if it has more than
     * {@link #MAX_IGNORED_BYTES}, the call is cancelled.
     *
     * @param cancelled called with the time if the call is cancelled
     */
    void ignore(long call, LongConsumer cancelled) {
        mOpen.computeIfPresent(call, (number, handler) -> new Discarder(call, cancelled));
    }

    /** Discards an answer. */
    private final class Discarder implements Handler {
        private final long mCall;
        private final LongConsumer mCancelled;
        private long mBytes;

        Discarder(long call, LongConsumer cancelled) {
            mCall = call;
            mCancelled = cancelled;
        }

        @Override
        public void head(Input.TargetHead head, long nowNanos, Effects out) {
            // The head is not needed.
        }

        @Override
        public void chunk(byte[] bytes, long nowNanos, Effects out) {
            mBytes += bytes.length;
            if (mBytes > MAX_IGNORED_BYTES) {
                cancel(mCall, out);
                mCancelled.accept(nowNanos);
            }
        }

        @Override
        public void ended(Input.TargetEnd end, long nowNanos, Effects out) {
            // Nobody waits for the end.
        }

        @Override
        public void failed(Input.TargetFailed failure, long nowNanos, Effects out) {
            // Nobody waits for the answer.
        }
    }

    /** Passes an input of a target to its handler; returns false for any other input. */
    public boolean handle(Input input, long nowNanos, Effects out) {
        if (input instanceof Input.TargetHead head) {
            Handler handler = mOpen.get(head.call());
            if (handler != null) {
                handler.head(head, nowNanos, out);
            }
        } else if (input instanceof Input.TargetChunk chunk) {
            Handler handler = mOpen.get(chunk.call());
            if (handler != null) {
                handler.chunk(chunk.bytes(), nowNanos, out);
            }
        } else if (input instanceof Input.TargetEnd end) {
            Handler handler = mOpen.remove(end.call());
            if (handler != null) {
                handler.ended(end, nowNanos, out);
            }
        } else if (input instanceof Input.TargetFailed failed) {
            Handler handler = mOpen.remove(failed.call());
            if (handler != null) {
                handler.failed(failed, nowNanos, out);
            }
        } else {
            return false;
        }
        return true;
    }
}
