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
 * Checks that the error, event and metric tables in docs match the enums in the code.
 *
 * <p>Run with {@code -Dtest.options=-Dcatalogue.write=true} to regenerate the tables.
 */
public final class CatalogueTest {
    private static final String OUT_OF_DATE =
            " is not up to date; run"
                    + " mvn test -Dtest=CatalogueTest -Dtest.options=-Dcatalogue.write=true";
    private static final String TABLE_BEGIN = "<!-- table begins -->\n";
    private static final String TABLE_END = "<!-- table ends -->\n";

    @Test
    public void theErrorCatalogueMatchesErrorKind() throws IOException {
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
        checkTable(
                "docs/ERRORS.md",
                "| kind | status | ran | exit code | meaning |\n|---|---|---|---|---|\n" + rows);
    }

    @Test
    public void theEventCatalogueMatchesEventCode() throws IOException {
        String rows =
                Arrays.stream(EventCode.values())
                        .map(
                                e ->
                                        String.format(
                                                "| %d | %s | %s |%n",
                                                e.number(), e.level(), e.text()))
                        .collect(Collectors.joining());
        checkTable("docs/EVENTS.md", "| number | level | what happened |\n|---|---|---|\n" + rows);
    }

    @Test
    public void theMetricCatalogueMatchesMetric() throws IOException {
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
        checkTable("docs/METRICS.md", "| metric | shape | what it tells |\n|---|---|---|\n" + rows);
    }

    @Test
    public void eventNumbersAreUnique() {
        long numbers = Arrays.stream(EventCode.values()).map(EventCode::number).distinct().count();

        assertEquals(numbers, EventCode.values().length);
    }

    private static void checkTable(String page, String table) throws IOException {
        Path file = Path.of(page);
        String text = Files.readString(file);
        int begin = text.indexOf(TABLE_BEGIN) + TABLE_BEGIN.length();
        int end = text.indexOf(TABLE_END);
        if (Boolean.getBoolean("catalogue.write")) {
            Files.writeString(file, text.substring(0, begin) + table + text.substring(end));
            return;
        }
        assertEquals(text.substring(begin, end), table, page + OUT_OF_DATE);
    }
}
