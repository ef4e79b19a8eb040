package org.coltsfootproxy.platform;

import static org.testng.Assert.assertEquals;

import java.nio.charset.StandardCharsets;
import java.util.List;
import org.coltsfootproxy.base.ProxyException;
import org.coltsfootproxy.message.Header;
import org.coltsfootproxy.work.WorkFeatures.DeclaredSizes;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests how the sizes of calls and the memory of targets are read. */
public final class DeclaredSizesTest {
    @DataProvider
    Object[][] sizes() {
        return new Object[][] {
            {"512,1024", "300", 512, 1_024, 300},
            {" 512 , 1024 ", " 300.2 ", 512, 1_024, 301},
            {"512", "", 512, 0, 0},
            {"512,-1", "-5", 512, 0, 0},
            {"many,1024", "long", 0, 1_024, 0},
            {"NaN,1e99", "Infinity", 0, 1 << 24, 1 << 24},
            {"", "", 0, 0, 0},
        };
    }

    /** Guards against a figure of a caller that fails the call or makes a size negative. */
    @Test(dataProvider = "sizes")
    public void figuresThatAreNoNumbersCountAsNotDeclared(
            String count, String hint, int prompt, int mostOutput, int expectedHint) {
        DeclaredSizes sizes =
                new PlatformTargetProtocol()
                        .declaredSizes(
                                List.of(
                                        Header.of("token-count", count),
                                        Header.of("length-hint", hint)));

        assertEquals(sizes, new DeclaredSizes(prompt, mostOutput, expectedHint));
    }

    /** Guards against calls without these headers, as earlier callers send them. */
    @Test
    public void aCallWithoutTheHeadersDeclaresNothing() {
        assertEquals(new PlatformTargetProtocol().declaredSizes(List.of()), DeclaredSizes.NONE);
    }

    /** Guards against a service whose engines' memory is named and not known. */
    @Test
    public void theMemoryOfEnginesIsReadFromTheConfiguration() throws ProxyException {
        assertEquals(memory("{\"slots\": 8, \"kv_capacity_tokens\": 134354}"), 134_354);
        assertEquals(memory("{\"slots\": 8}"), 0);
        assertEquals(memory("{\"slots\": 8, \"kv_capacity_tokens\": -1}"), 0);
    }

    private static int memory(String engine) throws ProxyException {
        String document =
                "{\"version\": 1, \"services\": [{\"name\": \"lm\", \"engine\": "
                        + engine
                        + "}], \"routes\": []}";
        return PlatformConfig.read(document.getBytes(StandardCharsets.UTF_8))
                .services()
                .get(0)
                .memoryTokens();
    }
}
