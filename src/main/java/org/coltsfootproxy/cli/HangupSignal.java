package org.coltsfootproxy.cli;

import sun.misc.Signal;

/**
 * Passes on the signals that ask a process to reload its settings (SIGHUP).
 *
 * <p>Without a handler, the signal ends the process. Signals that arrive before there is something
 * to reload are passed on as one when there is. Thread-safe.
 */
final class HangupSignal {
    private static final String NAME = "HUP";

    private Runnable mReload;
    private boolean mIsPending;

    private HangupSignal() {}

    /** Handles the signal from now on. */
    static HangupSignal handle() {
        HangupSignal signal = new HangupSignal();
        Signal.handle(new Signal(NAME), received -> signal.received());
        return signal;
    }

    /** Handles one signal. */
    synchronized void received() {
        if (mReload == null) {
            mIsPending = true;
        } else {
            mReload.run();
        }
    }

    /** Passes on signals from now on; calls {@code reload} at once if one has arrived before. */
    synchronized void passOn(Runnable reload) {
        mReload = reload;
        if (mIsPending) {
            mIsPending = false;
            reload.run();
        }
    }
}
