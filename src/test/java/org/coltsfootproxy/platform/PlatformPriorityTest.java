package org.coltsfootproxy.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

import java.nio.charset.StandardCharsets;
import org.coltsfootproxy.base.ProxyException;
import org.coltsfootproxy.config.Organisation;
import org.coltsfootproxy.config.Route;
import org.coltsfootproxy.config.Ticket;
import org.testng.annotations.Test;

/** Tests the ranks that a configuration document gives to routes and tenants. */
public final class PlatformPriorityTest {
    private static Ticket read(String routePriority, String tenantPriority) throws ProxyException {
        String document =
                "{\"version\":1,\"services\":[{\"name\":\"lm\"}],\"routes\":["
                        + SimulatedConfig.route("a", "streaming", "lm", routePriority)
                        + "],\"tenants\":[{\"name\":\"alpha\""
                        + tenantPriority
                        + "}]}";
        return PlatformConfig.read(document.getBytes(StandardCharsets.UTF_8));
    }

    private static int rank(String routePriority, String tenantPriority) throws ProxyException {
        Ticket ticket = read(routePriority, tenantPriority);
        Route route = ticket.routes().get(0);
        Organisation organisation = ticket.organisations().get(0);
        return route.rankOf(organisation);
    }

    /** Guards against a tenant's rank of 0 that is taken for none. */
    @Test
    public void theRankOfTheTenantTakesPrecedenceOverThatOfTheRoute() throws ProxyException {
        assertEquals(rank("\"max_attempts\":1", ""), 0);
        assertEquals(rank("\"priority\":3", ""), 3);
        assertEquals(rank("\"priority\":3", ",\"priority\":0"), 0);
        assertEquals(rank("\"priority\":0", ",\"priority\":2"), 2);
    }

    /** Guards against ranks that are silently cut or ignored. */
    @Test
    public void aPriorityThatIsNoRankIsRefused() {
        assertThrows(ProxyException.class, () -> read("\"priority\":-1", ""));
        assertThrows(ProxyException.class, () -> read("\"priority\":1.5", ""));
        assertThrows(ProxyException.class, () -> read("\"priority\":1", ",\"priority\":\"x\""));
    }
}
