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
 * Validates a ticket on its own. The result depends on no other state, so a control host may refuse
 * a ticket by it without a commit, and every replica reaches the same result.
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
     * @throws ProxyException of kind {@link ErrorKind#INVALID_TICKET} with the name of the invalid
     *     object
     */
    public static void check(Ticket ticket) throws ProxyException {
        String subject = "ticket";
        checkRange(ticket.number(), 1, Ticket.MAX_NUMBER, subject, "number");
        long objects = ticket.changes().count();
        checkRange(objects, 1, Ticket.MAX_OBJECTS, subject, "number of objects");
        checkNames(ticket);
        for (ConfigChange change : ticket.changes().toList()) {
            checkChange(change);
        }
    }

    /**
     * Checks that no two objects of a ticket have the same name, digest or path, and that tickets
     * may remove what it removes.
     *
     * @throws ProxyException of kind {@link ErrorKind#INVALID_TICKET} with the name of the invalid
     *     object
     */
    static void checkNames(Ticket ticket) throws ProxyException {
        String subject = "ticket";
        checkUnique(ticket.changes(), ConfigChange::objectName, subject, "names");
        for (ObjectName name : ticket.remove()) {
            require(name.kind().isSetByTickets(), subject, "can't remove " + name);
        }
        checkUnique(ticket.keys().stream(), Key::digest, subject, "has two keys of digest");
        checkUnique(
                ticket.routes().stream(),
                route -> route.hostName() + route.pathPrefix(),
                subject,
                "has two routes of path");
    }

    private static void checkChange(ConfigChange change) throws ProxyException {
        String subject = change.objectName().toString();
        if (change instanceof Organisation organisation) {
            checkOrganisation(organisation, subject);
        } else if (change instanceof Key key) {
            require(
                    DIGEST.matcher(key.digest()).matches(),
                    subject,
                    "digest is not SHA-256 in hex");
        } else if (change instanceof Service service) {
            checkService(service, subject);
        } else if (change instanceof Route route) {
            checkRoute(route, subject);
        }
    }

    private static void checkOrganisation(Organisation organisation, String subject)
            throws ProxyException {
        checkRange(
                organisation.ratePerSecond(),
                MIN_RATE_PER_SECOND,
                MAX_RATE_PER_SECOND,
                subject,
                "ratePerSecond");
        checkRange(organisation.burst(), 1, MAX_BURST, subject, "burst");
        checkRange(organisation.weight(), MIN_WEIGHT, MAX_WEIGHT, subject, "weight");
    }

    private static void checkService(Service service, String subject) throws ProxyException {
        checkRange(service.concurrency(), 1, MAX_CONCURRENCY, subject, "concurrency");
        checkRange(service.affinityBytes(), 0, MAX_AFFINITY_BYTES, subject, "affinityBytes");
        checkRange(service.targets().size(), 0, MAX_TARGETS, subject, "number of targets");
        checkUnique(
                service.targets().stream(),
                Service.ServiceTarget::id,
                subject,
                "has two targets of id");
        checkUnique(
                service.targets().stream(),
                Service.ServiceTarget::agent,
                subject,
                "has two targets of agent");
        for (Service.ServiceTarget target : service.targets()) {
            require(
                    isAddress(target.address()),
                    subject,
                    "address '"
                            + target.address()
                            + "' of target '"
                            + target.id()
                            + "' is no IP number with port, such as 10.1.2.3:7000");
        }
    }

    private static void checkRoute(Route route, String subject) throws ProxyException {
        String path = route.pathPrefix();
        boolean isPath = path.length() <= MAX_PATH_LENGTH && PATH.matcher(path).matches();
        boolean isPlainPath =
                isPath && !path.contains("//") && !DOT_SEGMENT.matcher(path).matches();
        require(
                isPlainPath,
                subject,
                "pathPrefix '" + path + "' is not a plain path, such as /rota");
        checkRange(route.timeoutMillis(), 1, MAX_TIMEOUT_MILLIS, subject, "timeoutMillis");
        require(
                !route.open() || route.organisations().isEmpty(),
                subject,
                "an open route can't be limited to organisations");
        for (String method : route.repeatableMethods()) {
            require(
                    METHOD.matcher(method).matches(),
                    subject,
                    "'" + method + "' is no HTTP method");
        }
    }

    /** Returns whether the text is an IP address with a port. */
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

    private static <T, K> void checkUnique(
            Stream<T> values, Function<T, K> key, String subject, String problem)
            throws ProxyException {
        Set<K> seen = new HashSet<>();
        for (T value : values.toList()) {
            K identifier = key.apply(value);
            require(seen.add(identifier), subject, problem + " " + identifier + " twice");
        }
    }

    private static void checkRange(
            double value, double min, double max, String subject, String name)
            throws ProxyException {
        boolean isInRange = value >= min && value <= max;
        require(
                isInRange,
                subject,
                name + " " + format(value) + " is not from " + format(min) + " to " + format(max));
    }

    private static String format(double value) {
        return Double.isFinite(value)
                ? BigDecimal.valueOf(value).stripTrailingZeros().toPlainString()
                : Double.toString(value);
    }

    private static void require(boolean condition, String subject, String problem)
            throws ProxyException {
        if (!condition) {
            throw ProxyException.of(ErrorKind.INVALID_TICKET, subject + ": " + problem);
        }
    }
}
