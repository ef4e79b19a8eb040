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
 * @param dataCentre where the host stands
 * @param fleetSecret what the peers of one fleet prove to each other
 * @param peerAddress where peers connect
 * @param adminAddress where operators connect: metrics, health, and on control hosts the tickets
 * @param control the control hosts
 * @param hostList file or HTTP address of the platform's list of hosts, if there is one
 * @param jobGroups number of groups that batch jobs are spread over; the same on all hosts
 * @param stopSeconds longest time that a planned stop waits for what runs
 * @param entry settings of the entry role, if the host has it
 * @param agent settings of the agent role, if the host has it
 * @param controlRole settings of the control role, if the host has it
 */
public record Settings(
        HostId host,
        DataCentre dataCentre,
        String fleetSecret,
        String peerAddress,
        String adminAddress,
        List<Peer> control,
        Optional<URI> hostList,
        int jobGroups,
        long stopSeconds,
        Optional<EntryRole> entry,
        Optional<AgentRole> agent,
        Optional<ControlRole> controlRole) {
    private static final int MIN_SECRET_LENGTH = 16;
    private static final long MAX_STOP_SECONDS = 3_600;
    private static final long DEFAULT_STOP_SECONDS = 60;
    private static final int MAX_JOB_GROUPS = 64;
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
    public record ControlRole(Path dataFolder, String operatorKeyDigest, boolean replaceEmpty) {}

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
            String detail = file + " can't be read: " + e.getMessage();
            throw ProxyException.of(ErrorKind.SETTINGS_INVALID, detail, e);
        }
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

    private static Settings read(SettingsReader in) {
        Settings settings =
                new Settings(
                        HostId.of(in.name("host")),
                        DataCentre.of(in.name("dataCentre")),
                        in.text("fleetSecret", MIN_SECRET_LENGTH),
                        in.address("peerAddress"),
                        in.address("adminAddress"),
                        in.children("control", Settings::readPeer),
                        in.optionalUri("hostList"),
                        (int) in.number("jobGroups", 1, 1, MAX_JOB_GROUPS),
                        in.number("stopSeconds", DEFAULT_STOP_SECONDS, 1, MAX_STOP_SECONDS),
                        in.optionalChild("entry", Settings::readEntry),
                        in.optionalChild("agent", Settings::readAgent),
                        in.optionalChild("controlRole", Settings::readControl));
        settings.checkRoles(in);
        return settings;
    }

    private void checkRoles(SettingsReader in) {
        long roles =
                java.util.stream.Stream.of(entry, agent, controlRole)
                        .filter(Optional::isPresent)
                        .count();
        if (roles != 1) {
            in.fault("exactly one of entry, agent and controlRole must be given, not " + roles);
        }
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
                in.flag("replaceEmpty", true));
    }
}
