package org.coltsfootproxy.job;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.base.Incarnation;
import org.coltsfootproxy.base.JobId;
import org.coltsfootproxy.base.OrganisationId;
import org.coltsfootproxy.base.RouteId;
import org.coltsfootproxy.base.ServiceId;
import org.coltsfootproxy.config.ConfigView;
import org.coltsfootproxy.config.Route;
import org.coltsfootproxy.message.ItemReport;
import org.coltsfootproxy.message.JobItem;
import org.coltsfootproxy.message.JobMessage;
import org.coltsfootproxy.message.JobSpec;
import org.coltsfootproxy.message.JobState;
import org.coltsfootproxy.message.LeaseRef;
import org.coltsfootproxy.message.LeasedItem;
import org.coltsfootproxy.message.Message;
import org.coltsfootproxy.message.ReportVerdict;
import org.coltsfootproxy.node.Effect;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Contract of {@link JobService} towards entries and agents. */
public final class JobServiceTest {
    private static final HostId ENTRY = HostId.of("entry-1");
    private static final HostId AGENT = HostId.of("agent-1");
    private static final HostId OTHER_AGENT = HostId.of("agent-2");
    private static final Incarnation INCARNATION = Incarnation.of(11);
    private static final Incarnation NEXT_INCARNATION = Incarnation.of(12);
    private static final OrganisationId FORTH = OrganisationId.of("forth");
    private static final ServiceId SERVICE = ServiceId.of("rota-assistant");
    private static final long SECOND = 1_000_000_000L;

    private FakeLog mLog;
    private FakeLog.Host mHost;
    private JobService mService;
    private ConfigView mConfig = ConfigView.empty();
    private long mNow;
    private final List<Effect.Send> mSent = new ArrayList<>();

    @BeforeMethod
    public void begin() {
        mLog = new FakeLog();
        mHost = mLog.addHost("control-1");
        mLog.changeLeader(mHost, 0);
        mNow = 5 * SECOND;
        mConfig = ConfigView.empty();
        mService = service();
        step(0);
        step(JobSettings.defaults().maxLease().toNanos());
        mSent.clear();
    }

    private JobService service() {
        return JobService.create(
                mHost.id(),
                1,
                mHost.ledger(),
                mHost,
                JobSettings.defaults(),
                organisation -> 1,
                JobServices.routedBy(() -> mConfig),
                EpochClock.of(0, 1_000_000_000_000L));
    }

    /** Advances the time, commits all proposals and runs the work that is due. */
    private void step(long nanos) {
        mNow += nanos;
        mService.tick(mNow, this::collect);
        while (!mLog.isIdle()) {
            mLog.commitAll();
            mService.tick(mNow, this::collect);
        }
    }

    private void collect(Effect effect) {
        if (effect instanceof Effect.Send send) {
            mSent.add(send);
        }
    }

    private void deliver(HostId from, JobMessage message) {
        mService.handle(from, message, mNow, this::collect);
        step(0);
    }

    private <T extends Message> List<T> sent(HostId to, Class<T> type) {
        return mSent.stream()
                .filter(send -> send.to().equals(to))
                .map(Effect.Send::message)
                .filter(type::isInstance)
                .map(type::cast)
                .toList();
    }

    private <T extends Message> T last(HostId to, Class<T> type) {
        List<T> all = sent(to, type);
        return all.get(all.size() - 1);
    }

    private void submit(String id, boolean repeatable, int items) {
        JobSpec spec =
                JobSpec.of(
                        JobId.of(id),
                        SERVICE,
                        "POST",
                        "/assistant/briefings",
                        repeatable,
                        10_000,
                        1_000_000_000_000L + 3_600_000,
                        "3600",
                        items);
        List<JobItem> bodies =
                IntStream.range(0, items)
                        .mapToObj(i -> JobItem.of("i" + i, bytes("body " + i)))
                        .toList();
        deliver(ENTRY, new JobMessage.Submit(1, 1, FORTH, spec, bodies));
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private List<LeasedItem> pull(HostId agent, Incarnation incarnation, int slots) {
        deliver(agent, new JobMessage.Pull(1, incarnation, SERVICE, 1, slots, slots));
        return last(agent, JobMessage.Lot.class).items();
    }

    private JobMessage.Status status(String id) {
        deliver(ENTRY, new JobMessage.AskStatus(1, 9, FORTH, JobId.of(id)));
        return last(ENTRY, JobMessage.Status.class);
    }

    private static ItemReport done(LeaseRef lease) {
        return new ItemReport(
                lease, ItemReport.Outcome.DONE, 200, bytes("r" + lease.item()), "", 100);
    }

    @Test
    public void aSubmittedJobRunsThroughAnAgentToItsResults() {
        submit("tides", true, 3);
        assertEquals(last(ENTRY, JobMessage.Status.class).status().state(), JobState.RUNNING);

        List<LeasedItem> lot = pull(AGENT, INCARNATION, 3);
        List<ItemReport> reports = lot.stream().map(item -> done(item.lease())).toList();
        deliver(AGENT, new JobMessage.Report(1, INCARNATION, reports));

        assertEquals(
                last(AGENT, JobMessage.Reported.class).settled().stream()
                        .map(JobMessage.Reported.Settled::verdict)
                        .distinct()
                        .toList(),
                List.of(ReportVerdict.RECORDED));
        assertEquals(status("tides").status().state(), JobState.FINISHED);
        deliver(ENTRY, new JobMessage.AskResults(1, 3, FORTH, JobId.of("tides"), 1));
        JobMessage.Results page = last(ENTRY, JobMessage.Results.class);
        assertEquals(page.results().stream().map(r -> r.index()).toList(), List.of(1, 2));
        assertEquals(page.results().get(0).body(), bytes("r1"));
        assertTrue(page.ended());
    }

    @Test
    public void aNewIncarnationOfAnAgentFreesTheItemsOfThePreviousOne() {
        submit("tides", true, 1);
        LeaseRef first = pull(AGENT, INCARNATION, 1).get(0).lease();

        LeaseRef second = pull(AGENT, NEXT_INCARNATION, 1).get(0).lease();
        assertTrue(second.fence() > first.fence());
        deliver(AGENT, new JobMessage.Report(1, INCARNATION, List.of(done(first))));

        assertEquals(status("tides").status().done(), 0);
        deliver(AGENT, new JobMessage.Report(1, NEXT_INCARNATION, List.of(done(second))));
        assertEquals(status("tides").status().done(), 1);
    }

    @Test
    public void aStartedItemOfALostAgentIsInDoubtAndNeverLeasedAgain() {
        submit("swap", false, 1);
        LeaseRef lease = pull(AGENT, INCARNATION, 1).get(0).lease();
        deliver(AGENT, new JobMessage.Start(1, INCARNATION, List.of(lease)));
        assertEquals(last(AGENT, JobMessage.Started.class).granted(), List.of(lease));

        step(60 * SECOND);
        deliver(OTHER_AGENT, new JobMessage.Pull(1, INCARNATION, SERVICE, 1, 1, 1));

        assertEquals(status("swap").status().mayHaveRun(), 1);
        assertTrue(sent(OTHER_AGENT, JobMessage.Lot.class).isEmpty());
    }

    @Test
    public void anAgentKeepsItsLeasesAcrossAChangeOfLeader() {
        submit("tides", true, 1);
        LeaseRef lease = pull(AGENT, INCARNATION, 1).get(0).lease();
        mService = service();
        step(0);
        deliver(OTHER_AGENT, new JobMessage.Pull(1, INCARNATION, SERVICE, 1, 1, 1));
        deliver(AGENT, new JobMessage.Renew(1, INCARNATION, 2, List.of(lease)));

        assertEquals(last(AGENT, JobMessage.Renewed.class).lost(), List.of());
        step(29 * SECOND);
        deliver(AGENT, new JobMessage.Renew(1, INCARNATION, 3, List.of(lease)));
        step(29 * SECOND);
        assertTrue(sent(OTHER_AGENT, JobMessage.Lot.class).isEmpty());
        deliver(AGENT, new JobMessage.Report(1, INCARNATION, List.of(done(lease))));
        assertEquals(status("tides").status().done(), 1);
    }

    @Test
    public void aCancelRevokesTheLeasesAndDropsTheLateResult() {
        submit("tides", true, 2);
        LeaseRef lease = pull(AGENT, INCARNATION, 1).get(0).lease();
        deliver(ENTRY, new JobMessage.Cancel(1, 5, FORTH, JobId.of("tides")));

        assertEquals(last(AGENT, JobMessage.Revoke.class).leases(), List.of(lease));
        deliver(AGENT, new JobMessage.Report(1, INCARNATION, List.of(done(lease))));
        assertEquals(
                last(AGENT, JobMessage.Reported.class).settled().get(0).verdict(),
                ReportVerdict.CANCELLED);
        assertEquals(status("tides").status().cancelled(), 2);
    }

    private static ItemReport failed(LeaseRef lease, ItemReport.Outcome outcome) {
        return ItemReport.failed(lease, outcome, "the target answered so", 0);
    }

    /** Guards against items that fail at targets again as failures of lost leases are forgotten. */
    @Test
    public void aFinalFailureUnderALostLeaseEndsTheItem() {
        submit("tides", true, 1);
        LeaseRef lost = pull(AGENT, INCARNATION, 1).get(0).lease();
        step(JobSettings.defaults().maxLease().toNanos());
        LeaseRef current = pull(OTHER_AGENT, INCARNATION, 1).get(0).lease();

        ItemReport refused = failed(lost, ItemReport.Outcome.REFUSED);
        deliver(AGENT, new JobMessage.Report(1, INCARNATION, List.of(refused)));

        assertEquals(status("tides").status().failed(), 1);
        assertEquals(last(OTHER_AGENT, JobMessage.Revoke.class).leases(), List.of(current));
    }

    /** Guards against items that fail at targets again as failures of lost leases are forgotten. */
    @Test
    public void aFailureUnderALostLeaseCountsAsAnAttemptAndKeepsTheCurrentLease() {
        submit("tides", true, 1);
        LeaseRef lost = pull(AGENT, INCARNATION, 1).get(0).lease();
        step(JobSettings.defaults().maxLease().toNanos());
        LeaseRef current = pull(OTHER_AGENT, INCARNATION, 1).get(0).lease();

        ItemReport failure = failed(lost, ItemReport.Outcome.ATTEMPT_FAILED);
        deliver(AGENT, new JobMessage.Report(1, INCARNATION, List.of(failure)));
        deliver(AGENT, new JobMessage.Report(1, INCARNATION, List.of(failure)));
        assertEquals(mHost.ledger().job(lost.job()).orElseThrow().items().attempts(0), 1);

        deliver(OTHER_AGENT, new JobMessage.Report(1, INCARNATION, List.of(done(current))));
        assertEquals(status("tides").status().done(), 1);
    }

    private static ConfigView routedTo(ServiceId service) {
        Route route =
                Route.of(
                        RouteId.of("briefings"),
                        "/assistant",
                        service,
                        false,
                        Set.of(),
                        Set.of("POST"),
                        10_000);
        return ConfigView.of(2, Stream.of(), Stream.of(), Stream.of(), Stream.of(route));
    }

    /** Guards against items that are kept for the agents of a service that their route has left. */
    @Test
    public void theItemsOfAMovedRouteAreLeasedToTheAgentsOfTheNewService() {
        ServiceId next = ServiceId.of("next-assistant");
        mConfig = routedTo(SERVICE);
        submit("a", true, 2);
        deliver(OTHER_AGENT, new JobMessage.Pull(1, INCARNATION, next, 1, 4, 4));
        step(SECOND);
        assertTrue(sent(OTHER_AGENT, JobMessage.Lot.class).isEmpty());
        mConfig = routedTo(next);
        step(SECOND);
        List<LeasedItem> items = last(OTHER_AGENT, JobMessage.Lot.class).items();
        assertEquals(items.size(), 2);
        assertTrue(items.stream().allMatch(item -> item.service().equals(next)));
        deliver(AGENT, new JobMessage.Pull(1, INCARNATION, SERVICE, 1, 4, 4));
        submit("b", true, 2);
        step(SECOND);
        assertTrue(sent(AGENT, JobMessage.Lot.class).isEmpty());
    }

    /** Guards against items that no agent gets because their route was removed. */
    @Test
    public void theItemsOfARemovedRouteStayAtTheirServiceAtSubmission() {
        mConfig = routedTo(SERVICE);
        submit("a", true, 2);
        mConfig = ConfigView.empty();
        assertEquals(pull(AGENT, INCARNATION, 4).size(), 2);
    }
}
