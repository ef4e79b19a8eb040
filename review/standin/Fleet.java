import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * Starts the hosts of a small deployment as separate processes on loopback addresses, with the
 * commands and the templates of the deploy file, and signals them.
 */
final class Fleet implements AutoCloseable {
    private static final String SETTINGS_WORD = "/etc/coltsfootproxy/settings.json";

    /** One machine and the process of its role. */
    final class Host {
        final String role;
        final String name;
        final String zone;
        final String ip;
        final String caller;
        boolean firstStart = true;
        Process process;
        int starts;

        Host(String role, String name, String zone, String ip, int callerPort) {
            this.role = role;
            this.name = name;
            this.zone = zone;
            this.ip = ip;
            this.caller = ip + ":" + callerPort;
        }

        Path log() {
            return mFolder.resolve(name + ".log");
        }

        boolean logHolds(String text) {
            try {
                return Files.readString(log()).contains(text);
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }

        Path data() {
            return mFolder.resolve(name + ".data");
        }

        void start() {
            try {
                Path settings = mFolder.resolve(name + ".yaml");
                Files.writeString(settings, settings(this));
                List<String> command =
                        Stream.of(mRuns.get(role).split(" "))
                                .map(w -> w.equals(SETTINGS_WORD) ? settings.toString() : w)
                                .collect(Collectors.toList());
                ProcessBuilder builder = new ProcessBuilder(command);
                builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
                builder.redirectErrorStream(true);
                builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log().toFile()));
                process = builder.start();
                starts++;
                firstStart = false;
                mRecord.line("started %s at %s, process %d", name, ip, process.pid());
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }

        /** Sends a signal to the process of this host, by its id. */
        void signal(String signal) {
            try {
                mRecord.line("signal %s to %s", signal, name);
                new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid()))
                        .inheritIO()
                        .start()
                        .waitFor();
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            } catch (InterruptedException e) {
                throw new IllegalStateException(e);
            }
        }

        /** Kills the process and waits for its end; its files stay. */
        void kill() {
            mRecord.line("kill %s", name);
            process.destroyForcibly();
            try {
                process.waitFor();
            } catch (InterruptedException e) {
                throw new IllegalStateException(e);
            }
        }
    }

    final List<Host> cores = new ArrayList<>();
    final List<Host> stores = new ArrayList<>();
    final List<Host> fronts = new ArrayList<>();
    final Record mRecord;
    private final Path mFolder;
    private final Map<String, String> mRuns = new LinkedHashMap<>();
    private final Map<String, String> mTemplates = new LinkedHashMap<>();
    private final String mListAddress;
    private final int mLosses;
    private final int mPeerPort;
    private final int mStorePort;
    private final int mCallerPort;
    private final int mReadyPort;
    private final int mControlPort;

    Fleet(Record record, String listAddress, int losses, int cores, int stores, int fronts) {
        mRecord = record;
        mListAddress = listAddress;
        mLosses = losses;
        try {
            mFolder = Files.createTempDirectory("coltsfootproxy-review");
            readDeployFile();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        // Also if this program is ended from outside, no process stays.
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
        int[] ports = freePorts(5);
        mPeerPort = ports[0];
        mStorePort = ports[1];
        mCallerPort = ports[2];
        mReadyPort = ports[3];
        mControlPort = ports[4];
        for (int i = 1; i <= cores; i++) {
            this.cores.add(new Host("control", "core-" + i, zone(i), "127.0.1." + i, mControlPort));
        }
        for (int i = 1; i <= stores; i++) {
            this.stores.add(new Host("store", "store-" + i, zone(i), "127.0.2." + i, mStorePort));
        }
        for (int i = 1; i <= fronts; i++) {
            this.fronts.add(new Host("entry", "front-" + i, zone(i), "127.0.3." + i, mCallerPort));
        }
    }

    private static String zone(int i) {
        return "zone-" + i;
    }

    private void readDeployFile() throws IOException {
        String role = "";
        for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
            if (line.startsWith("[roles.")) {
                role = line.substring(7, line.indexOf(']'));
            } else if (line.startsWith("run = ")) {
                mRuns.put(role, line.substring(line.indexOf('"') + 1, line.lastIndexOf('"')));
            } else if (line.startsWith("template = ")) {
                String path = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
                mTemplates.put(role, Files.readString(Path.of(path)));
            }
        }
    }

    private static int[] freePorts(int count) {
        List<ServerSocket> sockets = new ArrayList<>();
        int[] ports = new int[count];
        try {
            for (int i = 0; i < count; i++) {
                sockets.add(new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1")));
                ports[i] = sockets.get(i).getLocalPort();
            }
            for (ServerSocket socket : sockets) {
                socket.close();
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return ports;
    }

    /** Fills in the template of the host's role. */
    private String settings(Host host) {
        String seeds =
                cores.stream().limit(3).map(c -> "\"" + c.caller + "\"").collect(Collectors.joining(","));
        String zones =
                Stream.of(1, 2, 3, 4).map(i -> "\"" + zone(i) + "\": \"region\"").collect(Collectors.joining(","));
        return mTemplates
                .get(host.role)
                .replaceAll("seeds: \\[.*\\]", "seeds: [" + seeds + "]")
                .replaceAll("regions: \\{.*\\}", "regions: {" + zones + "}")
                .replaceAll("evacuations: .*", "evacuations: false")
                .replace("{{ip}}:{{port_range.0}}", host.ip + ":" + mPeerPort)
                .replace("{{ip}}:{{port_range.1}}", host.ip + ":" + mStorePort)
                .replace("{{ip}}", host.ip)
                .replace("{{node_name}}", host.name)
                .replace("{{zone}}", host.zone)
                .replace("{{bootstrap}}", Boolean.toString(host.firstStart))
                .replace("{{tolerate.machines}}", Integer.toString(mLosses))
                .replace("{{bounds.revoke_ms}}", "5000")
                .replace("{{data_dir}}", host.data().toString())
                .replace("{{cloud.addr}}", mListAddress)
                .replace("{{listen.control}}", host.caller)
                .replace("{{listen.ready}}", host.ip + ":" + mReadyPort)
                .replace("{{listen.front}}", host.caller);
    }

    Stream<Host> all() {
        return Stream.of(cores, stores, fronts).flatMap(List::stream);
    }

    void start() {
        all().forEach(Host::start);
    }

    String readyAddress(Host front) {
        return front.ip + ":" + mReadyPort;
    }

    /** Ends all processes and removes the temporary folder unless KEEP is set. */
    @Override
    public synchronized void close() {
        all().filter(h -> h.process != null).forEach(h -> h.process.destroyForcibly());
        all().filter(h -> h.process != null)
                .forEach(
                        h -> {
                            try {
                                h.process.waitFor(10, TimeUnit.SECONDS);
                            } catch (InterruptedException e) {
                                Thread.currentThread().interrupt();
                            }
                        });
        if (System.getenv("KEEP") != null) {
            System.out.println("logs are in " + mFolder);
            return;
        }
        if (!Files.exists(mFolder)) {
            return;
        }
        try (Stream<Path> paths = Files.walk(mFolder)) {
            paths.sorted(Comparator.reverseOrder()).forEach(p -> p.toFile().delete());
        } catch (IOException e) {
            System.err.println("can't remove the temporary folder: " + e);
        }
    }
}
