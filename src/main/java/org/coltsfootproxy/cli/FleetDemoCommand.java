package org.coltsfootproxy.cli;

import java.util.List;
import java.util.function.IntFunction;
import java.util.stream.IntStream;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.coltsfootproxy.base.ProxyException;
import org.coltsfootproxy.runtime.FleetDemo;

/**
 * The demonstration of a fleet whose hosts discover each other through seeds: sends requests and a
 * batch job, and checks the promises of the system. The build also runs it once to record which
 * classes a host loads.
 */
final class FleetDemoCommand {
    private static final int REQUESTS = 50;
    private static final int ITEMS = 20;

    private final FleetDemo mFleet;
    private final Checks mChecks;

    private FleetDemoCommand(FleetDemo fleet, Output out) {
        mFleet = fleet;
        mChecks = new Checks(out);
    }

    static List<Command> all() {
        return List.of(
                new SimpleCommand(
                        "fleet-demo",
                        "",
                        "run a fleet found by seeds in one process and check what it promises",
                        new Options(),
                        FleetDemoCommand::run));
    }

    private static void run(CommandLine line, Output out) throws ProxyException {
        try (FleetDemo fleet = FleetDemo.start()) {
            new FleetDemoCommand(fleet, out).runChecks();
        }
    }

    private void runChecks() throws ProxyException {
        mChecks.await("the configuration is taken", mFleet::configure);
        mChecks.await("a stream comes whole", () -> mFleet.isStreamed("first"));
        checkOnlineRequests();
        mChecks.await("a batch job is accepted", () -> mFleet.submit(ITEMS));
        mChecks.await("its results come whole", () -> mFleet.isJobComplete(ITEMS));
        mChecks.check("each item ran once", eachRanOnce(ITEMS, FleetDemo::item));
        mChecks.summarise();
    }

    private void checkOnlineRequests() throws ProxyException {
        int streams = 0;
        int answers = 0;
        for (int number = 0; number < REQUESTS; number++) {
            streams += mFleet.isStreamed("stream-" + number) ? 1 : 0;
            answers += mFleet.isAnswered("plain-" + number) ? 1 : 0;
        }
        mChecks.check(REQUESTS + " streams came whole", streams == REQUESTS);
        mChecks.check(REQUESTS + " answers came whole", answers == REQUESTS);
        mChecks.check("each request ran once", eachRanOnce(REQUESTS, n -> "plain-" + n));
    }

    private boolean eachRanOnce(int count, IntFunction<String> name) {
        return IntStream.range(0, count).allMatch(n -> mFleet.runs(name.apply(n)) == 1);
    }
}
