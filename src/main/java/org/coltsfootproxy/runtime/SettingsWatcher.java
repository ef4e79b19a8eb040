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
 * Polls the settings file and passes changed settings to a listener.
 *
 * <p>Invalid settings are logged and otherwise ignored.
 */
final class SettingsWatcher {
    private static final long POLL_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final Path mFile;
    private final EventLog mLog;
    private final Consumer<Settings> mListener;
    private final Thread mThread;
    private byte[] mLastContent;
    private volatile boolean mRunning = true;

    private SettingsWatcher(Path file, EventLog log, Consumer<Settings> listener) {
        mFile = checkNotNull(file, "file");
        mLog = checkNotNull(log, "log");
        mListener = checkNotNull(listener, "listener");
        mThread = new Thread(this::run, "settings");
        mThread.setDaemon(true);
    }

    /**
     * Returns a watcher that is not yet started.
     *
     * @param listener called with valid settings after the file's content has changed
     */
    static SettingsWatcher create(Path file, EventLog log, Consumer<Settings> listener) {
        return new SettingsWatcher(file, log, listener);
    }

    void start() throws ProxyException {
        mLastContent = read();
        mThread.start();
    }

    /** Checks the file at once instead of at the next poll. */
    void checkNow() {
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
            LockSupport.parkNanos(this, POLL_INTERVAL_NANOS);
            try {
                byte[] content = read();
                if (!Arrays.equals(content, mLastContent)) {
                    mLastContent = content;
                    mListener.accept(Settings.load(mFile));
                    mLog.write(EventCode.SETTINGS_RELOADED, mFile.toString());
                }
            } catch (ProxyException e) {
                mLog.write(EventCode.SETTINGS_REFUSED, e.getMessage());
            } catch (RuntimeException e) {
                mLog.write(EventCode.SETTINGS_REFUSED, EventLog.describe(e));
            }
        }
    }
}
