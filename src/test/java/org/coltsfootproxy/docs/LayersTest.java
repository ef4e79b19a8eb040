package org.coltsfootproxy.docs;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.regex.MatchResult;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.testng.annotations.Test;

/** Checks the layering of packages: each may import only packages that precede it in the order. */
public final class LayersTest {
    private static final List<String> LAYERS =
            List.of(
                    "base",
                    "message",
                    "node",
                    "consensus",
                    "storage",
                    "config",
                    "membership",
                    "relay",
                    "quarantine",
                    "work",
                    "limit",
                    "routing",
                    "admission",
                    "idempotency",
                    "job",
                    "entry",
                    "agent",
                    "direct",
                    "control",
                    "net",
                    "platform",
                    "runtime",
                    "fake",
                    "load",
                    "cli");
    private static final Path ROOT = Path.of("src/main/java/org/coltsfootproxy");
    private static final Pattern IMPORT =
            Pattern.compile("import (?:static )?org\\.coltsfootproxy\\.(\\w+)\\.");

    @Test
    public void eachPackageImportsOnlyPrecedingPackages() throws IOException {
        try (Stream<Path> files = Files.walk(ROOT)) {
            List<String> violations =
                    files.filter(file -> file.toString().endsWith(".java"))
                            .flatMap(LayersTest::forbiddenImports)
                            .toList();

            assertEquals(violations, List.of());
        }
    }

    @Test
    public void everyPackageIsListedInTheOrder() throws IOException {
        try (Stream<Path> folders = Files.list(ROOT)) {
            folders.map(folder -> folder.getFileName().toString())
                    .forEach(name -> assertTrue(LAYERS.contains(name), name));
        }
    }

    private static Stream<String> forbiddenImports(Path file) {
        int ownLayer = LAYERS.indexOf(file.getParent().getFileName().toString());
        return IMPORT.matcher(read(file))
                .results()
                .map(MatchResult::group)
                .filter(line -> LAYERS.indexOf(line.replaceAll(".*\\.(\\w+)\\.$", "$1")) > ownLayer)
                .map(line -> file + ": " + line);
    }

    private static String read(Path file) {
        try {
            return Files.readString(file);
        } catch (IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
    }
}
