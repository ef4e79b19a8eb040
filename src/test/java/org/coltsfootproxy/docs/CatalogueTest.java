package org.coltsfootproxy.docs;

import static org.testng.Assert.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.stream.Collectors;
import org.coltsfootproxy.base.ErrorKind;
import org.coltsfootproxy.base.EventCode;
import org.coltsfootproxy.base.Metric;
import org.testng.annotations.Test;

/**
 * Holds the catalogues in docs to the closed lists in the code.
 *
 * <p>Run with {@code -Dtest.options=-Dcatalogue.write=true} to bring the tables up to date.
 */
public final class CatalogueTest {
    private static final String OUT_OF_DATE =
            " is not up to date; run"
                    + " mvn test -Dtest=CatalogueTest -Dtest.options=-Dcatalogue.write=true";
    private static final String BEGIN = "<!-- table begins -->\n";
    private static final String END = "<!-- table ends -->\n";

    @Test
    public void theErrorCatalogueListsEveryKindWithItsAnswer() throws IOException {
        String rows =
                Arrays.stream(ErrorKind.values())
                        .map(
                                k ->
                                        String.format(
                                                "| `%s` | %d | %s | %d | %s |%n",
                                                k.label(),
                                                k.status(),
                                                k.ran().label(),
                                                k.exitCode(),
                                                k.title()))
                        .collect(Collectors.joining());
        check(
                "docs/ERRORS.md",
                "| kind | status | ran | exit code | meaning |\n|---|---|---|---|---|\n" + rows);
    }

    @Test
    public void theEventCatalogueListsEveryNumber() throws IOException {
        String rows =
                Arrays.stream(EventCode.values())
                        .map(
                                e ->
                                        String.format(
                                                "| %d | %s | %s |%n",
                                                e.number(), e.level(), e.text()))
                        .collect(Collectors.joining());
        check("docs/EVENTS.md", "| number | level | what happened |\n|---|---|---|\n" + rows);
    }

    @Test
    public void theMetricCatalogueListsEveryMetric() throws IOException {
        String rows =
                Arrays.stream(Metric.values())
                        .map(
                                m ->
                                        String.format(
                                                "| `%s` | %s | %s |%n",
                                                m.exportedName(),
                                                m.shape().name().toLowerCase(java.util.Locale.ROOT),
                                                m.help()))
                        .collect(Collectors.joining());
        check("docs/METRICS.md", "| metric | shape | what it tells |\n|---|---|---|\n" + rows);
    }

    @Test
    public void noEventNumberStandsForTwoEvents() {
        long numbers = Arrays.stream(EventCode.values()).map(EventCode::number).distinct().count();

        assertEquals(numbers, EventCode.values().length);
    }

    private static void check(String page, String table) throws IOException {
        Path file = Path.of(page);
        String text = Files.readString(file);
        int begin = text.indexOf(BEGIN) + BEGIN.length();
        int end = text.indexOf(END);
        if (Boolean.getBoolean("catalogue.write")) {
            Files.writeString(file, text.substring(0, begin) + table + text.substring(end));
            return;
        }
        assertEquals(text.substring(begin, end), table, page + OUT_OF_DATE);
    }
}
