package org.coltsfootproxy.membership;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.base.ProxyException;
import org.coltsfootproxy.node.Effect;
import org.testng.annotations.Test;

/** Tests reading the platform's host list and {@link HostView}. */
public final class HostViewTest {
    private static final HostId HOST = HostId.of("agent-1");

    private final List<Effect> mEffects = new ArrayList<>();

    private static String listing(int version, String state) {
        return """
               version: %d
               hosts:
                 - {host: agent-1, dataCentre: solway, state: %s, address: '10.0.0.1:70'}
               """
                .formatted(version, state);
    }

    private static HostListing parse(String text) throws ProxyException {
        return HostListing.parse(text.getBytes(StandardCharsets.UTF_8));
    }

    @Test
    public void onlyAHostListedAsLeavingGetsNoNewWork() throws ProxyException {
        HostView view = HostView.create();
        assertFalse(view.isLeaving(HOST));
        view.update(parse(listing(1, "live")), mEffects::add);
        assertFalse(view.isLeaving(HOST));
        view.update(parse("version: 2"), mEffects::add);
        assertFalse(view.isLeaving(HOST), "a host absent from the list is not leaving");
        view.update(parse(listing(3, "leaving")), mEffects::add);
        assertTrue(view.isLeaving(HOST));
        view.unreadable("gone", mEffects::add);
        assertTrue(view.isLeaving(HOST));
        view.update(parse("version: 4"), mEffects::add);
        assertTrue(
                view.isLeaving(HOST),
                "a leaving host stays leaving after it is removed from the list");
        view.update(parse(listing(1, "live")), mEffects::add);
        assertTrue(view.isLeaving(HOST), "a list of a lower version is ignored");
        view.update(parse(listing(5, "live")), mEffects::add);
        assertFalse(view.isLeaving(HOST));
    }

    @Test
    public void errorsInTheListNameTheInvalidField() {
        String message =
                expectThrows(ProxyException.class, () -> parse(listing(1, "dead"))).getMessage();
        assertTrue(message.contains("hosts[0].state: 'dead' is neither live nor"), message);
    }

    @Test
    public void theListIsReadFromFileAndOverHttp() throws Exception {
        byte[] text = listing(1, "leaving").getBytes(StandardCharsets.UTF_8);
        Path file = Files.createTempFile("hosts", ".yaml");
        HttpServer server =
                HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
        server.createContext(
                "/hosts",
                exchange -> {
                    exchange.sendResponseHeaders(200, text.length);
                    exchange.getResponseBody().write(text);
                    exchange.close();
                });
        server.start();
        try {
            Files.write(file, text);
            HostListing expected = HostListing.parse(text);
            assertEquals(FileHostList.of(file).read(), expected);
            assertEquals(http(server, "/hosts").read(), expected);
            expectThrows(ProxyException.class, () -> http(server, "/other").read());
        } finally {
            server.stop(0);
            Files.delete(file);
        }
        expectThrows(ProxyException.class, () -> FileHostList.of(file).read());
        expectThrows(ProxyException.class, () -> http(server, "/hosts").read());
    }

    private static HostList http(HttpServer server, String path) throws IOException {
        String uri = "http://127.0.0.1:" + server.getAddress().getPort() + path;
        return HttpHostList.of(URI.create(uri), Duration.ofSeconds(2));
    }
}
