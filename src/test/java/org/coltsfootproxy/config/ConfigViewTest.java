package org.coltsfootproxy.config;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.stream.Stream;
import org.coltsfootproxy.base.RouteId;
import org.coltsfootproxy.base.ServiceId;
import org.testng.annotations.Test;

/** Tests of the look-ups in {@link ConfigView}. */
public final class ConfigViewTest {
    private static final List<String> PARTS = List.of("/", "/a", "/ab", "a", "/b/", "?", "");
    private static final List<String> HOSTS = List.of("one", "ONE", "two", "");

    private static Route route(int n, String host, String prefix, RequestKind kind) {
        return new Route(
                RouteId.of("r" + n),
                host,
                prefix,
                ServiceId.of("s" + n % 3),
                false,
                Set.of(),
                Set.of(),
                1_000,
                new RoutePolicy(kind, List.of(), false, 1, 0, 0, 0));
    }

    private static ConfigView view(List<Route> routes) {
        return ConfigView.of(1, Stream.empty(), Stream.empty(), Stream.empty(), routes.stream());
    }

    private static String path(Random random) {
        StringBuilder path = new StringBuilder();
        for (int i = random.nextInt(4); i >= 0; i--) {
            path.append(PARTS.get(random.nextInt(PARTS.size())));
        }
        return path.toString();
    }

    /**
     * Guards against an index of routes that finds another route than a search of all routes, for
     * paths with doubled slashes, a query or part of a segment, and after a change.
     */
    @Test
    public void theRouteOfTheLongestPrefixOfWholeSegmentsIsFound() {
        var random = new Random(1);
        int found = 0;
        for (int round = 0; round < 300; round++) {
            List<Route> routes = new ArrayList<>();
            for (int n = random.nextInt(12); n >= 0; n--) {
                String host = HOSTS.get(random.nextInt(HOSTS.size()));
                Route route = route(n, host, path(random), RequestKind.ONCE);
                // Routes of one path whose hosts overlap have no defined order.
                boolean overlaps =
                        routes.stream().anyMatch(r -> r.pathPrefix().equals(route.pathPrefix()));
                if (!overlaps) {
                    routes.add(route);
                }
            }
            ConfigView view = view(routes);
            if (random.nextBoolean()) {
                Removed removed = new Removed(routes.remove(0).objectName());
                view = view.with(2, List.of(removed));
            }
            for (int n = 0; n < 100; n++) {
                String host = HOSTS.get(random.nextInt(HOSTS.size()));
                String path = path(random);
                Optional<Route> expected = search(routes, host, path);
                assertEquals(view.route(host, path), expected, path + " of " + routes);
                found += expected.isPresent() ? 1 : 0;
            }
        }
        assertTrue(found > 3_000, "only " + found + " paths had a route");
    }

    private static Optional<Route> search(List<Route> routes, String host, String path) {
        return routes.stream()
                .filter(route -> route.matchesHost(host))
                .filter(route -> matches(route.pathPrefix(), path))
                .max(Comparator.comparingInt(route -> route.pathPrefix().length()));
    }

    private static boolean matches(String prefix, String path) {
        return path.startsWith(prefix)
                && (path.length() == prefix.length()
                        || prefix.endsWith("/")
                        || path.charAt(prefix.length()) == '/'
                        || path.charAt(prefix.length()) == '?');
    }

    /** Guards against a store that runs no items of a service after a change of the routes. */
    @Test
    public void theServicesOfBatchRoutesFollowAChange() {
        ConfigView view =
                view(
                        List.of(
                                route(1, "", "/1", RequestKind.BATCH),
                                route(2, "", "/2", RequestKind.ONCE)));
        assertEquals(view.batchServices(), List.of(ServiceId.of("s1")));
        ConfigView changed =
                view.with(
                        2,
                        List.of(
                                route(1, "", "/1", RequestKind.ONCE),
                                route(2, "", "/2", RequestKind.BATCH)));
        assertEquals(changed.batchServices(), List.of(ServiceId.of("s2")));
    }
}
