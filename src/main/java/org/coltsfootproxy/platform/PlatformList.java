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
import org.coltsfootproxy.base.TargetId;
import org.coltsfootproxy.direct.TargetListProtocol;
import org.coltsfootproxy.message.ListedTarget;

/** How the platform lists its targets. */
public final class PlatformList implements TargetListProtocol {
    private static final String PATH = "/instances";
    private static final String READY = "ready";
    private static final String LEAVING = "draining";

    @Override
    public String firstPath() {
        return PATH;
    }

    @Override
    public Page read(byte[] body) throws ProxyException {
        ErrorKind kind = ErrorKind.TARGET_FAILED;
        JsonNode page = Json.object(body, kind);
        JsonNode list = Json.list(page, "instances", kind);
        List<ListedTarget> targets =
                Json.elements(list).map(PlatformList::target).flatMap(Optional::stream).toList();
        // The token of the next page has the field name of positions elsewhere.
        JsonNode next = page.path("next_token");
        Optional<String> nextPath =
                next.isTextual() && !next.textValue().isEmpty()
                        ? Optional.of(PATH + "?page_token=" + encode(next.textValue()))
                        : Optional.empty();
        return new Page(targets, list.size() - targets.size(), nextPath);
    }

    private static String encode(String text) {
        return URLEncoder.encode(text, StandardCharsets.UTF_8);
    }

    /** Returns the target of an entry; empty if the entry is damaged. */
    private static Optional<ListedTarget> target(JsonNode entry) {
        String state = entry.path("state").asText();
        JsonNode slots = entry.path("slots");
        boolean isWhole =
                isName(entry.path("id"))
                        && isName(entry.path("service"))
                        && isName(entry.path("zone"))
                        && isAddress(entry.path("addr"))
                        && slots.isIntegralNumber()
                        && slots.intValue() > 0
                        && (state.equals(READY) || state.equals(LEAVING));
        return isWhole
                ? Optional.of(
                        new ListedTarget(
                                TargetId.of(entry.path("id").textValue()),
                                ServiceId.of(entry.path("service").textValue()),
                                DataCentre.of(entry.path("zone").textValue()),
                                entry.path("addr").textValue(),
                                state.equals(LEAVING),
                                slots.intValue()))
                : Optional.empty();
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
