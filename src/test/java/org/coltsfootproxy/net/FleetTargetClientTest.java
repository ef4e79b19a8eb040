package org.coltsfootproxy.net;

import static org.testng.Assert.assertEquals;

import com.google.common.net.HostAndPort;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.coltsfootproxy.base.TrafficClass;
import org.coltsfootproxy.node.Effect;
import org.coltsfootproxy.node.Input;
import org.testng.annotations.Test;

/** Tests of {@link FleetTargetClient} with many targets on sockets. */
public final class FleetTargetClientTest {
    /** More targets than a client keeps unused pools for. */
    private static final int TARGETS = 70;

    private static final int TIMEOUT_MILLIS = 30_000;

    /** Guards against calls that are dropped without any answer when unused pools are removed. */
    @Test
    public void eachCallIsSentWhileThePoolsOfFormerTargetsAreRemoved() throws Exception {
        RecordingSink sink = new RecordingSink();
        InetSocketAddress unused = new InetSocketAddress(InetAddress.getLoopbackAddress(), 1);
        try (FleetTargetClient client =
                FleetTargetClient.create(
                        TargetClientSettings.defaults(unused), sink, new RecordingEvents())) {
            for (int call = 1; call <= TARGETS; call++) {
                answerOneCall(client, call);
                assertEquals(sink.next(Input.TargetEnd.class), new Input.TargetEnd(call));
            }
        }
    }

    private static void answerOneCall(FleetTargetClient client, long call) throws IOException {
        try (ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
            server.setSoTimeout(TIMEOUT_MILLIS);
            String address = HostAndPort.fromParts("127.0.0.1", server.getLocalPort()).toString();
            client.execute(new Effect.AddressedTargetCall(address, get(call)));
            try (RawHttp target = new RawHttp(server.accept())) {
                target.readUntil("\r\n\r\n");
                target.send("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
                target.readAll();
            }
        }
    }

    private static Effect.TargetCall get(long call) {
        return new Effect.TargetCall(
                call,
                TrafficClass.ONLINE,
                "GET",
                "/",
                List.of(),
                new byte[0],
                TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MILLIS));
    }
}
