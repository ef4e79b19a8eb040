package org.coltsfootproxy.cli;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.coltsfootproxy.base.ErrorKind;
import org.coltsfootproxy.base.ProxyException;

/** Promises that a demonstration has checked. */
final class Checks {
    private static final Duration PATIENCE = Duration.ofSeconds(60);
    private static final long POLL_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

    private final Output mOut;
    private final List<Boolean> mHeld = new ArrayList<>();

    /** A condition that may take some time to hold. */
    @FunctionalInterface
    interface Condition {
        boolean holds() throws ProxyException;
    }

    Checks(Output out) {
        mOut = out;
    }

    void check(String promise, boolean held) {
        mHeld.add(held);
        mOut.line((held ? "  held    " : "  BROKEN  ") + promise);
    }

    /**
     * Waits until a condition holds.
     *
     * @throws ProxyException if it doesn't hold in time
     */
    void await(String what, Condition condition) throws ProxyException {
        long end = System.nanoTime() + PATIENCE.toNanos();
        boolean holds = condition.holds();
        while (!holds && System.nanoTime() < end) {
            LockSupport.parkNanos(POLL_NANOS);
            holds = condition.holds();
        }
        check(what, holds);
        if (!holds) {
            throw ProxyException.of(ErrorKind.INTERNAL, "gave up waiting: " + what);
        }
    }

    /**
     * Writes how many promises were checked and broken.
     *
     * @throws ProxyException if one was broken
     */
    void summarise() throws ProxyException {
        long broken = mHeld.stream().filter(held -> !held).count();
        ObjectNode summary = Output.object();
        summary.put("checks", mHeld.size());
        summary.put("broken", broken);
        mOut.value(summary);
        if (broken > 0) {
            throw ProxyException.of(ErrorKind.INTERNAL, broken + " promises were broken");
        }
    }
}
