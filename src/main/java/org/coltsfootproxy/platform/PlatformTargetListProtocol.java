package org.coltsfootproxy.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.net.HostAndPort;
import com.google.common.net.InetAddresses;
import java.io.IOException;
import java.net.InetAddress;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
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

    /** A page token here; in results of jobs, it is the position of the next result. */
    private static final String NEXT_TOKEN = "next_token";

    /** Slots above which an entry can't be meant; many times that of any sound target. */
    private static final int MAX_SLOTS = 1 << 16;

    /** Longest cold time that is believed; many times that of any sound target. */
    private static final double MAX_COLD_MILLIS = 3_600_000;

    private static final String STATE_READY = "ready";
    private static final String STATE_DRAINING = "draining";

    @Override
    public String firstPath() {
        return LIST_PATH;
    }

    @Override
    public Page read(byte[] body) throws ProxyException {
        try {
            Map<String, byte[]> page = JsonSpans.fields(body);
            List<byte[]> entries = JsonSpans.elements(field(page, "instances"));
            List<ListedTarget> targets =
                    entries.stream()
                            .map(PlatformTargetListProtocol::parse)
                            .flatMap(Optional::stream)
                            .map(PlatformTargetListProtocol::target)
                            .flatMap(Optional::stream)
                            .toList();
            return new Page(targets, entries.size() - targets.size(), nextPath(page));
        } catch (IllegalArgumentException e) {
            throw ProxyException.of(
                    ErrorKind.TARGET_FAILED, "not a page of targets: " + e.getMessage(), e);
        }
    }

    private static byte[] field(Map<String, byte[]> page, String name) {
        return Optional.ofNullable(page.get(name))
                .orElseThrow(() -> new IllegalArgumentException("'" + name + "' is missing"));
    }

    /** Parses one entry or field; returns empty if it can't be read. */
    private static Optional<JsonNode> parse(byte[] value) {
        try {
            return Optional.of(Json.value(value));
        } catch (IOException e) {
            // The caller counts it as damaged, or names it.
            return Optional.empty();
        }
    }

    /**
     * Returns the path of the next page. A token that can't be read fails the page, since the
     * targets of further pages would seem to be gone.
     */
    private static Optional<String> nextPath(Map<String, byte[]> page) {
        if (!page.containsKey(NEXT_TOKEN)) {
            return Optional.empty();
        }
        JsonNode token =
                parse(page.get(NEXT_TOKEN))
                        .filter(value -> value.isTextual() || value.isNull())
                        .orElseThrow(
                                () -> new IllegalArgumentException(NEXT_TOKEN + " is no text"));
        return Optional.of(token.asText(""))
                .filter(text -> !text.isEmpty())
                .map(text -> LIST_PATH + "?page_token=" + encode(text));
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
                        && slots.canConvertToInt()
                        && slots.intValue() > 0
                        && slots.intValue() <= MAX_SLOTS
                        && isTime(entry.path("born"))
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
        if (!left.isNumber()
                || !(left.doubleValue() >= 0 && left.doubleValue() <= MAX_COLD_MILLIS)) {
            return 0;
        }
        return left.doubleValue() == 0 ? ListedTarget.WARM : (long) Math.ceil(left.doubleValue());
    }

    /** Returns whether a value is a time in milliseconds, or missing. */
    private static boolean isTime(JsonNode value) {
        return value.isMissingNode()
                || value.isIntegralNumber() && value.canConvertToLong() && value.longValue() >= 0;
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

    /** Returns whether an address can be that of one target. */
    private static boolean isReachable(InetAddress address) {
        return !address.isAnyLocalAddress() && !address.isMulticastAddress();
    }

    private static boolean isAddress(JsonNode value) {
        try {
            HostAndPort address = HostAndPort.fromString(value.asText());
            return value.isTextual()
                    && address.hasPort()
                    && address.getPort() > 0
                    && isReachable(InetAddresses.forString(address.getHost()));
        } catch (IllegalArgumentException e) {
            return false;
        }
    }
}
