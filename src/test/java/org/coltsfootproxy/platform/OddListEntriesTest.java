package org.coltsfootproxy.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import org.coltsfootproxy.base.ProxyException;
import org.coltsfootproxy.direct.TargetListProtocol;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests pages of the target list with an entry that another program has written. */
public final class OddListEntriesTest {
    private static final int DEPTH = 100_000;

    private static String entry(String id, String fields) {
        return "{\"id\":\""
                + id
                + "\",\"service\":\"lm\",\"zone\":\"z1\",\"state\":\"ready\""
                + fields
                + "}";
    }

    private static String sound(String id) {
        return entry(id, ",\"slots\":8,\"addr\":\"10.8.0.1:80\",\"born\":1700000000000");
    }

    private static String withSlots(String slots) {
        return entry("odd", ",\"addr\":\"10.8.0.9:80\",\"slots\":" + slots);
    }

    private static String withAddress(String address) {
        return entry("odd", ",\"slots\":8,\"addr\":\"" + address + "\"");
    }

    private static String withField(String field) {
        return entry("odd", ",\"slots\":8,\"addr\":\"10.8.0.9:80\"," + field);
    }

    private static TargetListProtocol.Page read(String page) throws ProxyException {
        return new PlatformTargetListProtocol().read(page.getBytes(StandardCharsets.ISO_8859_1));
    }

    private static List<String> ids(TargetListProtocol.Page page) {
        return page.targets().stream().map(target -> target.id().value()).toList();
    }

    @DataProvider
    Object[][] oddEntries() {
        return new Object[][] {
            {"nested arrays", "[".repeat(DEPTH) + "]".repeat(DEPTH)},
            {"nested objects", "{\"a\":".repeat(DEPTH) + "1" + "}".repeat(DEPTH)},
            {"nested field", withField("\"x\":" + "[".repeat(DEPTH) + "]".repeat(DEPTH))},
            {"long number", withField("\"x\":" + "9".repeat(DEPTH))},
            {"many digits of slots", withSlots("1" + "0".repeat(2_000))},
            {"exponent of slots", withSlots("1e400")},
            {"slots beyond 32 bits", withSlots("4294967304")},
            {"slots beyond 64 bits", withSlots("18446744073709551624")},
            {"slots beyond any target", withSlots("2147483647")},
            {"no slots", withSlots("0")},
            {"negative slots", withSlots("-8")},
            {"fraction of slots", withSlots("8.5")},
            {"start beyond 64 bits", withField("\"born\":99999999999999999999")},
            {"start as a fraction", withField("\"born\":1.5")},
            {"negative start", withField("\"born\":-1")},
            {"start as a text", withField("\"born\":\"today\"")},
            {"port above the range", withAddress("10.8.0.9:65536")},
            {"port far above the range", withAddress("10.8.0.9:99999999999999999999")},
            {"port 0", withAddress("10.8.0.9:0")},
            {"negative port", withAddress("10.8.0.9:-1")},
            {"no port", withAddress("10.8.0.9")},
            {"host name", withAddress("localhost:80")},
            {"any address", withAddress("0.0.0.0:80")},
            {"multicast address", withAddress("224.0.0.1:80")},
            {"unknown scope", withAddress("[fe80::1%nothing]:80")},
            {"bytes that are no text", entry("\u00ff\u00fe", ",\"slots\":8")},
            {"control characters", entry("\u0000", ",\"slots\":8")},
            {"broken escape", entry("\\u12", ",\"slots\":8")},
            {"word", "undefined"},
            {"bytes", "\u00ff\u00fe\u0080"},
            {"text", "\"odd\""},
            {"nothing", "null"},
            {"list", "[1,{}]"},
            {"brackets in texts", "{\"id\":\"]}[{\\\"\"}"},
        };
    }

    /** Guards against a list that is not followed any more because of one odd entry. */
    @Test(dataProvider = "oddEntries")
    public void oneOddEntryLeavesTheOthers(String what, String odd) throws ProxyException {
        TargetListProtocol.Page page =
                read(
                        "{\"instances\":["
                                + sound("a")
                                + ","
                                + odd
                                + " , "
                                + sound("b")
                                + "],\"next_token\":\"p-2\"}");

        assertEquals(ids(page), List.of("a", "b"), what);
        assertEquals(page.damaged(), 1, what);
        assertEquals(page.nextPath(), Optional.of("/instances?page_token=p-2"), what);
    }

    @Test(dataProvider = "oddEntries")
    public void anOddEntryMayBeTheOnlyOneOrTheLastOne(String what, String odd)
            throws ProxyException {
        assertEquals(ids(read("{\"instances\":[" + odd + "]}")), List.of(), what);
        assertEquals(
                ids(read(" {\"next_token\":null,\"instances\":[" + sound("a") + "," + odd + "]} ")),
                List.of("a"),
                what);
    }

    @DataProvider
    Object[][] noPages() {
        return new Object[][] {
            {""},
            {"[]"},
            {"{}"},
            {"{\"instances\":{}}"},
            {"{\"instances\":null}"},
            {"{\"instances\":["},
            {"{\"instances\":[" + "{".repeat(DEPTH)},
            {"{\"instances\":[\"a"},
            {"{\"instances\":[\"a\" \"b\"]}"},
            {"{\"instances\":[]"},
            {"{\"instances\":[]}]"},
            {"{\"instances\":[],\"next_token\":7}"},
            {"{\"instances\":[],\"next_token\":{}}"},
            {"{\"instances\":[],\"next_token\":" + "[".repeat(DEPTH) + "]".repeat(DEPTH) + "}"},
        };
    }

    /** Guards against targets of further pages that seem to be gone. */
    @Test(dataProvider = "noPages")
    public void whatIsNoPageIsRefused(String page) {
        assertThrows(ProxyException.class, () -> read(page));
    }

    @Test
    public void aPageIsReadAsBefore() throws ProxyException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        bytes.writeBytes(("\n{ \"instances\" : [ " + sound("a")).getBytes(StandardCharsets.UTF_8));
        bytes.writeBytes(" ] , \"next_token\" : \"\" }\n".getBytes(StandardCharsets.UTF_8));
        TargetListProtocol.Page page = new PlatformTargetListProtocol().read(bytes.toByteArray());
        assertEquals(ids(page), List.of("a"));
        assertEquals(page.targets().get(0).startedAt(), 1_700_000_000_000L);
        assertEquals(page.nextPath(), Optional.empty());
    }
}
