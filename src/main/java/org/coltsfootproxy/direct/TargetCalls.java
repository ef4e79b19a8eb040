package org.coltsfootproxy.direct;

import java.util.HashMap;
import java.util.Map;
import org.coltsfootproxy.node.Effect;
import org.coltsfootproxy.node.Effects;
import org.coltsfootproxy.node.Input;

/** The calls to targets that are under way, each with the part of the host that waits for it. */
public final class TargetCalls {
    private final Map<Long, Handler> mOpen = new HashMap<>();
    private long mLastCall;

    /** Told what comes of one call; after {@link #ended} or {@link #failed} nothing more comes. */
    public interface Handler {
        /** Status and headers came. */
        void head(Input.TargetHead head, long nowNanos, Effects out);

        /** A piece of the body came. */
        void chunk(byte[] bytes, long nowNanos, Effects out);

        /** The answer is whole. */
        void ended(long nowNanos, Effects out);

        /** There will be no whole answer. */
        void failed(Input.TargetFailed failure, long nowNanos, Effects out);
    }

    private TargetCalls() {}

    /** Returns an object without open calls. */
    public static TargetCalls create() {
        return new TargetCalls();
    }

    /** Returns the number for the next call. */
    long nextCall() {
        return mLastCall + 1;
    }

    /** Begins a call, which carries {@link #nextCall()}. */
    void start(String address, Effect.TargetCall call, Handler handler, Effects out) {
        mLastCall = call.call();
        mOpen.put(call.call(), handler);
        out.add(new Effect.CallTarget(address, call));
    }

    /** Gives a call up: its connection is closed. */
    void cancel(long call, Effects out) {
        if (mOpen.remove(call) != null) {
            out.add(new Effect.TargetCancel(call));
        }
    }

    /** Lets the rest of an answer pass unread, so that its connection can be used again. */
    void ignore(long call) {
        mOpen.remove(call);
    }

    /** Hands an input to the part that waits for it; returns false if it is of another kind. */
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
                handler.ended(nowNanos, out);
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
