package org.coltsfootproxy.net;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.coltsfootproxy.base.Ran;
import org.coltsfootproxy.base.TrafficClass;
import org.coltsfootproxy.message.Header;
import org.coltsfootproxy.node.Effect;
import org.coltsfootproxy.node.Input;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests that a call tells its target the time that is left when it is written. */
public final class TimeLeftTest {
    private static final int TIMEOUT_MILLIS = 30_000;
    private static final long LEFT_MILLIS = 20_000;
    private static final Pattern LEFT = Pattern.compile("Left-Ms: (\\d+)\r\n");

    private RecordingSink mSink;
    private ServerSocket mServer;
    private EventLoopGroup mLoops;
    private TargetPool mPool;

    @BeforeMethod
    public void start() throws IOException {
        mSink = new RecordingSink();
        mServer = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        mServer.setSoTimeout(TIMEOUT_MILLIS);
        mLoops = EventLoops.create("time-left", 1);
        TargetClientSettings settings =
                TargetClientSettings.defaults((InetSocketAddress) mServer.getLocalSocketAddress())
                        .withDialect(
                                new TargetDialect(
                                        Optional.of("Request-Id"),
                                        Optional.of("Left-Ms"),
                                        true,
                                        true));
        mPool = TargetPool.create(mLoops.next(), settings, mSink, new RecordingEvents());
    }

    @AfterMethod(alwaysRun = true)
    public void stop() throws IOException {
        mPool.close();
        EventLoops.stop(mLoops);
        mServer.close();
    }

    private static Effect.TargetCall call() {
        return new Effect.TargetCall(
                1,
                TrafficClass.ONLINE,
                "POST",
                "/x",
                List.of(
                        Header.of("Request-Id", "r"),
                        Header.of("Left-Ms", Long.toString(LEFT_MILLIS))),
                new byte[] {'h', 'i'},
                TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MILLIS));
    }

    private static long nanosAgo(long millis) {
        return System.nanoTime() - TimeUnit.MILLISECONDS.toNanos(millis);
    }

    /** Guards against BUDGET: a call that waited for its thread was given that time once more. */
    @Test
    public void aCallThatWaitedTellsTheTimeThatIsLeft() throws Exception {
        mPool.call(call(), nanosAgo(700));
        try (RawHttp target = new RawHttp(mServer.accept())) {
            Matcher left = LEFT.matcher(target.readUntil("\r\n\r\nhi"));
            assertTrue(left.find(), "no time is told");
            long millis = Long.parseLong(left.group(1));
            assertTrue(millis > 0 && millis <= LEFT_MILLIS - 700, millis + " ms");
        }
    }

    @Test
    public void aCallWhoseTimeHasPassedIsNotSent() throws Exception {
        mPool.call(call(), nanosAgo(LEFT_MILLIS));
        Input.TargetFailed failed = mSink.next(Input.TargetFailed.class);
        assertEquals(failed.call(), 1);
        assertEquals(failed.ran(), Ran.NO, failed.detail());
    }
}
