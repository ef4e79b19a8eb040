package org.coltsfootproxy.platform;

import static org.testng.Assert.assertEquals;

import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.coltsfootproxy.base.PromptPartId;
import org.coltsfootproxy.message.Header;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests which parts of a prompt are read as those that requests may share. */
public final class PromptPartsTest {
    private static List<String> sharedParts(Header... headers) {
        return new PlatformTargetProtocol()
                .sharedPromptParts(List.of(headers)).stream().map(PromptPartId::value).toList();
    }

    @DataProvider
    Object[][] prompts() {
        return new Object[][] {
            {"5c1e07a2:800,91bd3f06:410,e4402b7d:250", List.of("5c1e07a2", "91bd3f06")},
            {" 5C1E07A2:800 , 91bd3f06:410,e4:1", List.of("5c1e07a2", "91bd3f06")},
            {"e4402b7d:250", List.of()},
            {"", List.of()},
            {",,", List.of()},
            {"a1:1,a1:1,b2:1", List.of("a1")},
            {"a1,b2,c3", List.of("a1", "b2")},
            {"(bad):1,a1:2,b2:3", List.of("a1")},
        };
    }

    @Test(dataProvider = "prompts")
    public void allValidPartsButTheLastAreShared(String prompt, List<String> expected) {
        assertEquals(sharedParts(Header.of("prompt-prefix", prompt)), expected);
    }

    @Test
    public void aRequestWithoutPromptPartsSharesNone() {
        assertEquals(sharedParts(Header.of("Model", "m")), List.of());
    }

    @Test
    public void theNumberOfPartsIsBounded() {
        String prompt =
                IntStream.range(0, 1_000)
                        .mapToObj(n -> "p" + n + ":1")
                        .collect(Collectors.joining(","));
        assertEquals(sharedParts(Header.of("Prompt-Prefix", prompt)).size(), 32);
    }
}
