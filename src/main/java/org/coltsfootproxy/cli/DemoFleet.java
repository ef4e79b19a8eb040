package org.coltsfootproxy.cli;

import com.google.common.io.MoreFiles;
import com.google.common.io.RecursiveDeleteOption;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.coltsfootproxy.base.ErrorKind;
import org.coltsfootproxy.base.ProxyException;
import org.coltsfootproxy.config.KeyDigest;
import org.coltsfootproxy.fake.FakeTarget;
import org.coltsfootproxy.fake.FakeTargetSettings;
import org.coltsfootproxy.runtime.Settings;

/** A whole small fleet in one process on loopback: control, entry, two agents and two targets. */
final class DemoFleet {
    static final String OPERATOR_KEY = "demo-operator-key";
    static final String FLOOD_KEY = "demo-solway-key";
    static final String QUIET_KEY = "demo-minch-key";

    private static final String COMMON =
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
    private final String mAdmin;
    private final String mCaller;
    private final String mEngineAgent;
    private final String mPlainAgent;

    private DemoFleet() throws ProxyException, IOException {
        mFolder = Files.createTempDirectory("coltsfootproxy-demo");
        mEngine = target(FakeTargetSettings.Mode.ENGINE);
        mPlain = target(FakeTargetSettings.Mode.PLAIN);
        String control = freeAddress();
        String entry = freeAddress();
        mAdmin = freeAddress();
        mCaller = freeAddress();
        mEngineAgent = freeAddress();
        mPlainAgent = freeAddress();
        List<Settings> settings = new ArrayList<>();
        settings.add(control(control));
        settings.add(agent("engine-agent", mEngineAgent, control, "rota-assistant", mEngine));
        settings.add(agent("plain-agent", mPlainAgent, control, "card-service", mPlain));
        settings.add(entry(entry, control));
        mHosts = ServeCommands.Hosts.start(settings);
    }

    static DemoFleet start() throws ProxyException {
        try {
            return new DemoFleet();
        } catch (IOException e) {
            throw ProxyException.of(ErrorKind.INTERNAL, "the demonstration can't start", e);
        }
    }

    private static FakeTarget target(FakeTargetSettings.Mode mode) throws ProxyException {
        InetSocketAddress any = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        return FakeTarget.start(FakeTargetSettings.of(any, mode));
    }

    /** Returns an address whose port the system has just given out and taken back. */
    private static String freeAddress() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return "127.0.0.1:" + socket.getLocalPort();
        }
    }

    private static String common(String host, String peer, String admin, String control) {
        return String.format(COMMON, host, peer, admin, control);
    }

    private Settings control(String address) throws ProxyException {
        String text =
                common("control-1", address, mAdmin, address)
                        + "controlRole:\n"
                        + "  dataFolder: "
                        + mFolder
                        + "\n  operatorKeyDigest: "
                        + KeyDigest.of(OPERATOR_KEY)
                        + "\n";
        return Settings.parse("control-1", text);
    }

    private static Settings agent(
            String host, String address, String control, String service, FakeTarget target)
            throws ProxyException, IOException {
        String text =
                common(host, address, freeAddress(), control)
                        + "agent:\n  service: "
                        + service
                        + "\n  target: 127.0.0.1:"
                        + target.address().getPort()
                        + "\n";
        return Settings.parse(host, text);
    }

    private Settings entry(String address, String control) throws ProxyException, IOException {
        String text =
                common("entry-1", address, freeAddress(), control)
                        + "entry:\n  callerAddress: "
                        + mCaller
                        + "\n  entries:\n    - {host: entry-1, dataCentre: solway, address: \""
                        + address
                        + "\"}\n";
        return Settings.parse("entry-1", text);
    }

    /** Returns the first change ticket. */
    String ticket() {
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
                        KeyDigest.of(FLOOD_KEY),
                        KeyDigest.of(QUIET_KEY),
                        mEngineAgent,
                        mPlainAgent);
    }

    /** Returns where operators connect. */
    String admin() {
        return mAdmin;
    }

    /** Returns where callers connect. */
    String caller() {
        return mCaller;
    }

    FakeTarget engine() {
        return mEngine;
    }

    FakeTarget plain() {
        return mPlain;
    }

    /** Stops the fleet as planned and removes its data. */
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
