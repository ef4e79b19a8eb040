package org.coltsfootproxy.direct;

import java.util.Optional;
import org.coltsfootproxy.base.ErrorKind;
import org.coltsfootproxy.base.SuspectId;
import org.coltsfootproxy.entry.Failure;
import org.coltsfootproxy.quarantine.CrashQuarantine;

/** Decides which requests no target may get, whatever capacity there is. */
final class SendCheck {
    /**
     * Retry-after time of a request that can't be sent now, but perhaps soon or by another host.
     */
    static final long RETRY_AFTER_MILLIS = 250;

    private final CrashQuarantine mQuarantine;
    private final StreamVersions mVersions;
    private final Targets mTargets;

    SendCheck(CrashQuarantine quarantine, StreamVersions versions, Targets targets) {
        mQuarantine = quarantine;
        mVersions = versions;
        mTargets = targets;
    }

    /** Returns why a request may not be sent, if it or a part of its prompt is quarantined. */
    Optional<Failure> quarantineFailure(DirectRequest request) {
        return mQuarantine.firstQuarantined(request.content()).map(SendCheck::refusal);
    }

    private static Failure refusal(SuspectId suspect) {
        return suspect.isRequest()
                ? Failure.notRun(ErrorKind.REQUEST_QUARANTINED, "the request crashes targets", 0)
                : Failure.notRun(
                        ErrorKind.PROMPT_QUARANTINED,
                        "part " + suspect + " of the prompt crashes targets",
                        0);
    }

    /** Returns why a request may not be sent, if no target in its allowed regions can take it. */
    Optional<Failure> regionFailure(DirectRequest request) {
        boolean isServed =
                !request.isRestricted()
                        || mTargets.active(request.service()).anyMatch(request::isInAllowedRegion);
        return isServed
                ? Optional.empty()
                : Optional.of(
                        Failure.notRun(
                                ErrorKind.REGION_UNAVAILABLE,
                                "no target of " + request.service() + " in the allowed regions",
                                0));
    }

    /** Returns why a request may not be sent, if all targets of its service are evacuated. */
    Optional<Failure> evacuationFailure(DirectRequest request) {
        if (!mTargets.isEvacuated(request.service())) {
            return Optional.empty();
        }
        String detail = "all targets of " + request.service() + " are in evacuated data centres";
        return Optional.of(
                Failure.notRun(ErrorKind.DATA_CENTRE_EVACUATED, detail, RETRY_AFTER_MILLIS));
    }

    /**
     * Sets the version at which a stream that its caller takes up may go on; returns why it can't
     * go on, if so.
     */
    Optional<Failure> resumptionFailure(DirectRequest request, long nowNanos) {
        if (request.resumption().isEmpty() || !request.isResumable()) {
            return Optional.empty();
        }
        mVersions.versionOf(request, nowNanos).ifPresent(request::setVersion);
        boolean isServed =
                request.version()
                        .filter(version -> mTargets.serves(request.service(), version))
                        .isPresent();
        if (isServed) {
            return Optional.empty();
        }
        String version = request.version().map(v -> "version " + v).orElse("an unknown version");
        return Optional.of(
                Failure.notRun(
                        ErrorKind.STREAM_VERSION_UNAVAILABLE,
                        "no target of " + version + ", which began the stream",
                        RETRY_AFTER_MILLIS));
    }
}
