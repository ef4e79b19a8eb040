package org.coltsfootproxy.fake;

/** The orders that an engine takes: which model it serves and in which role. */
final class Orders {
    private final boolean mFenced;
    private long mHighest;
    private State mState = new State(0, "base", "mixed");

    /**
     * What the engine was told last.
     *
     * @param fence fencing number of that order
     */
    record State(long fence, String model, String role) {}

    Orders(boolean fenced) {
        mFenced = fenced;
    }

    /** Takes an order and tells whether it was obeyed; an engine without fencing obeys each. */
    boolean obey(State order) {
        if (mFenced && order.fence() < mHighest) {
            return false;
        }
        mHighest = Math.max(mHighest, order.fence());
        mState = order;
        return true;
    }

    /** Returns what the engine was told last. */
    State state() {
        return mState;
    }
}
