package org.coltsfootproxy.runtime;

import static com.google.common.base.Preconditions.checkNotNull;

import java.net.URI;
import java.nio.file.Path;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.coltsfootproxy.base.ProxyException;
import org.coltsfootproxy.membership.FileHostList;
import org.coltsfootproxy.membership.HostList;
import org.coltsfootproxy.membership.HostListing;
import org.coltsfootproxy.membership.HttpHostList;
import org.coltsfootproxy.net.InputSink;
import org.coltsfootproxy.node.Input;

/**
 * Polls the platform's list of hosts on its own thread, because reading may block.
 *
 * <p>Passes a reading to the node only if it differs from the last one.
 */
final class HostListPoller {
    private static final long POLL_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);
    private static final Duration HTTP_TIMEOUT = Duration.ofSeconds(2);

    private final HostList mList;
    private final InputSink mNode;
    private final Thread mThread;
    private volatile boolean mRunning = true;
    private Input mLastReading;

    private HostListPoller(String host, HostList list, InputSink node) {
        mList = checkNotNull(list, "list");
        mNode = checkNotNull(node, "node");
        mThread = new Thread(this::run, host + "-host-list");
    }

    /** Returns the host list in a file or at an HTTP URL. */
    static HostList hostListAt(URI uri) {
        return uri.getScheme().equals("file")
                ? FileHostList.of(Path.of(uri))
                : HttpHostList.of(uri, HTTP_TIMEOUT);
    }

    /** Returns a poller that is not yet started. */
    static HostListPoller create(String host, HostList list, InputSink node) {
        return new HostListPoller(host, list, node);
    }

    void start() {
        mThread.start();
    }

    void stop() throws InterruptedException {
        mRunning = false;
        mThread.interrupt();
        mThread.join();
    }

    private void run() {
        while (mRunning) {
            Input reading = read();
            // If the ring is full, the next poll offers the reading again.
            if (!reading.equals(mLastReading) && mNode.offer(reading)) {
                mLastReading = reading;
            }
            LockSupport.parkNanos(this, POLL_INTERVAL_NANOS);
        }
    }

    private Input read() {
        try {
            HostListing listing = mList.read();
            return new Input.HostsListed(listing.version(), listing.hosts());
        } catch (ProxyException e) {
            return new Input.HostsUnreadable(e.getMessage());
        }
    }
}
