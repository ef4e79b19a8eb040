package org.coltsfootproxy.docs;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.stream.Stream;
import org.testng.annotations.Test;

/** Checks that only the platform adapter and the stand-in targets use the platform's names. */
public final class PlatformWordsTest {
    private static final Path ROOT = Path.of("src/main/java/org/coltsfootproxy");

    /**
     * Distinctive names of the platform's headers, paths and fields, in lower case. Common words
     * are left out to avoid false matches.
     */
    private static final List<String> PLATFORM_NAMES =
            List.of(
                    "server-stamp",
                    "target-instance",
                    "not-run\"",
                    "deadline-ms",
                    "server-load",
                    "instance-id",
                    "wait-ms",
                    "token-count",
                    "prompt-prefix",
                    "\"request-id",
                    "/instances",
                    "/coltsfootproxy/",
                    "/lots/",
                    "\"gap_aim_ms",
                    "\"run_target_ms",
                    "\"max_attempts",
                    "\"timeout_ms",
                    "\"goal_ms",
                    "\"path_prefix",
                    "\"api_keys",
                    "\"rate_per_s",
                    "\"next_token",
                    "page_token",
                    "\"kv_capacity");

    @Test
    public void onlyThePlatformAdapterAndTheStandInTargetsUseNamesOfThePlatform()
            throws IOException {
        try (Stream<Path> files = Files.walk(ROOT)) {
            List<String> found =
                    files.filter(file -> file.toString().endsWith(".java"))
                            .filter(file -> !isInside(file, "platform"))
                            .filter(file -> !isInside(file, "fake"))
                            .flatMap(PlatformWordsTest::namesIn)
                            .toList();

            assertEquals(found, List.of());
        }
    }

    @Test
    public void onlyTheRuntimePackageImportsThePlatformAdapter() throws IOException {
        try (Stream<Path> files = Files.walk(ROOT)) {
            List<String> importers =
                    files.filter(file -> file.toString().endsWith(".java"))
                            .filter(file -> read(file).contains("coltsfootproxy.platform."))
                            .map(file -> file.getParent().getFileName().toString())
                            .distinct()
                            .toList();

            assertEquals(importers, List.of("runtime"));
        }
    }

    @Test
    public void thePlatformAdapterUsesMostOfTheListedNames() throws IOException {
        try (Stream<Path> files = Files.walk(ROOT.resolve("platform"))) {
            long usedNames =
                    files.filter(file -> file.toString().endsWith(".java"))
                            .flatMap(PlatformWordsTest::namesIn)
                            .map(line -> line.replaceAll(".*: ", ""))
                            .distinct()
                            .count();

            assertTrue(
                    usedNames > PLATFORM_NAMES.size() / 2,
                    "only " + usedNames + " words are in the adapter");
        }
    }

    private static boolean isInside(Path file, String folder) {
        return file.getParent().getFileName().toString().equals(folder);
    }

    private static Stream<String> namesIn(Path file) {
        String text = read(file).toLowerCase(Locale.ROOT);
        return PLATFORM_NAMES.stream().filter(text::contains).map(name -> file + ": " + name);
    }

    private static String read(Path file) {
        try {
            return Files.readString(file);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
