package org.coltsfootproxy.net;

import com.google.common.base.Splitter;
import com.google.common.collect.ImmutableSet;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.coltsfootproxy.message.Header;

/** Removes hop-by-hop header fields, which apply to one connection (RFC 9110 section 7.6.1). */
final class HopByHop {
    private static final Set<String> NAMES =
            ImmutableSet.of(
                    "connection",
                    "keep-alive",
                    "proxy-connection",
                    "proxy-authenticate",
                    "proxy-authorization",
                    "te",
                    "trailer",
                    "transfer-encoding",
                    "upgrade",
                    "expect");

    private HopByHop() {}

    /** Returns the end-to-end fields; fields that {@code Connection} lists are left out as well. */
    static List<Header> endToEnd(HttpHeaders headers) {
        Set<String> connectionOptions =
                connectionOptions(headers.getAll(HttpHeaderNames.CONNECTION).stream());
        return headers.entries().stream()
                .map(e -> Header.of(e.getKey(), e.getValue()))
                .filter(h -> !isHopByHop(h, connectionOptions))
                .toList();
    }

    /** Returns the end-to-end fields; fields that {@code Connection} lists are left out as well. */
    static List<Header> endToEnd(List<Header> headers) {
        Set<String> connectionOptions =
                connectionOptions(
                        headers.stream()
                                .filter(h -> h.name().equalsIgnoreCase("connection"))
                                .map(Header::value));
        return headers.stream().filter(h -> !isHopByHop(h, connectionOptions)).toList();
    }

    private static Set<String> connectionOptions(Stream<String> values) {
        return values.flatMap(
                        v -> Splitter.on(',').trimResults().omitEmptyStrings().splitToStream(v))
                .map(n -> n.toLowerCase(Locale.ROOT))
                .collect(Collectors.toSet());
    }

    private static boolean isHopByHop(Header header, Set<String> connectionOptions) {
        String name = header.name().toLowerCase(Locale.ROOT);
        return NAMES.contains(name) || connectionOptions.contains(name);
    }
}
