package org.coltsfootproxy.entry;

import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import org.coltsfootproxy.base.ErrorKind;
import org.coltsfootproxy.base.ProxyException;
import org.coltsfootproxy.config.ConfigView;
import org.coltsfootproxy.config.Key;
import org.coltsfootproxy.config.KeyDigest;
import org.coltsfootproxy.config.Organisation;
import org.coltsfootproxy.config.Route;
import org.coltsfootproxy.message.Header;

/** Authenticates and authorises callers, and strips their keys from forwarded headers. */
public final class CallerCheck {
    private static final String BEARER = "bearer ";
    private static final String AUTHORIZATION = "authorization";
    private static final String API_KEY = "x-api-key";

    /** Names of headers that are never forwarded to a target, in lower case. */
    private static final Set<String> WITHHELD_HEADERS =
            Set.of(
                    AUTHORIZATION,
                    API_KEY,
                    "proxy-authorization",
                    ForwardedHeaders.ORGANISATION_HEADER,
                    ForwardedHeaders.REQUEST_ID_HEADER);

    private CallerCheck() {}

    /**
     * Returns the route that serves a path.
     *
     * @throws ProxyException of kind {@link ErrorKind#NO_ROUTE} if there is none
     */
    static Route route(ConfigView view, String path) throws ProxyException {
        return view.route(path)
                .orElseThrow(() -> ProxyException.of(ErrorKind.NO_ROUTE, "no route for " + path));
    }

    /**
     * Returns the organisation whose key is among the headers of a request.
     *
     * @param isFresh whether the configuration is confirmed as current
     * @throws ProxyException of kind {@link ErrorKind#CONFIG_STALE} if the configuration is not
     *     confirmed, or {@link ErrorKind#UNAUTHENTICATED} if the headers hold no valid key
     */
    public static Organisation organisation(ConfigView view, boolean isFresh, List<Header> headers)
            throws ProxyException {
        if (!isFresh) {
            String detail = "keys can't be checked until a control host confirms the configuration";
            throw ProxyException.of(ErrorKind.CONFIG_STALE, detail);
        }
        Optional<Key> key = presentedKey(headers).map(KeyDigest::of).flatMap(view::keyByDigest);
        return key.flatMap(k -> view.organisation(k.organisation()))
                .orElseThrow(
                        () ->
                                ProxyException.of(
                                        ErrorKind.UNAUTHENTICATED,
                                        "the key is missing, unknown or withdrawn"));
    }

    /**
     * Checks that an organisation may use a route.
     *
     * @throws ProxyException of kind {@link ErrorKind#FORBIDDEN} if it may not
     */
    public static void checkAllowed(Route route, Organisation organisation) throws ProxyException {
        boolean isAllowed =
                route.organisations().isEmpty()
                        || route.organisations().contains(organisation.id());
        if (!isAllowed) {
            String detail = organisation.id() + " may not use route " + route.id();
            throw ProxyException.of(ErrorKind.FORBIDDEN, detail);
        }
    }

    private static Optional<String> presentedKey(List<Header> headers) {
        return headers.stream().flatMap(header -> keyOf(header).stream()).findFirst();
    }

    private static Optional<String> keyOf(Header header) {
        String name = header.name().toLowerCase(Locale.ROOT);
        String value = header.value().strip();
        if (name.equals(API_KEY)) {
            return Optional.of(value);
        }
        boolean isBearer =
                name.equals(AUTHORIZATION) && value.toLowerCase(Locale.ROOT).startsWith(BEARER);
        return isBearer ? Optional.of(value.substring(BEARER.length()).strip()) : Optional.empty();
    }

    /**
     * Returns the headers that may be forwarded to a target: without those that carry the caller's
     * key or that the entry sets itself.
     */
    public static List<Header> forwardableHeaders(List<Header> headers) {
        Optional<String> key = presentedKey(headers).filter(k -> !k.isEmpty());
        return headers.stream()
                .filter(h -> !WITHHELD_HEADERS.contains(h.name().toLowerCase(Locale.ROOT)))
                .filter(h -> key.isEmpty() || !h.value().contains(key.get()))
                .toList();
    }
}
