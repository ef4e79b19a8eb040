package org.coltsfootproxy.runtime;

import com.google.common.primitives.Ints;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;
import java.util.stream.Stream;

/**
 * Shares the descriptors of a process among the connections that others open to it. The rest is for
 * files, peers, and targets, of which a host calls one for each caller.
 *
 * @param total number of descriptors that the process may have open
 */
record Descriptors(int total) {
    /** Used where the operating system does not tell its limit. */
    private static final int DEFAULT_TOTAL = 4_096;

    private static final Path LIMITS = Path.of("/proc/self/limits");
    private static final String LIMIT_NAME = "Max open files";
    private static final int CALLERS_DIVISOR = 3;
    private static final int OPERATORS_DIVISOR = 16;
    private static final int UNPROVEN_PEERS_DIVISOR = 4;

    /** Returns the descriptors that the settings name, or else those of the process. */
    static Descriptors of(Settings settings) {
        return new Descriptors(settings.descriptors().orElseGet(Descriptors::ofProcess));
    }

    private static int ofProcess() {
        try (Stream<String> lines = Files.lines(LIMITS)) {
            return lines.filter(line -> line.startsWith(LIMIT_NAME))
                    .map(line -> line.substring(LIMIT_NAME.length()).trim().split(" ")[0])
                    .map(soft -> Optional.ofNullable(Ints.tryParse(soft)).orElse(DEFAULT_TOTAL))
                    .findFirst()
                    .orElse(DEFAULT_TOTAL);
        } catch (IOException e) {
            // Other systems have no such file.
            return DEFAULT_TOTAL;
        }
    }

    /** Returns the maximum number of connections of callers. */
    int callers() {
        return Math.max(1, total / CALLERS_DIVISOR);
    }

    /** Returns the maximum number of connections to the admin address. */
    int operators() {
        return Math.max(1, total / OPERATORS_DIVISOR);
    }

    /** Returns the maximum number of connections of peers without proof. */
    int unprovenPeers() {
        return Math.max(1, total / UNPROVEN_PEERS_DIVISOR);
    }
}
