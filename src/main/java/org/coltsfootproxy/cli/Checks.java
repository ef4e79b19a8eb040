package org.coltsfootproxy.cli;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.coltsfootproxy.base.ErrorKind;
import org.coltsfootproxy.base.ProxyException;

/** Checks promises in a demonstration, prints each result and counts the broken ones. */
final class Checks {
    private static final Duration AWAIT_TIMEOUT = Duration.ofSeconds(60);
    private static final long POLL_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

    private final Output mOut;
    private final List<Boolean> mResults = new ArrayList<>();

    /** A condition that may become true after some time. */
    @FunctionalInterface
    interface Condition {
        boolean holds() throws ProxyException;
    }

    Checks(Output out) {
        mOut = out;
    }

    void check(String promise, boolean held) {
        mResults.add(held);
        mOut.line((held ? "  held    " : "  BROKEN  ") + promise);
    }

    /**
     * Polls a condition until it holds, and checks that it does.
     *
     * @throws ProxyException if the condition throws or does not hold within {@link #AWAIT_TIMEOUT}
     */
    void await(String what, Condition condition) throws ProxyException {
        long end = System.nanoTime() + AWAIT_TIMEOUT.toNanos();
        boolean holds = condition.holds();
        while (!holds && System.nanoTime() < end) {
            LockSupport.parkNanos(POLL_INTERVAL_NANOS);
            holds = condition.holds();
        }
        check(what, holds);
        if (!holds) {
            throw ProxyException.of(ErrorKind.INTERNAL, "timed out waiting for: " + what);
        }
    }

    /**
     * Prints how many promises were checked and how many were broken.
     *
     * @throws ProxyException if any was broken
     */
    void summarise() throws ProxyException {
        long broken = mResults.stream().filter(held -> !held).count();
        ObjectNode summary = Output.object();
        summary.put("checks", mResults.size());
        summary.put("broken", broken);
        mOut.value(summary);
        if (broken > 0) {
            throw ProxyException.of(ErrorKind.INTERNAL, broken + " promises were broken");
        }
    }
}
