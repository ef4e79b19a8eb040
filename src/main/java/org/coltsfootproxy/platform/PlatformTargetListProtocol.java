package org.coltsfootproxy.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.net.HostAndPort;
import com.google.common.net.InetAddresses;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import org.coltsfootproxy.base.DataCentre;
import org.coltsfootproxy.base.ErrorKind;
import org.coltsfootproxy.base.Names;
import org.coltsfootproxy.base.ProxyException;
import org.coltsfootproxy.base.ServiceId;
import org.coltsfootproxy.base.SoftwareVersion;
import org.coltsfootproxy.base.TargetId;
import org.coltsfootproxy.direct.TargetListProtocol;
import org.coltsfootproxy.message.ListedTarget;

/** Reads the platform's paged list of targets, which the platform calls instances. */
public final class PlatformTargetListProtocol implements TargetListProtocol {
    private static final String LIST_PATH = "/instances";
    private static final String STATE_READY = "ready";
    private static final String STATE_DRAINING = "draining";

    @Override
    public String firstPath() {
        return LIST_PATH;
    }

    @Override
    public Page read(byte[] body) throws ProxyException {
        ErrorKind kind = ErrorKind.TARGET_FAILED;
        JsonNode page = Json.object(body, kind);
        JsonNode list = Json.list(page, "instances", kind);
        List<ListedTarget> targets =
                Json.elements(list)
                        .map(PlatformTargetListProtocol::target)
                        .flatMap(Optional::stream)
                        .toList();
        // A page token here; in results of jobs, next_token is the position of the next result.
        JsonNode next = page.path("next_token");
        Optional<String> nextPath =
                next.isTextual() && !next.textValue().isEmpty()
                        ? Optional.of(LIST_PATH + "?page_token=" + encode(next.textValue()))
                        : Optional.empty();
        return new Page(targets, list.size() - targets.size(), nextPath);
    }

    private static String encode(String text) {
        return URLEncoder.encode(text, StandardCharsets.UTF_8);
    }

    /**
     * Returns the target that an entry describes; empty if the entry is malformed.
     *
     * <p>{@code zone} is the target's data centre, {@code slots} the number of requests it runs at
     * once, {@code born} the time at which it started, {@code version} the version of its software
     * (not of its models, which have versions of their own), {@code cold_left_ms} the time for
     * which it is still cold, and the state {@code draining} means that it is leaving and must get
     * no new requests.
     */
    private static Optional<ListedTarget> target(JsonNode entry) {
        String state = entry.path("state").asText();
        JsonNode slots = entry.path("slots");
        boolean isWellFormed =
                isName(entry.path("id"))
                        && isName(entry.path("service"))
                        && isName(entry.path("zone"))
                        && isAddress(entry.path("addr"))
                        && slots.isIntegralNumber()
                        && slots.intValue() > 0
                        && (entry.path("version").isMissingNode() || isName(entry.path("version")))
                        && (state.equals(STATE_READY) || state.equals(STATE_DRAINING));
        return isWellFormed
                ? Optional.of(
                        new ListedTarget(
                                TargetId.of(entry.path("id").textValue()),
                                ServiceId.of(entry.path("service").textValue()),
                                DataCentre.of(entry.path("zone").textValue()),
                                entry.path("addr").textValue(),
                                state.equals(STATE_DRAINING),
                                slots.intValue(),
                                entry.path("born").asLong(),
                                version(entry),
                                coldMillis(entry.path("cold_left_ms"))))
                : Optional.empty();
    }

    /** Returns how long a target is cold; 0 if the entry does not say it. */
    private static long coldMillis(JsonNode left) {
        if (!left.isNumber() || !(left.doubleValue() >= 0)) {
            return 0;
        }
        return left.doubleValue() == 0 ? ListedTarget.WARM : (long) Math.ceil(left.doubleValue());
    }

    private static SoftwareVersion version(JsonNode entry) {
        JsonNode version = entry.path("version");
        return version.isMissingNode()
                ? SoftwareVersion.UNNAMED
                : SoftwareVersion.of(version.textValue());
    }

    private static boolean isName(JsonNode value) {
        return value.isTextual() && Names.isValid(value.textValue());
    }

    private static boolean isAddress(JsonNode value) {
        try {
            HostAndPort address = HostAndPort.fromString(value.asText());
            return value.isTextual()
                    && address.hasPort()
                    && InetAddresses.isInetAddress(address.getHost());
        } catch (IllegalArgumentException e) {
            return false;
        }
    }
}
