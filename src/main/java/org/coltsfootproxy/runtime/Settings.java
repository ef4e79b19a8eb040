package org.coltsfootproxy.runtime;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.dataformat.yaml.YAMLFactory;
import com.google.common.collect.ImmutableList;
import java.io.IOException;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;
import org.coltsfootproxy.admission.ContentionMode;
import org.coltsfootproxy.base.DataCentre;
import org.coltsfootproxy.base.ErrorKind;
import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.base.ProxyException;
import org.coltsfootproxy.base.Region;
import org.coltsfootproxy.base.ServiceId;
import org.coltsfootproxy.direct.TargetRoutingMode;

/**
 * The validated settings of one host.
 *
 * @param host the host's id
 * @param name the operators' name for the host; empty if it is the id
 * @param dataCentre the host's data centre
 * @param fleetSecret the secret that peers of one fleet use to authenticate to each other
 * @param peerAddress address that listens for peers
 * @param adminAddress address that serves metrics and health, and change tickets on control hosts
 * @param control the control hosts; used only without {@code fleet}
 * @param fleet how the hosts discover each other through seeds; empty if {@code control} lists them
 * @param hostList file or HTTP URL of the platform's list of hosts, if there is one
 * @param jobGroups number of consensus groups that batch jobs are spread over; must be equal on all
 *     hosts
 * @param regions regions of the data centres; a data centre may be missing
 * @param descriptors sockets and files that the process may have open; empty for the limit of the
 *     operating system
 * @param stopSeconds longest time that a planned stop waits for work in flight
 * @param entry settings of the entry role, which forwards requests to agents
 * @param directEntry settings of the direct entry role, which calls targets itself
 * @param agent settings of the agent role, which runs beside one target
 * @param controlRole settings of the control role
 * @param storeRole settings of the store role, which keeps and runs batch jobs
 */
public record Settings(
        HostId host,
        String name,
        DataCentre dataCentre,
        String fleetSecret,
        String peerAddress,
        String adminAddress,
        List<Peer> control,
        Optional<Fleet> fleet,
        Optional<URI> hostList,
        int jobGroups,
        Map<DataCentre, Region> regions,
        Optional<Integer> descriptors,
        long stopSeconds,
        Optional<EntryRole> entry,
        Optional<DirectEntryRole> directEntry,
        Optional<AgentRole> agent,
        Optional<ControlRole> controlRole,
        Optional<StoreRole> storeRole) {
    private static final int MIN_SECRET_LENGTH = 16;
    private static final long MAX_STOP_SECONDS = 3_600;
    private static final long DEFAULT_STOP_SECONDS = 60;
    private static final int MAX_JOB_GROUPS = 64;
    private static final int MAX_LOSSES = 3;
    private static final int MIN_DESCRIPTORS = 64;
    private static final int MAX_DESCRIPTORS = 1 << 20;
    private static final long DEFAULT_KEY_MILLIS = 5_000;
    private static final long MIN_KEY_MILLIS = 2_000;
    private static final long MAX_KEY_MILLIS = 60_000;
    private static final long MEBIBYTE = 1 << 20;

    /** Another host. */
    public record Peer(HostId host, DataCentre dataCentre, String address) {}

    /** How entry hosts share an organisation's rate limit. */
    public enum LimitMode {
        /** An entry leases tokens from the limit's owner according to its demand. */
        LEASED,
        /** An entry asks the limit's owner for each request. */
        ASK,
        /** Each entry has a fixed, equal share. */
        FIXED
    }

    /** How an entry chooses an agent for a request. */
    public enum RoutingMode {
        /**
         * Prefers the same data centre and, among a few candidates, the one with the fewest
         * requests in flight; binds equal body prefixes to the same targets.
         */
        ADAPTIVE,
        /** Selects the agents in turn. */
        ROUND_ROBIN
    }

    /** How an agent orders waiting requests. */
    public enum QueueMode {
        /** Weighted fair queueing among organisations, online before batch. */
        FAIR,
        /** First in, first out. */
        FIFO
    }

    /**
     * Settings of the entry role.
     *
     * @param callerAddress address that listens for callers
     * @param entries all entry hosts, including this one
     * @param maxBodyBytes largest request body
     */
    public record EntryRole(
            String callerAddress,
            List<Peer> entries,
            int maxBodyBytes,
            LimitMode limits,
            RoutingMode routing) {}

    /**
     * Settings of the agent role.
     *
     * @param service the service that the target serves
     * @param target the target's address
     */
    public record AgentRole(ServiceId service, String target, QueueMode queue) {}

    /**
     * Settings of the control role.
     *
     * @param dataFolder folder that holds all durable state
     * @param operatorKeyDigest SHA-256 of the operators' key in lower-case hexadecimal
     * @param replaceEmpty whether a host that restarts with an empty disk is admitted automatically
     * @param targetList address of the platform's list of targets; required with a fleet
     */
    public record ControlRole(
            Path dataFolder,
            String operatorKeyDigest,
            boolean replaceEmpty,
            Optional<String> targetList) {}

    /**
     * Settings of a fleet whose hosts discover each other through seeds.
     *
     * <p>The hosts are named by their IP addresses and share one peer port.
     *
     * @param seeds addresses of control hosts; their ports are ignored
     * @param firstStart whether the fleet starts for the first time and must create its replicated
     *     logs
     * @param losses number of control hosts that may be lost at once together with their disks
     * @param keyMillis time after which no host accepts a revoked key any more
     * @param evacuations whether operators may evacuate data centres
     */
    public record Fleet(
            List<String> seeds,
            boolean firstStart,
            int losses,
            long keyMillis,
            boolean evacuations) {
        /** Makes a defensive copy of the list. */
        public Fleet {
            seeds = ImmutableList.copyOf(seeds);
        }

        /** Returns the seeds' host ids in order, without duplicates. */
        public List<HostId> seedHosts() {
            return seeds.stream()
                    .map(seed -> HostId.of(Addresses.parse(seed).getAddress().getHostAddress()))
                    .sorted()
                    .distinct()
                    .toList();
        }
    }

    /** Settings of the store role: a host that keeps and runs batch jobs in a fleet with seeds. */
    public record StoreRole(Path dataFolder) {}

    /**
     * Settings of the direct entry role, which calls the platform's listed targets itself.
     *
     * @param contention when requests are decided by rank and fair share
     * @param routing what decides which target gets a request
     */
    public record DirectEntryRole(
            String callerAddress,
            int maxBodyBytes,
            ContentionMode contention,
            TargetRoutingMode routing) {}

    /** Makes defensive copies. */
    public Settings {
        control = ImmutableList.copyOf(control);
        regions = Map.copyOf(regions);
    }

    /**
     * Reads and validates a settings file.
     *
     * @throws ProxyException of kind {@link ErrorKind#SETTINGS_INVALID} that lists all errors
     */
    public static Settings load(Path file) throws ProxyException {
        try {
            return parse(file.toString(), Files.readString(file));
        } catch (IOException e) {
            throw unreadable(file, e);
        }
    }

    static ProxyException unreadable(Path file, IOException e) {
        String detail = file + " can't be read: " + e.getMessage();
        return ProxyException.of(ErrorKind.SETTINGS_INVALID, detail, e);
    }

    /**
     * Parses and validates the text of a settings file.
     *
     * @param name the file's name, for the error message
     * @throws ProxyException of kind {@link ErrorKind#SETTINGS_INVALID} that lists all errors
     */
    public static Settings parse(String name, String text) throws ProxyException {
        List<String> errors = new ArrayList<>();
        Settings settings = null;
        try {
            ObjectMapper mapper = new ObjectMapper(new YAMLFactory());
            mapper.enable(DeserializationFeature.FAIL_ON_READING_DUP_TREE_KEY);
            JsonNode root = mapper.readTree(text);
            SettingsReader reader = SettingsReader.of(root, errors);
            settings = read(reader);
            reader.rejectUnknownNames();
        } catch (JsonProcessingException e) {
            errors.add("not valid YAML: " + e.getOriginalMessage() + " at " + e.getLocation());
        }
        if (!errors.isEmpty()) {
            String detail = name + ":\n  " + String.join("\n  ", errors);
            throw ProxyException.of(ErrorKind.SETTINGS_INVALID, detail);
        }
        return settings;
    }

    /** Returns the operators' name for the host, which is its id unless {@code name} is set. */
    public String operatorName() {
        return name.isEmpty() ? host.value() : name;
    }

    private static Settings read(SettingsReader in) {
        Settings settings =
                new Settings(
                        HostId.of(in.name("host")),
                        in.optionalText("name").orElse(""),
                        DataCentre.of(in.name("dataCentre")),
                        in.text("fleetSecret", MIN_SECRET_LENGTH),
                        in.address("peerAddress"),
                        in.address("adminAddress"),
                        in.children("control", Settings::readPeer),
                        in.optionalChild("fleet", Settings::readFleet),
                        in.optionalUri("hostList"),
                        (int) in.number("jobGroups", 1, 1, MAX_JOB_GROUPS),
                        in.names("regions").entrySet().stream()
                                .collect(
                                        Collectors.toMap(
                                                entry -> DataCentre.of(entry.getKey()),
                                                entry -> Region.of(entry.getValue()))),
                        in.has("descriptors")
                                ? Optional.of(
                                        (int)
                                                in.number(
                                                        "descriptors",
                                                        MIN_DESCRIPTORS,
                                                        MIN_DESCRIPTORS,
                                                        MAX_DESCRIPTORS))
                                : Optional.empty(),
                        in.number("stopSeconds", DEFAULT_STOP_SECONDS, 1, MAX_STOP_SECONDS),
                        in.optionalChild("entry", Settings::readEntry),
                        in.optionalChild("directEntry", Settings::readDirectEntry),
                        in.optionalChild("agent", Settings::readAgent),
                        in.optionalChild("controlRole", Settings::readControl),
                        in.optionalChild("storeRole", Settings::readStore));
        settings.checkRoles(in);
        return settings;
    }

    private void checkRoles(SettingsReader in) {
        long roles =
                java.util.stream.Stream.of(entry, directEntry, agent, controlRole, storeRole)
                        .filter(Optional::isPresent)
                        .count();
        if (roles != 1) {
            in.addError(
                    "exactly one of entry, directEntry, agent, controlRole and storeRole must be"
                            + " given, not "
                            + roles);
        }
        if (fleet.isPresent()) {
            checkFleet(in);
        } else {
            checkStaticControlHosts(in);
        }
    }

    private void checkFleet(SettingsReader in) {
        if (fleet.get().seeds().isEmpty()) {
            in.addError("fleet.seeds must name at least one control host");
        }
        if (!Addresses.parse(peerAddress).getAddress().getHostAddress().equals(host.value())) {
            in.addError("host must be the IP address of peerAddress in a fleet with seeds");
        }
        if (entry.isPresent() || agent.isPresent()) {
            in.addError("entry and agent need a list of control hosts; fleet must not be given");
        }
        if (controlRole.isPresent() && controlRole.get().targetList().isEmpty()) {
            in.addError("controlRole.targetList must be given in a fleet with seeds");
        }
    }

    private void checkStaticControlHosts(SettingsReader in) {
        if (control.isEmpty()) {
            in.addError("control must name at least one control host");
        }
        boolean isMember = control.stream().anyMatch(peer -> peer.host().equals(host));
        if (controlRole.isPresent() && !isMember) {
            in.addError("control must name this host '" + host + "', as it has the control role");
        }
        if (entry.isPresent()
                && entry.get().entries().stream().noneMatch(peer -> peer.host().equals(host))) {
            in.addError("entry.entries must name this host '" + host + "'");
        }
        if (directEntry.isPresent() || storeRole.isPresent()) {
            in.addError("directEntry and storeRole need a fleet with seeds");
        }
    }

    private static Peer readPeer(SettingsReader in) {
        return new Peer(
                HostId.of(in.name("host")),
                DataCentre.of(in.name("dataCentre")),
                in.address("address"));
    }

    private static EntryRole readEntry(SettingsReader in) {
        return new EntryRole(
                in.address("callerAddress"),
                in.children("entries", Settings::readPeer),
                (int) in.number("maxBodyBytes", MEBIBYTE, 1, 8 * MEBIBYTE),
                in.choice("limits", LimitMode.LEASED),
                in.choice("routing", RoutingMode.ADAPTIVE));
    }

    private static AgentRole readAgent(SettingsReader in) {
        return new AgentRole(
                ServiceId.of(in.name("service")),
                in.address("target"),
                in.choice("queue", QueueMode.FAIR));
    }

    private static ControlRole readControl(SettingsReader in) {
        return new ControlRole(
                Path.of(in.text("dataFolder", 1)),
                in.text("operatorKeyDigest", 64),
                in.flag("replaceEmpty", true),
                in.has("targetList") ? Optional.of(in.address("targetList")) : Optional.empty());
    }

    private static StoreRole readStore(SettingsReader in) {
        return new StoreRole(Path.of(in.text("dataFolder", 1)));
    }

    private static Fleet readFleet(SettingsReader in) {
        return new Fleet(
                in.addresses("seeds"),
                in.flag("firstStart", false),
                (int) in.number("losses", 1, 0, MAX_LOSSES),
                in.number("keyMillis", DEFAULT_KEY_MILLIS, MIN_KEY_MILLIS, MAX_KEY_MILLIS),
                in.flag("evacuations", false));
    }

    private static DirectEntryRole readDirectEntry(SettingsReader in) {
        return new DirectEntryRole(
                in.address("callerAddress"),
                (int) in.number("maxBodyBytes", 4 * MEBIBYTE, 1, 64 * MEBIBYTE),
                in.choice("contention", ContentionMode.AUTO),
                in.choice("routing", TargetRoutingMode.AUTO));
    }
}
