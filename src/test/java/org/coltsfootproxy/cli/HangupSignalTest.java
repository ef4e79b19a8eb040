package org.coltsfootproxy.cli;

import static org.testng.Assert.assertEquals;

import java.util.concurrent.atomic.AtomicInteger;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import sun.misc.Signal;
import sun.misc.SignalHandler;

/**
 * Tests of {@link HangupSignal}.
 *
 * <p>No signals are sent: a process that was started with the signal ignored never gets them.
 */
public final class HangupSignalTest {
    private static final Signal HANGUP = new Signal("HUP");

    private final AtomicInteger mReloads = new AtomicInteger();
    private SignalHandler mBefore;

    @BeforeMethod
    public void rememberHandler() {
        mBefore = Signal.handle(HANGUP, SignalHandler.SIG_IGN);
    }

    @AfterMethod(alwaysRun = true)
    public void restoreHandler() {
        Signal.handle(HANGUP, mBefore);
    }

    /** Guards against hosts that end because their settings change while they start. */
    @Test
    public void signalsDuringTheStartArePassedOnAsOneOnceTheHostsRun() {
        HangupSignal signal = HangupSignal.handle();
        signal.received();
        signal.received();
        signal.passOn(mReloads::incrementAndGet);
        assertEquals(mReloads.get(), 1);

        signal.received();
        assertEquals(mReloads.get(), 2);
    }
}
