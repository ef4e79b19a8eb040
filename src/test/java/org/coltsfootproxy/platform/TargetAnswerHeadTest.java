package org.coltsfootproxy.platform;

import static org.testng.Assert.assertEquals;

import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import org.coltsfootproxy.direct.TargetLoad;
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

    private static Optional<TargetLoad> load(String value) {
        var head = new Input.TargetHead(1, 200, List.of(Header.of("server-load", value)));
        return new PlatformTargetProtocol().read(head).load();
    }

    private static Optional<TargetLoad> load(int running, int waiting, OptionalDouble speed) {
        return Optional.of(new TargetLoad(running, waiting, 8, speed));
    }

    @DataProvider
    Object[][] speeds() {
        return new Object[][] {
            {"3,1,8,100", 1.0},
            {" 3 , 1 , 8 , 250 ", 2.5},
            {"3,1,8,87.5", 0.875},
            {"3,1,8,130,7", 1.3}
        };
    }

    /** Guards against a load report that is ignored as a whole because it tells the speed. */
    @Test(dataProvider = "speeds")
    public void aFourthFigureOfTheLoadIsThePercentageOfTheUsualTime(String value, double speed) {
        assertEquals(load(value), load(3, 1, OptionalDouble.of(speed)));
    }

    @DataProvider
    Object[][] loadsWithoutSpeed() {
        return new Object[][] {
            {"3,1,8"},
            {"3,1,8,"},
            {"3,1,8,fast"},
            {"3,1,8,0"},
            {"3,1,8,-130"},
            {"3,1,8,NaN"},
            {"3,1,8,Infinity"},
            {"3,1,8,1e99"},
            {"3,1,8,9"},
            {"3,1,8,10001"}
        };
    }

    /** Guards against an absurd speed that is believed, or that hides the three figures before. */
    @Test(dataProvider = "loadsWithoutSpeed")
    public void anAbsurdOrMissingFourthFigureLeavesTheOtherThree(String value) {
        assertEquals(load(value), load(3, 1, OptionalDouble.empty()));
    }

    @DataProvider
    Object[][] noLoads() {
        return new Object[][] {
            {""}, {"3,1"}, {"3,1,0"}, {"3,1,-8,100"}, {"x,3,1,8"}, {"-3,1,8"}, {"3,,8,100"}
        };
    }

    /** Guards against figures that move to the place of one that can't be read. */
    @Test(dataProvider = "noLoads")
    public void aLoadWhoseFirstThreeFiguresAreNotNumbersIsIgnored(String value) {
        assertEquals(load(value), Optional.empty());
    }
}
