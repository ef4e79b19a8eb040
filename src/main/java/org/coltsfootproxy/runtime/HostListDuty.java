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
 * The duty that reads the platform's list of hosts, on a thread of its own since reading may block.
 *
 * <p>The node is told of a reading only when it differs from the last.
 */
final class HostListDuty {
    private static final long INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);
    private static final Duration HTTP_TIMEOUT = Duration.ofSeconds(2);

    private final HostList mList;
    private final InputSink mNode;
    private final Thread mThread;
    private volatile boolean mRunning = true;
    private Input mLast;

    private HostListDuty(String host, HostList list, InputSink node) {
        mList = checkNotNull(list, "list");
        mNode = checkNotNull(node, "node");
        mThread = new Thread(this::run, host + "-host-list");
    }

    /** Returns the list in a file or at an HTTP address. */
    static HostList listAt(URI place) {
        return place.getScheme().equals("file")
                ? FileHostList.of(Path.of(place))
                : HttpHostList.of(place, HTTP_TIMEOUT);
    }

    /** Returns the duty, not yet started. */
    static HostListDuty create(String host, HostList list, InputSink node) {
        return new HostListDuty(host, list, node);
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
            // A full ring takes the same reading again with the next round.
            if (!reading.equals(mLast) && mNode.offer(reading)) {
                mLast = reading;
            }
            LockSupport.parkNanos(this, INTERVAL_NANOS);
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
