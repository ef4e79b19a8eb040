package org.coltsfootproxy.job;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.stream.Stream;
import org.coltsfootproxy.base.ErrorKind;
import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.base.OrganisationId;
import org.coltsfootproxy.base.Ran;
import org.coltsfootproxy.base.RouteId;
import org.coltsfootproxy.base.ServiceId;
import org.coltsfootproxy.config.ConfigView;
import org.coltsfootproxy.config.Route;
import org.coltsfootproxy.message.ItemResult;
import org.coltsfootproxy.message.ItemState;
import org.coltsfootproxy.message.JobMessage;
import org.coltsfootproxy.message.JobState;
import org.coltsfootproxy.message.JobStatus;
import org.coltsfootproxy.node.Effect;
import org.coltsfootproxy.node.Input;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Contract of {@link JobGateway}. */
public final class JobGatewayTest {
    private static final OrganisationId FORTH = OrganisationId.of("forth");
    private static final HostId FIRST = HostId.of("control-1");
    private static final HostId SECOND = HostId.of("control-2");
    private static final String SUBMIT =
            "/v1/jobs?id=tides&service-path=/assistant/briefings&deadline=3600";
    private static final long SECOND_NANOS = 1_000_000_000L;

    private final List<Effect> mEffects = new ArrayList<>();
    private JobGateway mGateway;

    @BeforeMethod
    public void begin() {
        mEffects.clear();
        mGateway =
                JobGateway.create(
                        List.of(FIRST, SECOND), 1, 100, EpochClock.of(0, FakeFleet.EPOCH));
    }

    private static ConfigView config() {
        Route route =
                Route.of(
                        RouteId.of("assistant"),
                        "/assistant",
                        ServiceId.of("rota-assistant"),
                        false,
                        Set.of(FORTH),
                        Set.of("POST"),
                        10_000);
        return ConfigView.of(1, Stream.empty(), Stream.empty(), Stream.empty(), Stream.of(route));
    }

    private void call(String method, String path, String body) {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        var http = new Input.HttpCall(7, method, path, List.of(), bytes);
        mGateway.call(http, FORTH, config(), 0, mEffects::add);
    }

    private Effect.Send lastSend() {
        List<Effect.Send> sends =
                mEffects.stream()
                        .filter(Effect.Send.class::isInstance)
                        .map(Effect.Send.class::cast)
                        .toList();
        return sends.get(sends.size() - 1);
    }

    private <T extends JobMessage> T lastRequest(Class<T> type) {
        return type.cast(lastSend().message());
    }

    private int status() {
        return mEffects.stream()
                .filter(Effect.HttpHead.class::isInstance)
                .mapToInt(effect -> ((Effect.HttpHead) effect).status())
                .findFirst()
                .orElse(0);
    }

    private String body() {
        StringBuilder text = new StringBuilder();
        mEffects.stream()
                .filter(Effect.HttpChunk.class::isInstance)
                .forEach(e -> text.append(FakeFleet.text(((Effect.HttpChunk) e).bytes())));
        return text.toString();
    }

    private void refuse(HostId from, ErrorKind kind, HostId leader) {
        long call = lastRequest(JobMessage.Ask.class).call();
        var refused = new JobMessage.Refused(1, call, kind, kind.ran(), "no", 1_000, leader);
        mGateway.handle(from, refused, 0, mEffects::add);
    }

    @Test
    public void jsonLinesBecomeItemsWithTheirBodiesUnchanged() {
        call("POST", SUBMIT, "{\"id\":\"a\",\"body\":{\"x\":1.10}}\n\n{\"body\":\"tide\"}\n");

        JobMessage.Submit submit = lastRequest(JobMessage.Submit.class);
        assertEquals(submit.items().get(0).id(), "a");
        assertEquals(FakeFleet.text(submit.items().get(0).body()), "{\"x\":1.10}");
        assertEquals(FakeFleet.text(submit.items().get(1).body()), "\"tide\"");
        assertTrue(submit.spec().repeatable());
        assertEquals(submit.spec().deadlineEpochMillis(), FakeFleet.EPOCH + 3_600_000);
    }

    @DataProvider
    public Object[][] badCalls() {
        return new Object[][] {
            {"POST", SUBMIT, "{\"body\":1}\n{\"bodi\":2}", 422, "line 2 has the unknown field"},
            {"POST", SUBMIT, "{\"body\":", 422, "line 1 is not valid JSON"},
            {"POST", SUBMIT, "[1]", 422, "line 1 is not a JSON object"},
            {"POST", SUBMIT, "", 422, "the body has no items"},
            {"POST", SUBMIT.replace("tides", "a%20b"), "{\"body\":1}", 422, "not a valid name"},
            {"POST", SUBMIT.replace("3600", "soon"), "{\"body\":1}", 422, "'deadline' must be"},
            {"POST", SUBMIT.replace("/assistant", "/other"), "{\"body\":1}", 404, "no route"},
            {"POST", "/v1/jobs/tides/items?offset=-1", "", 422, "'offset' must be a number"},
            {"PUT", "/v1/jobs/tides/results", "", 405, "not allowed"},
            {"GET", "/v1/jobs/tides/other", "", 404, "no such path"},
            {"POST", "/v1/jobs/tides/items/0/settle?fence=1&decision=mark-done", "", 404, "path"},
        };
    }

    @Test(dataProvider = "badCalls")
    public void anInvalidCallIsRefusedWithTheReason(
            String method, String path, String body, int status, String detail) {
        call(method, path, body);

        assertEquals(status(), status, body());
        assertTrue(body().contains(detail), body());
        assertTrue(body().contains("\"ran\":\"no\""), body());
        assertTrue(mGateway.isDrained());
    }

    @Test
    public void aRequestFollowsTheLeaderAndIsAnsweredOnce() {
        call("DELETE", "/v1/jobs/tides", "");
        refuse(FIRST, ErrorKind.NO_LEADER, SECOND);
        mGateway.tick(SECOND_NANOS, mEffects::add);

        assertEquals(lastSend().to(), SECOND);
        refuse(SECOND, ErrorKind.NOT_FOUND, null);
        refuse(FIRST, ErrorKind.NO_LEADER, null);
        assertEquals(status(), 404);
        assertTrue(mGateway.isDrained());
    }

    @Test
    public void aRequestThatMayHaveArrivedIsAnsweredAsUnknownAndARefusedOneAsNotRun() {
        call("DELETE", "/v1/jobs/tides", "");
        mGateway.tick(11 * SECOND_NANOS, mEffects::add);
        assertTrue(body().contains("\"kind\":\"commit-unknown\""), body());
        assertTrue(body().contains("\"ran\":\"maybe\""), body());

        mEffects.clear();
        call("DELETE", "/v1/jobs/tides", "");
        refuse(lastSend().to(), ErrorKind.NO_LEADER, null);
        mGateway.tick(11 * SECOND_NANOS, mEffects::add);
        assertTrue(body().contains("\"kind\":\"no-leader\""), body());
        assertTrue(body().contains("\"ran\":\"" + Ran.NO.label()), body());
    }

    @Test
    public void resultsAreJsonLinesWithTheAnswersOfTheTarget() {
        call("POST", SUBMIT, "{\"body\":1}");
        JobMessage.Submit submit = lastRequest(JobMessage.Submit.class);
        JobStatus status =
                new JobStatus(
                        FORTH, submit.spec(), JobState.FINISHED, 3, 0, 0, 2, 0, 1, 0, 5, 9, 0);
        call("GET", "/v1/jobs/tides/results?from=1", "");
        long number = lastRequest(JobMessage.AskResults.class).call();
        byte[] json = "{\"a\":\n1}".getBytes(StandardCharsets.UTF_8);
        List<ItemResult> results =
                List.of(
                        new ItemResult(1, "x", ItemState.DONE, 200, json, "", 0, 0),
                        new ItemResult(
                                2, "", ItemState.MAY_HAVE_RUN, 0, new byte[0], "lost", 1, 77));
        mGateway.handle(
                FIRST,
                new JobMessage.Results(1, number, status, results, 3, true),
                0,
                mEffects::add);

        assertEquals(
                body(),
                "{\"index\":1,\"id\":\"x\",\"state\":\"done\",\"status\":200,\"body\":{\"a\":1}}\n"
                        + "{\"index\":2,\"state\":\"may-have-run\",\"error\":\"lost\","
                        + "\"attempts\":1,\"fence\":77}\n");
    }

    @Test
    public void operatorsSettleItemsOfAnyOrganisation() {
        String path =
                "/v1/organisations/forth/v1/jobs/tides/items/3/settle?fence=77&decision=run-again";
        assertTrue(JobGateway.servesOperators(path));
        var http = new Input.HttpCall(7, "POST", path, List.of(), new byte[0]);
        mGateway.operatorCall(http, config(), 0, mEffects::add);

        JobMessage.Settle settle = lastRequest(JobMessage.Settle.class);
        assertEquals(settle.item(), 3);
        assertEquals(settle.fence(), 77);
    }
}
