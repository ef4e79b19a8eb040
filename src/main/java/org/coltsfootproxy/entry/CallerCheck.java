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

/** Decides for whom a request may run, and keeps callers' keys from going any further. */
public final class CallerCheck {
    private static final String BEARER = "bearer ";
    private static final String AUTHORIZATION = "authorization";
    private static final String API_KEY = "x-api-key";

    /** Headers that never reach a target, in lower case. */
    private static final Set<String> PRIVATE_HEADERS =
            Set.of(
                    AUTHORIZATION,
                    API_KEY,
                    "proxy-authorization",
                    ForwardedHeaders.ORGANISATION,
                    ForwardedHeaders.REQUEST);

    private CallerCheck() {}

    /**
     * Returns the route of a path.
     *
     * @throws ProxyException of kind {@link ErrorKind#NO_ROUTE}
     */
    static Route route(ConfigView view, String path) throws ProxyException {
        return view.route(path)
                .orElseThrow(() -> ProxyException.of(ErrorKind.NO_ROUTE, "no route for " + path));
    }

    /**
     * Returns the organisation whose key came with a request.
     *
     * @param isFresh whether the configuration is confirmed as current
     * @throws ProxyException if no key in force came, or the configuration is not confirmed
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
     * @throws ProxyException of kind {@link ErrorKind#FORBIDDEN}
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
        return headers.stream().flatMap(header -> keyIn(header).stream()).findFirst();
    }

    private static Optional<String> keyIn(Header header) {
        String name = header.name().toLowerCase(Locale.ROOT);
        String value = header.value().strip();
        if (name.equals(API_KEY)) {
            return Optional.of(value);
        }
        boolean isBearer =
                name.equals(AUTHORIZATION) && value.toLowerCase(Locale.ROOT).startsWith(BEARER);
        return isBearer ? Optional.of(value.substring(BEARER.length()).strip()) : Optional.empty();
    }

    /** Returns the headers without any that carry the caller's key. */
    public static List<Header> withoutKeys(List<Header> headers) {
        Optional<String> key = presentedKey(headers).filter(k -> !k.isEmpty());
        return headers.stream()
                .filter(h -> !PRIVATE_HEADERS.contains(h.name().toLowerCase(Locale.ROOT)))
                .filter(h -> key.isEmpty() || !h.value().contains(key.get()))
                .toList();
    }
}
