package org.coltsfootproxy.net;

import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertSame;
import static org.testng.Assert.assertTrue;

import io.netty.channel.EventLoopGroup;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.coltsfootproxy.base.FatalErrors;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests that a process ends with a network thread, or with an error that one can't survive. */
public final class NetworkThreadEndTest {
    private static final long WAIT_SECONDS = 30;
    private static final int THREADS = 2;

    private final BlockingQueue<Throwable> mEnds = new LinkedBlockingQueue<>();
    private Consumer<Throwable> mEndingBefore;

    @BeforeMethod
    public void recordEnds() {
        mEnds.clear();
        mEndingBefore = FatalErrors.replaceEnding(mEnds::add);
    }

    @AfterMethod(alwaysRun = true)
    public void restore() {
        FatalErrors.replaceEnding(mEndingBefore);
    }

    /** Guards against connections that nobody reads because their thread has ended. */
    @Test
    public void anEventLoopThatEndsEndsTheProcess() throws Exception {
        EventLoopGroup group = EventLoops.create("ending", THREADS);
        group.next().submit(() -> {}).await();
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).await();
        // Each thread reports its own end, also after the end of the group.
        for (int n = 0; n < THREADS; n++) {
            assertNotNull(mEnds.poll(WAIT_SECONDS, TimeUnit.SECONDS));
        }
    }

    @Test
    public void anEventLoopThatIsStoppedDoesNotEndTheProcess() throws Exception {
        EventLoopGroup group = EventLoops.create("stopped", THREADS);
        group.next().submit(() -> {}).await();
        EventLoops.stop(group);
        group.terminationFuture().await();
        assertTrue(mEnds.isEmpty(), mEnds.toString());
    }

    @Test
    public void aHandlerThatIsOutOfMemoryEndsTheProcess() throws Exception {
        Error error = new OutOfMemoryError("planned");
        InputSink sink =
                input -> {
                    throw error;
                };
        HttpFront front =
                HttpFront.create(
                        HttpFrontSettings.defaults(
                                new InetSocketAddress(InetAddress.getLoopbackAddress(), 0)),
                        sink,
                        new RecordingEvents());
        try (RawHttp caller = new RawHttp(front.start())) {
            caller.send("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
            assertSame(mEnds.poll(WAIT_SECONDS, TimeUnit.SECONDS), error);
        } finally {
            front.close();
        }
    }
}
