package org.coltsfootproxy.direct;

import static com.google.common.base.Preconditions.checkArgument;

/** A target's report of its load: running requests, queued requests and slots. */
public record TargetLoad(int running, int waiting, int slots) {
    /** Checks the ranges. */
    public TargetLoad {
        checkArgument(running >= 0, "running %s is below 0", running);
        checkArgument(waiting >= 0, "waiting %s is below 0", waiting);
        checkArgument(slots > 0, "slots %s is below 1", slots);
    }
}
