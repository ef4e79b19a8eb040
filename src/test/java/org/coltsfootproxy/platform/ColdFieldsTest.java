package org.coltsfootproxy.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.OptionalLong;
import org.coltsfootproxy.base.ProxyException;
import org.coltsfootproxy.config.Service;
import org.coltsfootproxy.message.Header;
import org.coltsfootproxy.message.ListedTarget;
import org.coltsfootproxy.node.Input;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests how the platform's fields about cold targets are read. */
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

    /** Guards against a rate that can't be meant being taken for no limit. */
    @Test
    public void aNegativeRateIsRefused() {
        assertThrows(ProxyException.class, () -> service(",\"cold_per_s\":-1"));
        assertThrows(ProxyException.class, () -> service(",\"cold_per_s\":\"12\""));
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
