package org.coltsfootproxy.job;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.List;
import java.util.stream.IntStream;
import org.coltsfootproxy.base.ErrorKind;
import org.coltsfootproxy.base.JobId;
import org.coltsfootproxy.base.OrganisationId;
import org.coltsfootproxy.base.ProxyException;
import org.coltsfootproxy.base.ServiceId;
import org.coltsfootproxy.base.SoftwareVersion;
import org.coltsfootproxy.message.ItemProgress;
import org.coltsfootproxy.message.ItemReport;
import org.coltsfootproxy.message.ItemState;
import org.coltsfootproxy.message.JobItem;
import org.coltsfootproxy.message.JobSpec;
import org.coltsfootproxy.message.LeaseRef;
import org.coltsfootproxy.message.PartialOutput;
import org.coltsfootproxy.message.ReportVerdict;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Contract of {@link JobLedger}: quotas, retention and retries. */
public final class JobLedgerTest {
    private static final OrganisationId FORTH = OrganisationId.of("forth");
    private static final OrganisationId MORAY = OrganisationId.of("moray");
    private static final JobLimits LIMITS = new JobLimits(10, 3, 15, 4_000, 6_000);
    private static final long HOUR = 3_600_000;

    private JobLedger mLedger;

    @BeforeMethod
    public void begin() {
        mLedger = JobLedger.create();
    }

    private JobOutcome apply(JobCommand command) {
        try {
            return JobLedger.outcome(mLedger.apply(1, JobLedger.encode(command)));
        } catch (ProxyException e) {
            throw new AssertionError(e);
        }
    }

    private JobOutcome submit(OrganisationId organisation, String id, int items, int bytes) {
        List<JobItem> bodies =
                IntStream.range(0, items).mapToObj(i -> JobItem.of("", new byte[bytes])).toList();
        return apply(new JobCommand.Submit(1_000, organisation, spec(id, items), bodies, LIMITS));
    }

    private static JobSpec spec(String id, int items) {
        return JobSpec.of(
                JobId.of(id), FakeFleet.SERVICE, "POST", "/p", true, 1_000, HOUR, "later", items);
    }

    private static ErrorKind refusal(JobOutcome outcome) {
        return ((JobOutcome.Refused) outcome).kind();
    }

    private JobOutcome report(int item, long fence, ItemReport.Outcome outcome, long time) {
        ItemReport report =
                ItemReport.failed(new LeaseRef(1, item, fence), outcome, "e" + fence, 5);
        return apply(new JobCommand.Report(time, List.of(report), new RetryPolicy(3, 100, 150)));
    }

    @Test
    public void oneOrganisationsBacklogIsRefusedAboveItsQuotaAndLeavesRoomForOthers() {
        assertTrue(submit(FORTH, "a", 10, 10) instanceof JobOutcome.Accepted);
        assertEquals(refusal(submit(FORTH, "b", 6, 10)), ErrorKind.RATE_EXCEEDED);
        assertEquals(refusal(submit(FORTH, "c", 11, 10)), ErrorKind.INVALID_JOB);
        assertEquals(refusal(submit(FORTH, "d", 2, 2_000)), ErrorKind.RATE_EXCEEDED);
        assertTrue(submit(MORAY, "a", 10, 10) instanceof JobOutcome.Accepted);
        assertEquals(refusal(submit(MORAY, "e", 1, 3_900)), ErrorKind.RATE_EXCEEDED);
        OrganisationId third = OrganisationId.of("solway");
        assertTrue(submit(third, "a", 1, 3_900) instanceof JobOutcome.Accepted);
        assertEquals(refusal(submit(MORAY, "f", 1, 2_000)), ErrorKind.STORAGE_FULL);
    }

    @Test
    public void aRefusedSubmitLeavesNothingBehind() {
        byte[] before = mLedger.snapshot();
        submit(FORTH, "d", 2, 2_000);
        assertTrue(mLedger.job(FORTH, JobId.of("d")).isEmpty());
        assertEquals(mLedger.bytes(), 0);
        assertEquals(mLedger.snapshot().length, before.length);
    }

    @Test
    public void aFailingItemBacksOffLongerEachTimeAndFailsWithItsLastError() {
        submit(FORTH, "a", 2, 10);
        report(0, 1, ItemReport.Outcome.ATTEMPT_FAILED, 2_000);
        ItemTable items = mLedger.job(1).orElseThrow().items();
        assertEquals(items.failure(0).notBeforeEpochMillis(), 2_100);
        report(0, 1, ItemReport.Outcome.ATTEMPT_FAILED, 2_000);
        assertEquals(items.attempts(0), 1);
        report(0, 2, ItemReport.Outcome.GIVEN_BACK, 2_100);
        assertEquals(items.attempts(0), 1);
        report(0, 3, ItemReport.Outcome.ATTEMPT_FAILED, 3_000);
        assertEquals(items.failure(0).notBeforeEpochMillis(), 3_150);
        report(0, 4, ItemReport.Outcome.ATTEMPT_FAILED, 4_000);
        assertEquals(items.state(0), ItemState.FAILED);
        assertEquals(items.result(0).error(), "e4");
        assertEquals(items.state(1), ItemState.WAITING);
    }

    @Test
    public void theFirstRecordedResultIsNeverReplaced() {
        submit(FORTH, "a", 1, 10);
        assertEquals(done(1, "first"), List.of(ReportVerdict.RECORDED));
        assertEquals(done(2, "second"), List.of(ReportVerdict.DROPPED));
        report(0, 3, ItemReport.Outcome.ATTEMPT_FAILED, 3_000);

        ItemTable items = mLedger.job(1).orElseThrow().items();
        assertEquals(FakeFleet.text(items.result(0).body()), "first");
        assertEquals(items.attempts(0), 0);
        assertEquals(mLedger.dropped(), 2);
    }

    private List<ReportVerdict> done(long fence, String result) {
        byte[] body = result.getBytes(StandardCharsets.UTF_8);
        LeaseRef lease = new LeaseRef(1, 0, fence);
        ItemReport report = new ItemReport(lease, ItemReport.Outcome.DONE, 200, body, "", 5);
        JobOutcome outcome =
                apply(new JobCommand.Report(2_000, List.of(report), RetryPolicy.defaults()));
        return ((JobOutcome.Verdicts) outcome).verdicts();
    }

    @Test
    public void endedJobsExpireAfterTheirRetentionAndIncompleteOnesAfterTheReceivingTime() {
        submit(FORTH, "a", 1, 10);
        apply(new JobCommand.Begin(1_000, FORTH, spec("b", 5), LIMITS));
        report(0, 1, ItemReport.Outcome.DONE, 2_000);

        apply(new JobCommand.Expire(1_000 + HOUR, 2 * HOUR, HOUR));
        assertEquals(mLedger.jobs().count(), 2);
        apply(new JobCommand.Expire(1_001 + HOUR, 2 * HOUR, HOUR));
        assertEquals(mLedger.jobs().map(j -> j.spec().id().value()).toList(), List.of("a"));
        apply(new JobCommand.Expire(2_001 + 2 * HOUR, 2 * HOUR, HOUR));
        assertEquals(mLedger.jobs().count(), 0);
        assertEquals(mLedger.bytes(), 0);
        assertTrue(submit(FORTH, "c", 10, 10) instanceof JobOutcome.Accepted);
    }

    @Test
    public void aNewJobPastItsDeadlineIsRefusedAndAResentOneIsNot() {
        submit(FORTH, "a", 1, 10);
        List<JobItem> items = List.of(JobItem.of("", new byte[10]));
        var late = new JobCommand.Submit(2 * HOUR, FORTH, spec("a", 1), items, LIMITS);
        assertTrue(apply(late) instanceof JobOutcome.Accepted);
        var other = new JobCommand.Submit(2 * HOUR, FORTH, spec("b", 1), items, LIMITS);
        assertEquals(refusal(apply(other)), ErrorKind.INVALID_JOB);
    }

    private int progress(int item, int offset, String bytes, String lastEvent) {
        return progress(item, offset, bytes, lastEvent, "v1");
    }

    private int progress(int item, int offset, String bytes, String lastEvent, String version) {
        var piece =
                new PartialOutput(
                        bytes.getBytes(StandardCharsets.UTF_8),
                        lastEvent,
                        SoftwareVersion.of(version),
                        null);
        return progress(new ItemProgress(new LeaseRef(1, item, 1), offset, piece, 0, 0, ""));
    }

    private int progress(ItemProgress progress) {
        var command = new JobCommand.Progress(2_000, List.of(progress));
        return ((JobOutcome.Count) apply(command)).changed();
    }

    /** A piece with one event of the first item, of a run that began with some bytes. */
    private int progressOf(
            int fence, int restarts, int leased, int offset, String bytes, String lastEvent) {
        String before = leased == 0 ? "" : Integer.toString(Integer.parseInt(lastEvent) - 1);
        return progressOf(fence, restarts, leased, before, offset, bytes, lastEvent);
    }

    /** A piece of the first item, of a run that began with some bytes, up to an event. */
    private int progressOf(
            int fence,
            int restarts,
            int leased,
            String leasedEvent,
            int offset,
            String bytes,
            String lastEvent) {
        var piece =
                new PartialOutput(
                        bytes.getBytes(StandardCharsets.UTF_8),
                        lastEvent,
                        SoftwareVersion.of("v1"),
                        null);
        return progress(
                new ItemProgress(
                        new LeaseRef(1, 0, fence), offset, piece, leased, restarts, leasedEvent));
    }

    /** Guards against a text that goes on with a run that was not resumed where it ends. */
    @Test
    public void piecesOfTwoLeasesAreNotJoinedWhereTheirOffsetsMeet() {
        submit(FORTH, "a", 1, 10);
        assertEquals(progressOf(1, 0, 0, 0, "1:a", "1"), 1);
        // The item is leased again with this output while a piece of the first lease is in flight.
        assertEquals(progressOf(1, 0, 0, 3, "\n1:b", "2"), 1);
        assertEquals(progressOf(2, 0, 3, 3, "\n2:b", "2"), 0);
        assertEquals(progressOf(2, 0, 3, 7, "\n2:c", "3"), 0);
        assertEquals(partialOutput(0), "1:a\n1:b after 2");
        assertEquals(progressOf(1, 0, 0, 7, "\n1:c", "3"), 1);
        byte[] snapshot = mLedger.snapshot();
        begin();
        mLedger.restore(snapshot);
        assertEquals(progressOf(2, 0, 3, 11, "\n2:d", "4"), 0);
        assertEquals(progressOf(3, 0, 11, 11, "\n3:d", "4"), 1);
        assertEquals(progressOf(1, 0, 0, 15, "\n1:e", "5"), 0);
        assertEquals(partialOutput(0), "1:a\n1:b\n1:c\n3:d after 4");
    }

    /** Guards against a text that goes on with a run that was not resumed where it ends. */
    @Test
    public void outputThatBeginsAnewAtTheSameVersionReplacesTheOutputBefore() {
        submit(FORTH, "a", 1, 10);
        assertEquals(progressOf(1, 0, 0, 0, "1:a\n1:b", "2"), 1);
        assertEquals(progressOf(1, 1, 0, 0, "2:a", "1"), 1);
        assertEquals(progressOf(1, 1, 0, 3, "\n2:b", "2"), 1);
        assertEquals(progressOf(1, 0, 0, 7, "\n1:c", "3"), 0);
        assertEquals(partialOutput(0), "2:a\n2:b after 2");
        // The first piece got lost.
        assertEquals(progressOf(2, 0, 0, 7, "\n3:c", "3"), 0);
        assertEquals(progressOf(1, 0, 0, 0, "1:a", "1"), 0);
        assertEquals(partialOutput(0), "2:a\n2:b after 2");
    }

    /** Guards against a text that goes on with a run that was not resumed where it ends. */
    @Test
    public void aLaterLeaseGoesOnOnlyWithTheOutputThatItBeganWith() {
        submit(FORTH, "a", 1, 10);
        assertEquals(progressOf(1, 0, 0, 0, "1:abc", "1"), 1);
        // Leased again with this output while the run before begins anew.
        assertEquals(progressOf(1, 1, 0, 0, "9\n9:z", "2"), 1);
        assertEquals(progressOf(2, 0, 5, "1", 5, "\n2:b", "2"), 0);
        assertEquals(progressOf(3, 0, 5, "2", 5, "\n3:c", "3"), 1);
        assertEquals(partialOutput(0), "9\n9:z\n3:c after 3");
    }

    private String partialOutput(int item) {
        PartialOutput output = partialOutputOf(item);
        return new String(output.bytes(), StandardCharsets.UTF_8) + " after " + output.lastEvent();
    }

    @Test
    public void partialOutputIsKeptPieceByPieceAndInSnapshots() {
        submit(FORTH, "a", 2, 10);
        assertEquals(progress(1, 0, "one", "4"), 1);
        assertEquals(progress(1, 3, "\ntwo", "8"), 1);
        assertEquals(partialOutput(1), "one\ntwo after 8");
        byte[] snapshot = mLedger.snapshot();
        long bytes = mLedger.bytes();
        begin();
        mLedger.restore(snapshot);
        assertEquals(partialOutput(1), "one\ntwo after 8");
        assertEquals(partialOutput(0), " after ");
        assertEquals(mLedger.bytes(), bytes);
    }

    /** Guards against output of two software versions in one item. */
    @Test
    public void anItemThatBeginsAnewAtAnotherVersionReplacesItsOutput() {
        submit(FORTH, "a", 1, 10);
        assertEquals(progress(0, 0, "one", "4", "v1"), 1);
        assertEquals(progress(0, 3, "\ntwo", "8", "v2"), 0);
        assertEquals(partialOutput(0), "one after 4");
        assertEquals(progress(0, 0, "uno", "3", "v2"), 1);
        assertEquals(partialOutput(0), "uno after 3");
        assertEquals(progress(0, 3, "\ntwo", "8", "v1"), 0);
        assertEquals(progress(0, 3, "\ndue", "7", "v2"), 1);
        byte[] snapshot = mLedger.snapshot();
        begin();
        mLedger.restore(snapshot);
        assertEquals(partialOutput(0), "uno\ndue after 7");
        assertEquals(progress(0, 7, "\ntre", "9", "v2"), 1);
    }

    @Test
    public void aPieceThatDoesNotFollowTheKeptOutputIsIgnored() {
        submit(FORTH, "a", 1, 10);
        assertEquals(progress(0, 0, "one", "4"), 1);
        assertEquals(progress(0, 0, "one", "4"), 0);
        assertEquals(progress(0, 7, "late", "12"), 0);
        assertEquals(progress(9, 0, "none", "1"), 0);
        assertEquals(partialOutput(0), "one after 4");
    }

    @Test
    public void partialOutputIsDroppedWhenItsItemEnds() {
        submit(FORTH, "a", 1, 10);
        long before = mLedger.bytes();
        progress(0, 0, "one", "4");
        assertEquals(mLedger.bytes(), before + 3);
        report(0, 1, ItemReport.Outcome.GIVEN_BACK, 3_000);
        assertEquals(partialOutput(0), "one after 4");
        report(0, 1, ItemReport.Outcome.REFUSED, 3_000);
        assertEquals(partialOutput(0), " after ");
        assertEquals(progress(0, 0, "one", "4"), 0);
    }

    private int progressAt(ServiceId service, int fence, int offset, String bytes, String event) {
        var piece =
                new PartialOutput(
                        bytes.getBytes(StandardCharsets.UTF_8),
                        event,
                        SoftwareVersion.of("v1"),
                        service);
        return progress(new ItemProgress(new LeaseRef(1, 0, fence), offset, piece, offset, 0, "1"));
    }

    /** Guards against a text that one service has begun and another one continues. */
    @Test
    public void outputOfAnotherServiceOfTheSameVersionIsNotAppended() {
        ServiceId first = ServiceId.of("first");
        ServiceId second = ServiceId.of("second");
        submit(FORTH, "a", 1, 10);
        assertEquals(progressAt(first, 1, 0, "one", "1"), 1);
        byte[] snapshot = mLedger.snapshot();
        begin();
        mLedger.restore(snapshot);
        assertEquals(partialOutputOf(0).service(), first);
        assertEquals(progressAt(second, 2, 3, "\ntwo", "2"), 0);
        assertEquals(progressAt(first, 2, 3, "\ntwo", "2"), 1);
        assertEquals(partialOutput(0), "one\ntwo after 2");
        assertEquals(progressAt(second, 3, 0, "uno", "1"), 1);
        assertEquals(partialOutput(0), "uno after 1");
        assertEquals(partialOutputOf(0).service(), second);
    }

    /** Guards against jobs that are lost when a store is upgraded. */
    @Test
    public void aSnapshotWhosePartialOutputNamesNoServiceCanBeRead() {
        // Version 5: a job of one item with the output of one event.
        mLedger.restore(
                Base64.getDecoder()
                        .decode(
                                "BQABzQfQAcUBA4embnVtYmVyAaxvcmdhbmlzYXRpb26lZm9y"
                                        + "dGikc3BlY4uiaWShYadzZXJ2aWNlrnJvdGEtYXNzaXN0YW50"
                                        + "pm1ldGhvZKRQT1NUpHBhdGiiL3CqcmVwZWF0YWJsZcOtdGlt"
                                        + "ZW91dE1pbGxpc80D6LNkZWFkbGluZUVwb2NoTWlsbGlzzgA2"
                                        + "7oCvZGVhZGxpbmVBc0dpdmVupWxhdGVypWl0ZW1zAattYXhB"
                                        + "dHRlbXB0cwCuYWxsb3dlZFJlZ2lvbnPApXN0YXRlp1JVTk5J"
                                        + "TketdG91Y2hlZE1pbGxpc80D6K5hY2NlcHRlZE1pbGxpc80D"
                                        + "6K5maW5pc2hlZE1pbGxpcwABANPqGgn4yIV4g8QGAAAAAAAA"
                                        + "wMDEA29uZaE0onYxBwAA"));
        assertEquals(partialOutput(0), "one after 4");
        assertNull(partialOutputOf(0).service());
    }

    private PartialOutput partialOutputOf(int item) {
        return mLedger.job(1).orElseThrow().items().partialOutput(item);
    }
}
