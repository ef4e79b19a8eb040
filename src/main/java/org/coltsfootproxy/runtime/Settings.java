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
import java.util.Optional;
import org.coltsfootproxy.base.DataCentre;
import org.coltsfootproxy.base.ErrorKind;
import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.base.ProxyException;
import org.coltsfootproxy.base.ServiceId;

/**
 * The settings of one host, checked as a whole.
 *
 * @param host the host's id
 * @param name name by which operators know the host, if it is another one; otherwise empty
 * @param dataCentre where the host stands
 * @param fleetSecret what the peers of one fleet prove to each other
 * @param peerAddress where peers connect
 * @param adminAddress where operators connect: metrics, health, and on control hosts the tickets
 * @param control the control hosts
 * @param fleet how the hosts find each other, if they do so by seeds
 * @param hostList file or HTTP address of the platform's list of hosts, if there is one
 * @param jobGroups number of groups that batch jobs are spread over; the same on all hosts
 * @param stopSeconds longest time that a planned stop waits for what runs
 * @param entry settings of the entry role, if the host has it
 * @param directEntry settings of an entry that calls targets itself, if the host is one
 * @param agent settings of the agent role, if the host has it
 * @param controlRole settings of the control role, if the host has it
 * @param storeRole settings of a host that keeps jobs, if the host is one
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
    private static final long DEFAULT_KEY_MILLIS = 5_000;
    private static final long MIN_KEY_MILLIS = 2_000;
    private static final long MAX_KEY_MILLIS = 60_000;
    private static final long MEBIBYTE = 1 << 20;

    /** Another host. */
    public record Peer(HostId host, DataCentre dataCentre, String address) {}

    /** How entries share an organisation's rate. */
    public enum LimitMode {
        /** Leased amounts that follow demand. */
        LEASED,
        /** Every entry asks the owner for each request. */
        ASK,
        /** Every entry has a fixed share. */
        FIXED
    }

    /** How an entry chooses an agent. */
    public enum RoutingMode {
        /** Same data centre first, fewest in flight of a few candidates, prefix affinity. */
        ADAPTIVE,
        /** One after the other. */
        ROUND_ROBIN
    }

    /** How an agent orders what waits. */
    public enum QueueMode {
        /** Weighted fair shares, online before batch. */
        FAIR,
        /** First come, first served. */
        FIFO
    }

    /**
     * Settings of an entry.
     *
     * @param callerAddress where callers connect
     * @param entries all entry hosts, this one included
     * @param maxBodyBytes longest body of a request
     */
    public record EntryRole(
            String callerAddress,
            List<Peer> entries,
            int maxBodyBytes,
            LimitMode limits,
            RoutingMode routing) {}

    /**
     * Settings of an agent.
     *
     * @param service the service that the target serves
     * @param target the target's address
     */
    public record AgentRole(ServiceId service, String target, QueueMode queue) {}

    /**
     * Settings of a control host.
     *
     * @param dataFolder the one folder of durable state
     * @param operatorKeyDigest SHA-256 of the operators' key in lower-case hexadecimal
     * @param replaceEmpty whether a host that comes back with an empty disk is taken in by itself
     */
    public record ControlRole(
            Path dataFolder,
            String operatorKeyDigest,
            boolean replaceEmpty,
            Optional<String> targetList) {}

    /**
     * A fleet whose hosts find each other by seeds, are named by their IP numbers and listen for
     * each other at one port.
     *
     * @param seeds addresses of control hosts, of which only the IP numbers count
     * @param firstStart whether the fleet starts for the first time, so that its logs are founded
     * @param losses control hosts with their disks that may be lost at once
     * @param keyMillis time after which a key that was taken away is honoured nowhere
     */
    public record Fleet(List<String> seeds, boolean firstStart, int losses, long keyMillis) {
        /** Copies the list. */
        public Fleet {
            seeds = ImmutableList.copyOf(seeds);
        }

        /** Returns the seeds as hosts. */
        public List<HostId> seedHosts() {
            return seeds.stream()
                    .map(seed -> HostId.of(Addresses.parse(seed).getAddress().getHostAddress()))
                    .sorted()
                    .distinct()
                    .toList();
        }
    }

    /** Role of a host that keeps and runs batch jobs in a fleet with seeds. */
    public record StoreRole(Path dataFolder) {}

    /** Role of an entry that calls the targets of the platform's list itself. */
    public record DirectEntryRole(String callerAddress, int maxBodyBytes) {}

    /** Copies the lists. */
    public Settings {
        control = ImmutableList.copyOf(control);
    }

    /**
     * Reads and checks a settings file.
     *
     * @throws ProxyException of kind {@link ErrorKind#SETTINGS_INVALID} naming every fault
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
     * Checks the text of a settings file.
     *
     * @param name the file's name, for the error message
     * @throws ProxyException of kind {@link ErrorKind#SETTINGS_INVALID} naming every fault
     */
    public static Settings parse(String name, String text) throws ProxyException {
        List<String> faults = new ArrayList<>();
        Settings settings = null;
        try {
            ObjectMapper mapper = new ObjectMapper(new YAMLFactory());
            mapper.enable(DeserializationFeature.FAIL_ON_READING_DUP_TREE_KEY);
            JsonNode root = mapper.readTree(text);
            SettingsReader reader = SettingsReader.of(root, faults);
            settings = read(reader);
            reader.checkAllRead();
        } catch (JsonProcessingException e) {
            faults.add("not valid YAML: " + e.getOriginalMessage() + " at " + e.getLocation());
        }
        if (!faults.isEmpty()) {
            String detail = name + ":\n  " + String.join("\n  ", faults);
            throw ProxyException.of(ErrorKind.SETTINGS_INVALID, detail);
        }
        return settings;
    }

    /** Returns the name by which operators know the host. */
    public String operatorsName() {
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
            in.fault(
                    "exactly one of entry, directEntry, agent, controlRole and storeRole must be"
                            + " given, not "
                            + roles);
        }
        if (fleet.isPresent()) {
            checkFleet(in);
        } else {
            checkFixed(in);
        }
    }

    private void checkFleet(SettingsReader in) {
        if (fleet.get().seeds().isEmpty()) {
            in.fault("fleet.seeds must name at least one control host");
        }
        if (!Addresses.parse(peerAddress).getAddress().getHostAddress().equals(host.value())) {
            in.fault("host must be the IP number of peerAddress in a fleet with seeds");
        }
        if (entry.isPresent() || agent.isPresent()) {
            in.fault("entry and agent need a list of control hosts and not a fleet with seeds");
        }
        if (controlRole.isPresent() && controlRole.get().targetList().isEmpty()) {
            in.fault("controlRole.targetList must be given in a fleet with seeds");
        }
    }

    private void checkFixed(SettingsReader in) {
        if (control.isEmpty()) {
            in.fault("control must name at least one control host");
        }
        boolean isMember = control.stream().anyMatch(peer -> peer.host().equals(host));
        if (controlRole.isPresent() && !isMember) {
            in.fault("control must name this host '" + host + "', as it has the control role");
        }
        if (entry.isPresent()
                && entry.get().entries().stream().noneMatch(peer -> peer.host().equals(host))) {
            in.fault("entry.entries must name this host '" + host + "'");
        }
        if (directEntry.isPresent() || storeRole.isPresent()) {
            in.fault("directEntry and storeRole need a fleet with seeds");
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
                in.number("keyMillis", DEFAULT_KEY_MILLIS, MIN_KEY_MILLIS, MAX_KEY_MILLIS));
    }

    private static DirectEntryRole readDirectEntry(SettingsReader in) {
        return new DirectEntryRole(
                in.address("callerAddress"),
                (int) in.number("maxBodyBytes", 4 * MEBIBYTE, 1, 64 * MEBIBYTE));
    }
}
