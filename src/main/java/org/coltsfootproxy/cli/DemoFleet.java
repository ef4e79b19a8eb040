package org.coltsfootproxy.cli;

import com.google.common.io.MoreFiles;
import com.google.common.io.RecursiveDeleteOption;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.coltsfootproxy.base.ErrorKind;
import org.coltsfootproxy.base.ProxyException;
import org.coltsfootproxy.config.KeyDigest;
import org.coltsfootproxy.fake.FakeTarget;
import org.coltsfootproxy.fake.FakeTargetSettings;
import org.coltsfootproxy.runtime.FreePorts;
import org.coltsfootproxy.runtime.Settings;

/** A small fleet in one process: a control host, an entry host, two agents and two targets. */
final class DemoFleet {
    static final String OPERATOR_KEY = "demo-operator-key";
    static final String SOLWAY_KEY = "demo-solway-key";
    static final String MINCH_KEY = "demo-minch-key";

    private static final String COMMON_SETTINGS =
            """
            host: %s
            dataCentre: solway
            fleetSecret: secret-of-the-demo-fleet
            peerAddress: %s
            adminAddress: %s
            stopSeconds: 20
            control:
              - {host: control-1, dataCentre: solway, address: "%s"}
            """;

    private final Path mFolder;
    private final FakeTarget mEngine;
    private final FakeTarget mPlain;
    private final ServeCommands.Hosts mHosts;
    private final String mAdminAddress;
    private final String mCallerAddress;
    private final String mEngineAgentAddress;
    private final String mPlainAgentAddress;

    private DemoFleet() throws ProxyException, IOException {
        mFolder = Files.createTempDirectory("coltsfootproxy-demo");
        mEngine = startTarget(FakeTargetSettings.Mode.ENGINE);
        mPlain = startTarget(FakeTargetSettings.Mode.PLAIN);
        List<Settings> settings = new ArrayList<>();
        try (FreePorts ports = FreePorts.create()) {
            String control = ports.nextLoopbackAddress();
            String entry = ports.nextLoopbackAddress();
            mAdminAddress = ports.nextLoopbackAddress();
            mCallerAddress = ports.nextLoopbackAddress();
            mEngineAgentAddress = ports.nextLoopbackAddress();
            mPlainAgentAddress = ports.nextLoopbackAddress();
            settings.add(controlSettings(control));
            settings.add(
                    agentSettings(
                            commonSettings(
                                    "engine-agent",
                                    mEngineAgentAddress,
                                    ports.nextLoopbackAddress(),
                                    control),
                            "engine-agent",
                            "rota-assistant",
                            mEngine));
            settings.add(
                    agentSettings(
                            commonSettings(
                                    "plain-agent",
                                    mPlainAgentAddress,
                                    ports.nextLoopbackAddress(),
                                    control),
                            "plain-agent",
                            "card-service",
                            mPlain));
            settings.add(
                    entrySettings(
                            commonSettings("entry-1", entry, ports.nextLoopbackAddress(), control),
                            entry));
        }
        mHosts = ServeCommands.Hosts.start(settings);
    }

    static DemoFleet start() throws ProxyException {
        try {
            return new DemoFleet();
        } catch (IOException e) {
            throw ProxyException.of(ErrorKind.INTERNAL, "the demonstration can't start", e);
        }
    }

    private static FakeTarget startTarget(FakeTargetSettings.Mode mode) throws ProxyException {
        InetSocketAddress anyPort = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        return FakeTarget.start(FakeTargetSettings.of(anyPort, mode));
    }

    private static String commonSettings(String host, String peer, String admin, String control) {
        return String.format(COMMON_SETTINGS, host, peer, admin, control);
    }

    private Settings controlSettings(String address) throws ProxyException {
        String text =
                commonSettings("control-1", address, mAdminAddress, address)
                        + "controlRole:\n"
                        + "  dataFolder: "
                        + mFolder
                        + "\n  operatorKeyDigest: "
                        + KeyDigest.of(OPERATOR_KEY)
                        + "\n";
        return Settings.parse("control-1", text);
    }

    private static Settings agentSettings(
            String common, String host, String service, FakeTarget target) throws ProxyException {
        String text =
                common
                        + "agent:\n  service: "
                        + service
                        + "\n  target: 127.0.0.1:"
                        + target.address().getPort()
                        + "\n";
        return Settings.parse(host, text);
    }

    private Settings entrySettings(String common, String address) throws ProxyException {
        String text =
                common
                        + "entry:\n  callerAddress: "
                        + mCallerAddress
                        + "\n  entries:\n    - {host: entry-1, dataCentre: solway, address: \""
                        + address
                        + "\"}\n";
        return Settings.parse("entry-1", text);
    }

    /** Returns the first change ticket. */
    String firstTicket() {
        return """
        ticket: 1
        organisations:
          - {id: solway, ratePerSecond: 200, burst: 400}
          - {id: minch, ratePerSecond: 50, burst: 100}
        keys:
          - {id: solway-1, organisation: solway, digest: %s}
          - {id: minch-1, organisation: minch, digest: %s}
        services:
          - id: rota-assistant
            streaming: true
            concurrency: 8
            targets:
              - {id: engine, dataCentre: solway, agent: engine-agent, address: "%s"}
          - id: card-service
            concurrency: 16
            targets:
              - {id: plain, dataCentre: solway, agent: plain-agent, address: "%s"}
        routes:
          - {id: assistant, pathPrefix: /assistant, service: rota-assistant,
             repeatableMethods: [GET, POST], timeoutMillis: 30000}
          - {id: cards, pathPrefix: /cards, service: card-service,
             repeatableMethods: [GET], timeoutMillis: 5000}
          - {id: swaps, pathPrefix: /swaps, service: card-service, timeoutMillis: 5000}
          - {id: tides, pathPrefix: /tides, service: card-service, open: true,
             repeatableMethods: [GET], timeoutMillis: 5000}
        """
                .formatted(
                        KeyDigest.of(SOLWAY_KEY),
                        KeyDigest.of(MINCH_KEY),
                        mEngineAgentAddress,
                        mPlainAgentAddress);
    }

    /** Returns the address for operators. */
    String adminAddress() {
        return mAdminAddress;
    }

    /** Returns the address for callers. */
    String callerAddress() {
        return mCallerAddress;
    }

    FakeTarget engine() {
        return mEngine;
    }

    FakeTarget plain() {
        return mPlain;
    }

    /** Stops the fleet gracefully and deletes its data. */
    void stop() {
        mHosts.stop();
        mEngine.close();
        mPlain.close();
        try {
            MoreFiles.deleteRecursively(mFolder, RecursiveDeleteOption.ALLOW_INSECURE);
        } catch (IOException e) {
            System.err.println("coltsfootproxy: " + mFolder + " can't be removed: " + e);
        }
    }
}
