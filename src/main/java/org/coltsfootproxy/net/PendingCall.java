package org.coltsfootproxy.net;

import io.netty.util.concurrent.ScheduledFuture;
import org.coltsfootproxy.base.Ran;
import org.coltsfootproxy.node.Effect;

/** A call to the target and its state. Confined to its pool's event loop. */
final class PendingCall {
    /** The state of a call. */
    enum State {
        /** Nothing has been written to the target. */
        UNSENT(Ran.NO),
        /** Some of the request may have been written. */
        SENT(Ran.MAYBE),
        /** The target's response has started. */
        ANSWERED(Ran.YES),
        /** The call has ended; no further input follows. */
        ENDED(Ran.YES);

        private final Ran mRan;

        State(Ran ran) {
            mRan = ran;
        }

        /** Returns whether the target may have run the request if the call fails in this state. */
        Ran ran() {
            return mRan;
        }
    }

    private final Effect.TargetCall mRequest;
    private final long mCreatedNanos;
    private State mState = State.UNSENT;
    private TargetConnection mConnection;
    private ScheduledFuture<?> mTimer;

    private PendingCall(Effect.TargetCall request, long createdNanos) {
        mRequest = request;
        mCreatedNanos = createdNanos;
    }

    /**
     * Returns a pending call that has not been sent.
     *
     * @param createdNanos when it was decided to send the call
     */
    static PendingCall of(Effect.TargetCall request, long createdNanos) {
        return new PendingCall(request, createdNanos);
    }

    /** Returns the request to send. */
    Effect.TargetCall request() {
        return mRequest;
    }

    /** Returns the number by which inputs and effects refer to this call. */
    long callId() {
        return mRequest.call();
    }

    /** Returns the time since it was decided to send the call. */
    long elapsedNanos() {
        return System.nanoTime() - mCreatedNanos;
    }

    /** Returns whether the call is no longer to be sent, because a connection took too long. */
    boolean isLate() {
        long limit = mRequest.sendWithinNanos();
        return limit > 0 && elapsedNanos() >= limit;
    }

    State state() {
        return mState;
    }

    void advanceTo(State state) {
        mState = state;
    }

    boolean isEnded() {
        return mState == State.ENDED;
    }

    /** Sets the connection that carries the call. */
    void assignTo(TargetConnection connection) {
        mConnection = connection;
    }

    /** Sets the timeout of the call, which {@link #end} cancels. */
    void setTimer(ScheduledFuture<?> timer) {
        mTimer = timer;
    }

    /** Ends the call, cancels its timer and releases its connection without closing it. */
    void end() {
        mState = State.ENDED;
        mTimer.cancel(false);
        mConnection = null;
    }

    /** Ends the call and closes the connection that carries it, if any. */
    void abort() {
        TargetConnection connection = mConnection;
        end();
        if (connection != null) {
            connection.close();
        }
    }
}
