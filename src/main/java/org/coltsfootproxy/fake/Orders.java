package org.coltsfootproxy.fake;

/** The orders of a simulated engine, which tell it which model to serve and in which role. */
final class Orders {
    private final boolean mFenced;
    private long mHighestFence;
    private State mState = new State(0, "base", "mixed");

    /**
     * The content of an order, and the state after it.
     *
     * @param fence fencing number of the order
     */
    record State(long fence, String model, String role) {}

    Orders(boolean fenced) {
        mFenced = fenced;
    }

    /**
     * Applies an order and returns true, or returns false if the engine is fenced and has seen a
     * higher fencing number. An engine without fencing applies every order.
     */
    boolean apply(State order) {
        if (mFenced && order.fence() < mHighestFence) {
            return false;
        }
        mHighestFence = Math.max(mHighestFence, order.fence());
        mState = order;
        return true;
    }

    /** Returns the order applied last. */
    State state() {
        return mState;
    }
}
