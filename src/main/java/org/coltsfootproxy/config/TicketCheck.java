package org.coltsfootproxy.config;

import com.google.common.net.HostAndPort;
import com.google.common.net.InetAddresses;
import java.math.BigDecimal;
import java.util.HashSet;
import java.util.Set;
import java.util.function.Function;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.coltsfootproxy.base.ErrorKind;
import org.coltsfootproxy.base.ProxyException;

/**
 * Checks what can be said about a ticket by itself: its answer never depends on other state, so a
 * control host may refuse by it without a commit, and every member refuses alike.
 */
public final class TicketCheck {
    private static final double MAX_RATE_PER_SECOND = 1e6;
    private static final double MAX_BURST = 1e7;
    private static final double MIN_WEIGHT = 1e-3;
    private static final double MAX_WEIGHT = 1e3;
    private static final double MIN_RATE_PER_SECOND = 1e-6;
    private static final int MAX_CONCURRENCY = 10_000;
    private static final int MAX_AFFINITY_BYTES = 64 * 1024;
    private static final int MAX_TARGETS = 2_000;
    private static final long MAX_TIMEOUT_MILLIS = 24 * 60 * 60 * 1000L;
    private static final int MAX_PATH_LENGTH = 1024;

    private static final Pattern DIGEST = Pattern.compile("[0-9a-f]{64}");
    private static final Pattern PATH = Pattern.compile("(/[A-Za-z0-9._~!$&'()*+,;=:@-]*)+");
    private static final Pattern DOT_SEGMENT = Pattern.compile(".*/\\.{1,2}(/.*)?");
    private static final Pattern METHOD = Pattern.compile("[A-Z][A-Z-]{0,31}");

    private TicketCheck() {}

    /**
     * Checks a ticket.
     *
     * @throws ProxyException of kind {@link ErrorKind#INVALID_TICKET}, naming the object at fault
     */
    public static void check(Ticket ticket) throws ProxyException {
        String what = "ticket";
        inRange(ticket.number(), 1, Ticket.MAX_NUMBER, what, "number");
        long objects = ticket.changes().count();
        inRange(objects, 1, Ticket.MAX_OBJECTS, what, "number of objects");
        checkNames(ticket);
        for (ConfigChange change : ticket.changes().toList()) {
            checkChange(change);
        }
    }

    /**
     * Checks that no two objects of a ticket have the same name, digest or path.
     *
     * @throws ProxyException of kind {@link ErrorKind#INVALID_TICKET}, naming the object at fault
     */
    static void checkNames(Ticket ticket) throws ProxyException {
        String what = "ticket";
        unique(ticket.changes(), ConfigChange::objectName, what, "names");
        unique(ticket.keys().stream(), Key::digest, what, "has two keys of digest");
        unique(
                ticket.routes().stream(),
                route -> route.hostName() + route.pathPrefix(),
                what,
                "has two routes of path");
    }

    private static void checkChange(ConfigChange change) throws ProxyException {
        String what = change.objectName().toString();
        if (change instanceof Organisation organisation) {
            checkOrganisation(organisation, what);
        } else if (change instanceof Key key) {
            must(DIGEST.matcher(key.digest()).matches(), what, "digest is not SHA-256 in hex");
        } else if (change instanceof Service service) {
            checkService(service, what);
        } else if (change instanceof Route route) {
            checkRoute(route, what);
        }
    }

    private static void checkOrganisation(Organisation organisation, String what)
            throws ProxyException {
        inRange(
                organisation.ratePerSecond(),
                MIN_RATE_PER_SECOND,
                MAX_RATE_PER_SECOND,
                what,
                "ratePerSecond");
        inRange(organisation.burst(), 1, MAX_BURST, what, "burst");
        inRange(organisation.weight(), MIN_WEIGHT, MAX_WEIGHT, what, "weight");
    }

    private static void checkService(Service service, String what) throws ProxyException {
        inRange(service.concurrency(), 1, MAX_CONCURRENCY, what, "concurrency");
        inRange(service.affinityBytes(), 0, MAX_AFFINITY_BYTES, what, "affinityBytes");
        inRange(service.targets().size(), 0, MAX_TARGETS, what, "number of targets");
        unique(
                service.targets().stream(),
                Service.ServiceTarget::id,
                what,
                "has two targets of id");
        unique(
                service.targets().stream(),
                Service.ServiceTarget::agent,
                what,
                "has two targets of agent");
        for (Service.ServiceTarget target : service.targets()) {
            must(
                    isAddress(target.address()),
                    what,
                    "address '"
                            + target.address()
                            + "' of target '"
                            + target.id()
                            + "' is no IP number with port, such as 10.1.2.3:7000");
        }
    }

    private static void checkRoute(Route route, String what) throws ProxyException {
        String path = route.pathPrefix();
        boolean isPath = path.length() <= MAX_PATH_LENGTH && PATH.matcher(path).matches();
        boolean isPlain = isPath && !path.contains("//") && !DOT_SEGMENT.matcher(path).matches();
        must(isPlain, what, "pathPrefix '" + path + "' is not a plain path, such as /rota");
        inRange(route.timeoutMillis(), 1, MAX_TIMEOUT_MILLIS, what, "timeoutMillis");
        must(
                !route.open() || route.organisations().isEmpty(),
                what,
                "an open route can't be limited to organisations");
        for (String method : route.repeatableMethods()) {
            must(METHOD.matcher(method).matches(), what, "'" + method + "' is no HTTP method");
        }
    }

    /** Tells whether the text is an IP number and a port. */
    public static boolean isAddress(String text) {
        try {
            HostAndPort address = HostAndPort.fromString(text);
            return address.hasPort()
                    && address.getPort() > 0
                    && InetAddresses.isInetAddress(address.getHost());
        } catch (IllegalArgumentException e) {
            return false;
        }
    }

    private static <T, K> void unique(
            Stream<T> values, Function<T, K> key, String what, String fault) throws ProxyException {
        Set<K> seen = new HashSet<>();
        for (T value : values.toList()) {
            K found = key.apply(value);
            must(seen.add(found), what, fault + " " + found + " twice");
        }
    }

    private static void inRange(double value, double min, double max, String what, String name)
            throws ProxyException {
        boolean isInside = value >= min && value <= max;
        must(
                isInside,
                what,
                name + " " + show(value) + " is not from " + show(min) + " to " + show(max));
    }

    private static String show(double value) {
        return Double.isFinite(value)
                ? BigDecimal.valueOf(value).stripTrailingZeros().toPlainString()
                : Double.toString(value);
    }

    private static void must(boolean holds, String what, String fault) throws ProxyException {
        if (!holds) {
            throw ProxyException.of(ErrorKind.INVALID_TICKET, what + ": " + fault);
        }
    }
}
