package org.coltsfootproxy.platform;

import static org.testng.Assert.assertEquals;

import java.util.List;
import java.util.OptionalDouble;
import org.coltsfootproxy.message.Header;
import org.coltsfootproxy.node.Input;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests how the head of a target's answer is read. */
public final class TargetAnswerHeadTest {
    private static OptionalDouble limit(String value) {
        var head = new Input.TargetHead(1, 200, List.of(Header.of("server-limit", value)));
        return new PlatformTargetProtocol().read(head).requestsPerSecond();
    }

    @DataProvider
    Object[][] limits() {
        return new Object[][] {{"2.5", 2.5}, {" 12 ", 12.0}, {"0", 0.0}, {"0.25", 0.25}};
    }

    @Test(dataProvider = "limits")
    public void aLimitIsADecimalNumber(String value, double expected) {
        assertEquals(limit(value), OptionalDouble.of(expected));
    }

    @DataProvider
    Object[][] noLimits() {
        return new Object[][] {{""}, {"many"}, {"-1"}, {"NaN"}, {"Infinity"}, {"1e999"}, {"2,5"}};
    }

    @Test(dataProvider = "noLimits")
    public void aValueThatIsNoNumberOfRequestsIsNoLimit(String value) {
        assertEquals(limit(value), OptionalDouble.empty());
    }
}
