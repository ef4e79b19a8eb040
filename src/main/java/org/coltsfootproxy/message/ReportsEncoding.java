package org.coltsfootproxy.message;

import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.base.IdCache;
import org.coltsfootproxy.base.OrganisationId;
import org.coltsfootproxy.base.PackReader;
import org.coltsfootproxy.base.PackWriter;
import org.coltsfootproxy.base.RecordEncoding;
import org.coltsfootproxy.base.SoftwareVersion;
import org.coltsfootproxy.base.SuspectId;
import org.coltsfootproxy.base.TargetId;

/**
 * Encodes {@link FleetMessage.Reports}, which each host that calls targets sends and receives up to
 * 50 times a second.
 */
public final class ReportsEncoding implements RecordEncoding<FleetMessage.Reports> {
    private static final IdCache<HostId> HOSTS = IdCache.of(HostId::of);
    private static final IdCache<TargetId> TARGETS = IdCache.of(TargetId::of);
    private static final IdCache<OrganisationId> ORGANISATIONS = IdCache.of(OrganisationId::of);
    private static final IdCache<SoftwareVersion> VERSIONS = IdCache.of(SoftwareVersion::of);
    private static final IdCache<SuspectId> SUSPECTS = IdCache.of(SuspectId::of);

    @Override
    public void write(FleetMessage.Reports reports, PackWriter out) {
        out.record(2)
                .list(reports.reports(), ReportsEncoding::writeReport)
                .list(reports.ended(), (host, to) -> to.text(host.value()));
    }

    @Override
    public FleetMessage.Reports read(PackReader in) {
        return new FleetMessage.Reports(
                in.list(reports -> reports.record(ReportsEncoding::readReport)),
                in.list(hosts -> hosts.id(HOSTS)));
    }

    private static void writeReport(FleetMessage.HostReport report, PackWriter out) {
        out.record(9)
                .text(report.origin().value())
                .integer(report.epoch())
                .integer(report.sequence())
                .component(report.inFlight(), ReportsEncoding::writeInFlight)
                .component(report.usage(), ReportsEncoding::writeUsage)
                .component(report.refused(), ReportsEncoding::writeRefused)
                .list(report.leaving(), ReportsEncoding::writeLeaving)
                .component(report.crashes(), ReportsEncoding::writeCrashes)
                .list(report.streams(), ReportsEncoding::writeStreams);
    }

    private static FleetMessage.HostReport readReport(PackReader in) {
        return new FleetMessage.HostReport(
                in.id(HOSTS),
                in.longValue(),
                in.longValue(),
                in.record(ReportsEncoding::readInFlight),
                in.record(ReportsEncoding::readUsage),
                in.record(ReportsEncoding::readRefused),
                in.list(leaving -> leaving.record(ReportsEncoding::readLeaving)),
                in.record(ReportsEncoding::readCrashes),
                in.list(streams -> streams.record(ReportsEncoding::readStreams)));
    }

    private static void writeInFlight(FleetMessage.InFlight inFlight, PackWriter out) {
        out.record(2).list(inFlight.uses(), ReportsEncoding::writeUse).flag(inFlight.isComplete());
    }

    private static FleetMessage.InFlight readInFlight(PackReader in) {
        return new FleetMessage.InFlight(
                in.list(uses -> uses.record(ReportsEncoding::readUse)), in.flag());
    }

    private static void writeUse(FleetMessage.TargetUse use, PackWriter out) {
        out.record(9)
                .text(use.target().value())
                .integer(use.online())
                .integer(use.batch())
                .integer(use.kept())
                .integer(use.started())
                .number(use.perSecond())
                .integer(use.workMillis())
                .integer(use.memoryTokens())
                .integer(use.speedPercent());
    }

    private static FleetMessage.TargetUse readUse(PackReader in) {
        return new FleetMessage.TargetUse(
                in.id(TARGETS),
                in.intValue(),
                in.intValue(),
                in.intValue(),
                in.intValue(),
                in.number(),
                in.intValue(),
                in.intValue(),
                in.intValue());
    }

    private static void writeUsage(FleetMessage.Usage usage, PackWriter out) {
        out.record(1).list(usage.uses(), ReportsEncoding::writeCount);
    }

    private static FleetMessage.Usage readUsage(PackReader in) {
        return new FleetMessage.Usage(in.list(uses -> uses.record(ReportsEncoding::readCount)));
    }

    private static void writeCount(FleetMessage.AdmissionCount count, PackWriter out) {
        out.record(3)
                .text(count.organisation().value())
                .integer(count.admitted())
                .number(count.level());
    }

    private static FleetMessage.AdmissionCount readCount(PackReader in) {
        return new FleetMessage.AdmissionCount(in.id(ORGANISATIONS), in.longValue(), in.number());
    }

    private static void writeRefused(FleetMessage.RefusedRequests refused, PackWriter out) {
        out.record(1).list(refused.requests(), (request, to) -> to.integer(request));
    }

    private static FleetMessage.RefusedRequests readRefused(PackReader in) {
        return new FleetMessage.RefusedRequests(in.list(PackReader::longValue));
    }

    private static void writeLeaving(FleetMessage.LeavingTarget leaving, PackWriter out) {
        out.record(2).text(leaving.target().value()).integer(leaving.startedAt());
    }

    private static FleetMessage.LeavingTarget readLeaving(PackReader in) {
        return new FleetMessage.LeavingTarget(in.id(TARGETS), in.longValue());
    }

    private static void writeCrashes(FleetMessage.CrashReport report, PackWriter out) {
        out.record(3)
                .list(report.crashes(), ReportsEncoding::writeCrash)
                .list(report.sound(), (suspect, to) -> to.text(suspect.value()))
                .list(report.quarantined(), ReportsEncoding::writeQuarantined);
    }

    private static FleetMessage.CrashReport readCrashes(PackReader in) {
        return new FleetMessage.CrashReport(
                in.list(crashes -> crashes.record(ReportsEncoding::readCrash)),
                in.list(sound -> sound.id(SUSPECTS)),
                in.list(suspects -> suspects.record(ReportsEncoding::readQuarantined)));
    }

    private static void writeCrash(FleetMessage.TargetCrash crash, PackWriter out) {
        out.record(5)
                .text(crash.target().value())
                .text(crash.call())
                .list(crash.parts(), (part, to) -> to.text(part.value()))
                .id(crash.request(), SuspectId::value)
                .flag(crash.recurred());
    }

    private static FleetMessage.TargetCrash readCrash(PackReader in) {
        return new FleetMessage.TargetCrash(
                in.id(TARGETS),
                in.text(),
                in.list(parts -> parts.id(SUSPECTS)),
                in.id(SUSPECTS),
                in.flag());
    }

    private static void writeQuarantined(FleetMessage.Quarantined quarantined, PackWriter out) {
        out.record(2).text(quarantined.suspect().value()).integer(quarantined.remainingMillis());
    }

    private static FleetMessage.Quarantined readQuarantined(PackReader in) {
        return new FleetMessage.Quarantined(in.id(SUSPECTS), in.longValue());
    }

    private static void writeStreams(FleetMessage.BegunStreams streams, PackWriter out) {
        out.record(2)
                .text(streams.version().value())
                .list(streams.streams(), (stream, to) -> to.integer(stream));
    }

    private static FleetMessage.BegunStreams readStreams(PackReader in) {
        return new FleetMessage.BegunStreams(in.id(VERSIONS), in.list(PackReader::longValue));
    }
}
