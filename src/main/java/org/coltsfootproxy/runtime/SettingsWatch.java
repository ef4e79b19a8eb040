package org.coltsfootproxy.runtime;

import static com.google.common.base.Preconditions.checkNotNull;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;
import org.coltsfootproxy.base.EventCode;
import org.coltsfootproxy.base.ProxyException;

/**
 * Reads the settings file again when it has changed, with or without a signal.
 *
 * <p>Settings that are not valid are logged and left out.
 */
final class SettingsWatch {
    /** Time between two looks at the file. */
    private static final long INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final Path mFile;
    private final EventLog mLog;
    private final Consumer<Settings> mListener;
    private final Thread mThread;
    private byte[] mLast;
    private volatile boolean mRunning = true;

    private SettingsWatch(Path file, EventLog log, Consumer<Settings> listener) {
        mFile = checkNotNull(file, "file");
        mLog = checkNotNull(log, "log");
        mListener = checkNotNull(listener, "listener");
        mThread = new Thread(this::run, "settings");
        mThread.setDaemon(true);
    }

    /**
     * Returns a watch, not yet started.
     *
     * @param listener told valid settings that differ from the last ones
     */
    static SettingsWatch create(Path file, EventLog log, Consumer<Settings> listener) {
        return new SettingsWatch(file, log, listener);
    }

    void start() throws ProxyException {
        mLast = read();
        mThread.start();
    }

    /** Looks at the file at once. */
    void look() {
        LockSupport.unpark(mThread);
    }

    void stop() throws InterruptedException {
        mRunning = false;
        mThread.interrupt();
        mThread.join();
    }

    private byte[] read() throws ProxyException {
        try {
            return Files.readAllBytes(mFile);
        } catch (IOException e) {
            throw Settings.unreadable(mFile, e);
        }
    }

    private void run() {
        while (mRunning) {
            LockSupport.parkNanos(this, INTERVAL_NANOS);
            try {
                byte[] text = read();
                if (!Arrays.equals(text, mLast)) {
                    mLast = text;
                    mListener.accept(Settings.load(mFile));
                    mLog.write(EventCode.SETTINGS_RELOADED, mFile.toString());
                }
            } catch (ProxyException e) {
                mLog.write(EventCode.SETTINGS_REFUSED, e.getMessage());
            }
        }
    }
}
