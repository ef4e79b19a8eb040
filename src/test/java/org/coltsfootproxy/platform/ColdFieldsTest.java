package org.coltsfootproxy.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.OptionalLong;
import java.util.Set;
import org.coltsfootproxy.base.ProxyException;
import org.coltsfootproxy.base.Region;
import org.coltsfootproxy.config.Service;
import org.coltsfootproxy.config.Ticket;
import org.coltsfootproxy.message.Header;
import org.coltsfootproxy.message.ListedTarget;
import org.coltsfootproxy.node.Input;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests how the platform's fields about cold targets and allowed regions are read. */
public final class ColdFieldsTest {
    private static Service service(String fields) throws ProxyException {
        String document =
                "{\"version\":1,\"routes\":[],\"tenants\":[],\"services\":[{\"name\":\"lm\""
                        + fields
                        + "}]}";
        return PlatformConfig.read(document.getBytes(StandardCharsets.UTF_8)).services().get(0);
    }

    @Test
    public void aServiceNamesTheTimeAndTheRate() throws ProxyException {
        assertEquals(
                service(",\"cold_start_s\":3,\"cold_per_s\":12").coldStart(),
                new Service.ColdStart(3_000, 12));
    }

    @Test
    public void aServiceWithoutARateHasNoLimit() throws ProxyException {
        assertEquals(service("").coldStart(), null);
        assertEquals(service(",\"cold_start_s\":3").coldStart(), null);
    }

    /** Guards against a service whose targets are never cold getting five calls a second. */
    @Test
    public void aRateOfZeroIsNoLimit() throws ProxyException {
        assertEquals(service(",\"cold_start_s\":0.0,\"cold_per_s\":0.0").coldStart(), null);
    }

    /** Guards against a rate that can't be meant being taken for no limit. */
    @Test
    public void aNegativeRateIsRefused() {
        assertThrows(ProxyException.class, () -> service(",\"cold_per_s\":-1"));
        assertThrows(ProxyException.class, () -> service(",\"cold_per_s\":\"12\""));
    }

    private static Ticket withRegions(String list) throws ProxyException {
        String document =
                "{\"version\":1,\"services\":[{\"name\":\"lm\"}],\"routes\":[{\"name\":\"r\","
                        + "\"host\":\"h\",\"path_prefix\":\"/\",\"service\":\"lm\","
                        + "\"timeout_ms\":5000"
                        + list
                        + "}],\"tenants\":[{\"name\":\"alpha\""
                        + list
                        + "}]}";
        return PlatformConfig.read(document.getBytes(StandardCharsets.UTF_8));
    }

    /** Guards against a list of regions being ignored on a route or an organisation. */
    @Test
    public void routesAndOrganisationsNameRegions() throws ProxyException {
        Set<Region> both = Set.of(Region.of("eu"), Region.of("us east"));
        Ticket ticket = withRegions(",\"allowed_regions\":[\"eu\",\"us east\"]");
        assertEquals(ticket.routes().get(0).allowedRegions(), both);
        assertEquals(ticket.organisations().get(0).allowedRegions(), both);
    }

    @Test
    public void noListAndAnEmptyOneRestrictNothing() throws ProxyException {
        assertEquals(withRegions("").routes().get(0).allowedRegions(), Set.of());
        Ticket empty = withRegions(",\"allowed_regions\":[]");
        assertEquals(empty.routes().get(0).allowedRegions(), Set.of());
    }

    /** Guards against a restriction that can't be read being taken for none. */
    @Test
    public void anUnreadableListOfRegionsIsRefused() {
        assertThrows(ProxyException.class, () -> withRegions(",\"allowed_regions\":\"eu\""));
        assertThrows(ProxyException.class, () -> withRegions(",\"allowed_regions\":[1]"));
    }

    @DataProvider
    Object[][] entries() {
        return new Object[][] {
            {"", 0L},
            {",\"cold_left_ms\":2500", 2500L},
            {",\"cold_left_ms\":0.5", 1L},
            {",\"cold_left_ms\":0", ListedTarget.WARM},
            {",\"cold_left_ms\":-3", 0L},
            {",\"cold_left_ms\":\"x\"", 0L}
        };
    }

    /** Guards against an entry being dropped, or its target being taken for warm, by its field. */
    @Test(dataProvider = "entries")
    public void anEntryTellsHowLongItsTargetIsCold(String field, long expected)
            throws ProxyException {
        String page =
                "{\"instances\":[{\"id\":\"a\",\"service\":\"lm\",\"zone\":\"z1\",\"slots\":8,"
                        + "\"addr\":\"10.8.0.1:80\",\"state\":\"ready\""
                        + field
                        + "}]}";
        ListedTarget target =
                new PlatformTargetListProtocol()
                        .read(page.getBytes(StandardCharsets.UTF_8))
                        .targets()
                        .get(0);
        assertEquals(target.coldMillis(), expected);
    }

    @DataProvider
    Object[][] headers() {
        return new Object[][] {
            {"1500", OptionalLong.of(1500)},
            {"0", OptionalLong.of(0)},
            {"-1", OptionalLong.empty()},
            {"NaN", OptionalLong.empty()},
            {"soon", OptionalLong.empty()},
            {"1e99", OptionalLong.empty()}
        };
    }

    @Test(dataProvider = "headers")
    public void anAnswerTellsHowLongItsTargetIsCold(String value, OptionalLong expected) {
        var head = new Input.TargetHead(1, 200, List.of(Header.of("cold-ms", value)));
        assertEquals(new PlatformTargetProtocol().read(head).coldMillis(), expected);
    }
}
