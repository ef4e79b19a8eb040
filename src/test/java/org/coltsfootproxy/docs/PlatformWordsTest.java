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

/** Keeps the names of the users' platform within the package that speaks to it. */
public final class PlatformWordsTest {
    private static final Path ROOT = Path.of("src/main/java/org/coltsfootproxy");

    /** Headers, calls and fields of the platform that are no everyday words, in lower case. */
    private static final List<String> WORDS =
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
    public void noOtherPackageNamesTheHeadersCallsOrFieldsOfThePlatform() throws IOException {
        try (Stream<Path> files = Files.walk(ROOT)) {
            List<String> found =
                    files.filter(file -> file.toString().endsWith(".java"))
                            .filter(file -> !isInside(file, "platform"))
                            .filter(file -> !isInside(file, "fake"))
                            .flatMap(PlatformWordsTest::wordsIn)
                            .toList();

            assertEquals(found, List.of());
        }
    }

    @Test
    public void onlyTheWiringOfProcessesImportsThePlatform() throws IOException {
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
    public void theListOfWordsStillMatchesWhatTheAdapterSays() throws IOException {
        try (Stream<Path> files = Files.walk(ROOT.resolve("platform"))) {
            long words =
                    files.filter(file -> file.toString().endsWith(".java"))
                            .flatMap(PlatformWordsTest::wordsIn)
                            .map(line -> line.replaceAll(".*: ", ""))
                            .distinct()
                            .count();

            assertTrue(words > WORDS.size() / 2, "only " + words + " words are in the adapter");
        }
    }

    private static boolean isInside(Path file, String folder) {
        return file.getParent().getFileName().toString().equals(folder);
    }

    private static Stream<String> wordsIn(Path file) {
        String text = read(file).toLowerCase(Locale.ROOT);
        return WORDS.stream().filter(text::contains).map(word -> file + ": " + word);
    }

    private static String read(Path file) {
        try {
            return Files.readString(file);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
