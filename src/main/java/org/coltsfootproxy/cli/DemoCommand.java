package org.coltsfootproxy.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.coltsfootproxy.base.ErrorKind;
import org.coltsfootproxy.base.ProxyException;

/**
 * The demonstration: runs a complete fleet in one process, sends online calls and a batch job, and
 * checks the promises of the system.
 */
final class DemoCommand {
    private static final int ITEMS = 200;
    private static final int IMPOSSIBLE_ITEM = 17;
    private static final int CALLS = 50;
    private static final Duration KEY_WITHDRAWAL_LIMIT = Duration.ofSeconds(4);
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final DemoFleet mFleet;
    private final Output mOut;
    private final HostClient mOperatorClient;
    private final HostClient mSolwayClient;
    private final Checks mChecks;

    private DemoCommand(DemoFleet fleet, Output out) {
        mFleet = fleet;
        mOut = out;
        mChecks = new Checks(out);
        mOperatorClient = HostClient.of(fleet.adminAddress(), DemoFleet.OPERATOR_KEY);
        mSolwayClient = HostClient.of(fleet.callerAddress(), DemoFleet.SOLWAY_KEY);
    }

    static List<Command> all() {
        Options options =
                new Options()
                        .addOption(
                                "1", "once", false, "end after the checks instead of staying up");
        return List.of(
                new SimpleCommand(
                        "demo",
                        "",
                        "run a whole fleet in one process and check what it promises",
                        options,
                        DemoCommand::run));
    }

    private static void run(CommandLine line, Output out) throws ProxyException {
        DemoFleet fleet = DemoFleet.start();
        try {
            DemoCommand demo = new DemoCommand(fleet, out);
            demo.runChecks();
            demo.mChecks.summarise();
            if (!line.hasOption("once")) {
                demo.printExamples();
                awaitShutdown();
            }
        } finally {
            fleet.stop();
        }
    }

    private void runChecks() throws ProxyException {
        mOut.line("applying the first change ticket");
        mChecks.await("a control host leads", () -> tryApply(mFleet.firstTicket()));
        mChecks.await(
                "the first ticket is in force at the entry",
                () -> status(mSolwayClient, "/cards/1") == 200);
        checkOnlineCalls();
        checkBatchJob();
        checkKeyWithdrawal();
        mChecks.check(
                "no key header reached a target",
                hasNoKeyFields(mFleet.engine().record().keyFields())
                        && hasNoKeyFields(mFleet.plain().record().keyFields()));
    }

    private static boolean hasNoKeyFields(Set<String> fields) {
        return fields.isEmpty();
    }

    private boolean tryApply(String ticket) throws ProxyException {
        try {
            mOperatorClient.send("POST", "/v1/tickets", bytes(ticket), "application/yaml");
            return true;
        } catch (ProxyException e) {
            if (e.kind() == ErrorKind.NO_LEADER || e.kind() == ErrorKind.COMMIT_UNKNOWN) {
                return false;
            }
            throw e;
        }
    }

    private void checkOnlineCalls() throws ProxyException {
        mOut.line("sending online calls");
        long answered =
                IntStream.range(0, CALLS)
                        .filter(i -> isAnswered("/cards/" + i, "\"/cards/" + i + "\""))
                        .count();
        mChecks.check(CALLS + " calls each got the answer to its own request", answered == CALLS);
        String prompt = "{\"id\":\"demo-prompt\",\"prompt\":\"Who sits?\",\"stream\":true}";
        byte[] stream =
                mSolwayClient.send("POST", "/assistant/ask", bytes(prompt), "application/json");
        mChecks.check("a stream of tokens came through", text(stream).contains("data: "));
        byte[] swap = bytes("{\"id\":\"demo-swap\"}");
        mSolwayClient.send("POST", "/swaps", swap, "application/json");
        int runs = mFleet.plain().record().runs().getOrDefault("demo-swap", 0);
        mChecks.check("a swap ran exactly once", runs == 1);
        HostClient anonymousClient = HostClient.of(mFleet.callerAddress(), "");
        mChecks.check(
                "a call without a key is refused", status(anonymousClient, "/cards/1") == 401);
        mChecks.check("an open route needs no key", status(anonymousClient, "/tides/today") == 200);
    }

    private boolean isAnswered(String path, String expected) {
        try {
            return text(mSolwayClient.get(path)).contains(expected);
        } catch (ProxyException e) {
            mOut.line("  " + path + ": " + e.kind().label() + ": " + e.getMessage());
            return false;
        }
    }

    private void checkBatchJob() throws ProxyException {
        mOut.line("submitting a batch job of " + ITEMS + " items, one of which can't be done");
        String items =
                IntStream.range(0, ITEMS)
                        .mapToObj(DemoCommand::item)
                        .collect(Collectors.joining("\n"));
        String path = "/v1/jobs?id=briefings&service-path=/assistant/brief&deadline=600";
        mChecks.await("the job is accepted", () -> trySubmit(path, items));
        mChecks.await("the job ends", this::isJobEnded);
        List<JsonNode> results = results();
        long done = results.stream().filter(r -> r.path("status").asInt() == 200).count();
        mChecks.check("every possible item has its result", done == ITEMS - 1);
        JsonNode impossibleResult = results.get(IMPOSSIBLE_ITEM);
        mChecks.check(
                "the impossible item is reported",
                !impossibleResult.path("error").asText().isEmpty());
        mChecks.check(
                "no item ran twice to its end",
                mFleet.engine().record().completed().values().stream().allMatch(n -> n == 1));
    }

    private static String item(int number) {
        boolean isImpossible = number == IMPOSSIBLE_ITEM;
        return String.format(
                "{\"id\":\"i%d\",\"body\":{\"id\":\"briefing-%d\",\"tokens\":4,\"impossible\":%b}}",
                number, number, isImpossible);
    }

    private boolean trySubmit(String path, String items) throws ProxyException {
        try {
            mSolwayClient.send("POST", path, bytes(items), "application/jsonl");
            return true;
        } catch (ProxyException e) {
            if (e.kind() == ErrorKind.NO_LEADER) {
                return false;
            }
            throw e;
        }
    }

    private boolean isJobEnded() throws ProxyException {
        JsonNode status = json(mSolwayClient.get("/v1/jobs/briefings"));
        String state = status.path("state").asText();
        return !Set.of("loading", "running", "open", "accepted").contains(state);
    }

    private List<JsonNode> results() throws ProxyException {
        List<JsonNode> all = new ArrayList<>();
        int previousSize = -1;
        while (all.size() > previousSize && all.size() < ITEMS) {
            previousSize = all.size();
            String lines =
                    text(mSolwayClient.get("/v1/jobs/briefings/results?from=" + previousSize));
            for (String line : lines.lines().toList()) {
                all.add(json(bytes(line)));
            }
        }
        return all;
    }

    private void checkKeyWithdrawal() throws ProxyException {
        mOut.line("withdrawing a key");
        HostClient minchClient = HostClient.of(mFleet.callerAddress(), DemoFleet.MINCH_KEY);
        mChecks.check("the key works before", status(minchClient, "/cards/1") == 200);
        tryApply("ticket: 2\nremove:\n  keys: [minch-1]\n");
        long start = System.nanoTime();
        mChecks.await(
                "the withdrawn key stops working", () -> status(minchClient, "/cards/1") == 401);
        boolean isWithinLimit = System.nanoTime() - start < KEY_WITHDRAWAL_LIMIT.toNanos();
        mChecks.check(
                "it stopped within " + KEY_WITHDRAWAL_LIMIT.toSeconds() + " s", isWithinLimit);
    }

    /** Returns the HTTP status of a call. */
    private static int status(HostClient client, String path) throws ProxyException {
        try {
            client.get(path);
            return 200;
        } catch (ProxyException e) {
            return e.kind().status();
        }
    }

    private void printExamples() {
        String callerUrl = "http://" + mFleet.callerAddress();
        mOut.line("");
        mOut.line("Try, while this runs (control-C stops it):");
        mOut.line(
                "  curl -i -H 'Authorization: Bearer "
                        + DemoFleet.SOLWAY_KEY
                        + "' "
                        + callerUrl
                        + "/cards/1");
        mOut.line("  curl -i " + callerUrl + "/cards/1");
        mOut.line("  curl -i " + callerUrl + "/tides/today");
        mOut.line(
                "  curl -N -H 'Authorization: Bearer "
                        + DemoFleet.SOLWAY_KEY
                        + "' -d '{\"id\":\"q1\",\"stream\":true}' "
                        + callerUrl
                        + "/assistant/ask");
        mOut.line(
                "  coltsfootproxy status --address "
                        + mFleet.adminAddress()
                        + " --key "
                        + DemoFleet.OPERATOR_KEY);
        mOut.line("  curl http://" + mFleet.adminAddress() + "/metrics");
    }

    private static void awaitShutdown() {
        CountDownLatch stopped = new CountDownLatch(1);
        Thread main = Thread.currentThread();
        Runtime.getRuntime()
                .addShutdownHook(
                        new Thread(
                                () -> {
                                    stopped.countDown();
                                    joinQuietly(main);
                                }));
        try {
            stopped.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static void joinQuietly(Thread thread) {
        try {
            thread.join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private static String text(byte[] bytes) {
        return new String(bytes, StandardCharsets.UTF_8);
    }

    private static JsonNode json(byte[] bytes) throws ProxyException {
        try {
            return MAPPER.readTree(bytes);
        } catch (IOException e) {
            throw ProxyException.of(ErrorKind.INTERNAL, "the answer is not JSON", e);
        }
    }
}
