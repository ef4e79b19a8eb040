package org.coltsfootproxy.net;

import io.netty.util.concurrent.ScheduledFuture;
import org.coltsfootproxy.base.Ran;
import org.coltsfootproxy.node.Effect;

/** One call to the target and how far it got. Confined to its pool's event loop. */
final class TargetTask {
    /** How far a call got. */
    enum Step {
        /** Nothing was written to the target. */
        UNSENT(Ran.NO),
        /** Some of the request may have been written. */
        SENT(Ran.MAYBE),
        /** The target's answer has begun. */
        ANSWERED(Ran.YES),
        /** Nothing follows. */
        ENDED(Ran.YES);

        private final Ran mRan;

        Step(Ran ran) {
            mRan = ran;
        }

        /** Returns what is known about the request if it ends here. */
        Ran ran() {
            return mRan;
        }
    }

    private final Effect.TargetCall mRequest;
    private Step mStep = Step.UNSENT;
    private TargetConnection mConnection;
    private ScheduledFuture<?> mTimer;

    private TargetTask(Effect.TargetCall request) {
        mRequest = request;
    }

    /** Returns the task of a call that has not been sent. */
    static TargetTask of(Effect.TargetCall request) {
        return new TargetTask(request);
    }

    /** Returns what to send. */
    Effect.TargetCall request() {
        return mRequest;
    }

    /** Returns the number that inputs name. */
    long call() {
        return mRequest.call();
    }

    /** Returns how far the call got. */
    Step step() {
        return mStep;
    }

    /** Notes how far the call got. */
    void advance(Step step) {
        mStep = step;
    }

    /** Tells whether nothing follows. */
    boolean isEnded() {
        return mStep == Step.ENDED;
    }

    /** Notes the connection that carries the call. */
    void carriedBy(TargetConnection connection) {
        mConnection = connection;
    }

    /** Sets the timer that ends the call. */
    void timer(ScheduledFuture<?> timer) {
        mTimer = timer;
    }

    /** Ends the call; its timer and connection are let go. */
    void end() {
        mStep = Step.ENDED;
        mTimer.cancel(false);
        mConnection = null;
    }

    /** Ends the call and closes the connection that carries it, if any does. */
    void abandon() {
        TargetConnection connection = mConnection;
        end();
        if (connection != null) {
            connection.close();
        }
    }
}
