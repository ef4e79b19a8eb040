package org.coltsfootproxy.direct;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.coltsfootproxy.base.DataCentre;
import org.coltsfootproxy.base.ServiceId;
import org.coltsfootproxy.base.SoftwareVersion;
import org.coltsfootproxy.base.TargetId;
import org.coltsfootproxy.message.FleetMessage;
import org.coltsfootproxy.message.ListedTarget;
import org.coltsfootproxy.message.ServiceVersions;
import org.testng.annotations.Test;

/** Tests of the versions that control hosts record and entries go by. */
public final class ListedVersionsTest {
    private static final long SECOND = TimeUnit.SECONDS.toNanos(1);
    private static final ServiceId LM = ServiceId.of("lm");
    private static final FleetMessage.Listing NO_LIST =
            new FleetMessage.Listing(0, List.of(), List.of());

    private static List<ListedTarget> targets(String... versions) {
        return Stream.of(versions)
                .map(
                        version ->
                                new ListedTarget(
                                        TargetId.of("t-" + version),
                                        LM,
                                        DataCentre.of("z1"),
                                        "10.8.0.1:80",
                                        false,
                                        8,
                                        0,
                                        SoftwareVersion.of(version),
                                        ListedTarget.WARM))
                .toList();
    }

    private static Map<ServiceId, Set<SoftwareVersion>> record(String... versions) {
        return Map.of(LM, Stream.of(versions).map(SoftwareVersion::of).collect(Collectors.toSet()));
    }

    private static List<ServiceVersions> earlier(String... versions) {
        return List.of(
                new ServiceVersions(LM, Stream.of(versions).map(SoftwareVersion::of).toList()));
    }

    private static FleetMessage.Listing listing(
            long number, List<ListedTarget> targets, List<ServiceVersions> earlier) {
        return new FleetMessage.Listing(number, targets, earlier);
    }

    /** Guards against an entry trusting a list whose change is not recorded yet. */
    @Test
    public void aListThatTheRecordDoesNotCoverNamesNoEarlierVersions() {
        ListedVersions versions = ListedVersions.create();
        versions.update(true, record("v1"), 0);
        versions.listed(targets("v1", "v2"));
        assertEquals(versions.earlier(targets("v1", "v2"), NO_LIST), List.of());
        assertEquals(versions.takeDueRecord(), Optional.of(earlier("v1", "v2")));
        assertTrue(versions.update(true, record("v1", "v2"), SECOND));
        assertEquals(versions.earlier(targets("v1", "v2"), NO_LIST), earlier());
    }

    /** Guards against forgetting a version while streams that it began may be resumed. */
    @Test
    public void aVersionStaysOnRecordForThirtySecondsAfterItHasGone() {
        ListedVersions versions = ListedVersions.create();
        versions.update(true, record("v1", "v2"), 0);
        versions.listed(targets("v2"));
        assertEquals(versions.earlier(targets("v2"), NO_LIST), earlier("v1"));
        versions.update(true, record("v1", "v2"), 29 * SECOND);
        versions.listed(targets("v2"));
        assertEquals(versions.takeDueRecord(), Optional.empty());
        versions.update(true, record("v1", "v2"), 31 * SECOND);
        versions.listed(targets("v2"));
        assertEquals(versions.takeDueRecord(), Optional.of(earlier("v2")));
    }

    /** Guards against a new leader dropping a version that its predecessor has just seen. */
    @Test
    public void aNewLeaderKeepsTheRecordedVersionsForThirtySeconds() {
        ListedVersions versions = ListedVersions.create();
        versions.update(false, record("v1", "v2"), 0);
        versions.listed(targets("v1", "v2"));
        versions.listed(targets("v2"));
        versions.update(true, record("v1", "v2"), 100 * SECOND);
        assertEquals(versions.takeDueRecord(), Optional.empty());
        assertEquals(versions.earlier(targets("v2"), NO_LIST), earlier("v1"));
    }

    /** Guards against a host that doesn't lead removing versions by an outdated record. */
    @Test
    public void aHostThatDoesNotLeadOnlyAddsVersions() {
        ListedVersions versions = ListedVersions.create();
        versions.update(false, record("v2"), 0);
        FleetMessage.Listing known = listing(7, targets("v2"), earlier("v1"));
        assertEquals(versions.earlier(targets("v2"), known), earlier("v1"));
        assertEquals(versions.earlier(targets("v3"), known), earlier("v1", "v2"));
        assertEquals(versions.takeDueRecord(), Optional.empty());
    }

    /** Guards against a host that has just started vouching for the first list that it reads. */
    @Test
    public void aHostThatHasJustStartedAndDoesNotLeadNamesNoEarlierVersions() {
        ListedVersions versions = ListedVersions.create();
        versions.update(false, record("v1"), 0);
        versions.listed(targets("v1"));
        assertEquals(versions.earlier(targets("v1"), NO_LIST), List.of());
    }

    /** Guards against trusting lists of control hosts that keep no record (rolling upgrade). */
    @Test
    public void anEntryTrustsAListWithoutARecordOnlyAfterThirtySeconds() {
        StreamVersions streams = StreamVersions.create();
        streams.listed(listing(1, targets("v1"), null), 0);
        assertTrue(streams.needsStreams(29 * SECOND));
        assertFalse(streams.needsStreams(30 * SECOND));
    }

    /** Guards against refusals where the record names one version, and guesses where it doesn't. */
    @Test
    public void anEntryTrustsAListOnRecordIfNoOtherVersionIsNamed() {
        StreamVersions streams = StreamVersions.create();
        streams.listed(listing(1, targets("v1"), earlier()), 0);
        assertFalse(streams.needsStreams(0));
        streams.listed(listing(2, targets("v2"), earlier("v1")), SECOND);
        assertTrue(streams.needsStreams(SECOND));
    }

    /** Guards against items going on at the only version, which need not have begun them. */
    @Test
    public void outputOfAnUnknownVersionCanNotBeResumed() {
        Targets targets = Targets.create(DataCentre.of("z1"), new Random(1));
        targets.update(listing(1, targets("v2"), earlier()), effect -> {});
        Optional<String> lastEvent = Optional.of("3");
        assertFalse(targets.canResume(LM, Optional.empty(), lastEvent, target -> true));
        assertTrue(targets.canResume(LM, Optional.empty(), Optional.empty(), target -> true));
        assertTrue(
                targets.canResume(
                        LM, Optional.of(SoftwareVersion.of("v2")), lastEvent, target -> true));
        assertFalse(
                targets.canResume(
                        LM, Optional.of(SoftwareVersion.of("v1")), lastEvent, target -> true));
    }
}
