package org.coltsfootproxy.cli;

import static org.testng.Assert.assertTrue;

import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.Test;
import sun.misc.Signal;
import sun.misc.SignalHandler;

/** Tests of {@link HangupSignal} with signals to the process of the tests. */
public final class HangupSignalTest {
    private static final Signal HANGUP = new Signal("HUP");

    private final AtomicInteger mReloads = new AtomicInteger();
    private final Semaphore mReloaded = new Semaphore(0);

    private void reload() {
        mReloads.incrementAndGet();
        mReloaded.release();
    }

    @AfterMethod
    public void restoreDefault() {
        Signal.handle(HANGUP, SignalHandler.SIG_DFL);
    }

    /** Guards against hosts that end because their settings change while they start. */
    @Test
    public void aSignalDuringTheStartIsPassedOnOnceTheHostsRun() throws Exception {
        HangupSignal signal = HangupSignal.handle();
        Signal.raise(HANGUP);
        Signal.raise(HANGUP);
        signal.passOn(this::reload);
        mReloaded.acquire();
        int before = mReloads.get();
        mReloaded.drainPermits();

        Signal.raise(HANGUP);
        mReloaded.acquire();
        assertTrue(mReloads.get() > before);
    }
}
