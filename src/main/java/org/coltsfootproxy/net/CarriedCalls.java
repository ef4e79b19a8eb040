package org.coltsfootproxy.net;

import java.util.ArrayDeque;
import java.util.Optional;
import java.util.Queue;

/**
 * The correlation values of the last calls that a connection has carried. A response that the
 * target repeats could be taken for the response to a later call with the same value.
 */
final class CarriedCalls {
    private static final int MAX_CALLS = 64;

    private final Queue<String> mValues = new ArrayDeque<>();

    /** Returns whether a call with a value has been carried; false for a call without one. */
    boolean contains(Optional<String> value) {
        return value.filter(mValues::contains).isPresent();
    }

    /** Notes a call that is carried now. */
    void add(Optional<String> value) {
        value.ifPresent(mValues::add);
        if (mValues.size() > MAX_CALLS) {
            mValues.remove();
        }
    }
}
