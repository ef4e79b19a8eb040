package org.coltsfootproxy.load;

import java.util.Locale;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/** Formats a report as text for terminals. */
final class TextReport {
    private TextReport() {}

    /** Returns the text; each line ends with the platform's line separator. */
    static String of(LoadReport report) {
        Stream<String> head =
                Stream.of(
                        line(
                                "%s, seed %d, %d s",
                                report.scenario(), report.seed(), report.seconds()));
        return Stream.of(
                        head,
                        streams(report),
                        organisations(report),
                        jobs(report),
                        findings(report))
                .flatMap(s -> s)
                .collect(Collectors.joining());
    }

    private static String line(String format, Object... values) {
        return String.format(Locale.ROOT, format, values) + System.lineSeparator();
    }

    private static Stream<String> streams(LoadReport report) {
        Stream<String> title =
                Stream.of(
                        line(""),
                        line(
                                "%-20s %8s %8s %8s %8s  %26s  %26s",
                                "online",
                                "sent",
                                "answered",
                                "refused",
                                "broken",
                                "first byte p50/p95/p99 ms",
                                "whole p50/p95/p99 ms"));
        return Stream.concat(title, report.streams().stream().map(TextReport::stream));
    }

    private static String stream(LoadReport.StreamFigures s) {
        return line(
                "%-20s %8d %8d %8d %8d  %26s  %26s",
                s.name(),
                s.sent(),
                s.answered(),
                s.refused(),
                s.broken(),
                latency(s.firstByte()),
                latency(s.whole()));
    }

    private static String latency(LoadReport.Latency l) {
        return String.format(Locale.ROOT, "%.1f / %.1f / %.1f", l.p50(), l.p95(), l.p99());
    }

    private static Stream<String> organisations(LoadReport report) {
        Stream<String> title =
                Stream.of(
                        line(""),
                        line(
                                "%-20s %8s %8s %10s %12s  %s",
                                "organisation",
                                "rate/s",
                                "sent/s",
                                "answered/s",
                                "within rate*",
                                "not answered"));
        Stream<String> note = Stream.of(line("* refused for the rate although within it"));
        return Stream.of(title, report.organisations().stream().map(TextReport::organisation), note)
                .flatMap(s -> s);
    }

    private static String organisation(LoadReport.OrganisationFigures o) {
        return line(
                "%-20s %8.1f %8.1f %10.1f %12d  %s",
                o.id(),
                o.ratePerSecond(),
                o.sentPerSecond(),
                o.answeredPerSecond(),
                o.refusedWithinRate(),
                o.refusals());
    }

    private static Stream<String> jobs(LoadReport report) {
        if (report.jobs().isEmpty()) {
            return Stream.empty();
        }
        Stream<String> title =
                Stream.of(
                        line(""),
                        line("%-32s %8s %8s %8s  %s", "job", "items", "done", "seconds", "state"));
        return Stream.concat(
                title,
                report.jobs().stream()
                        .map(
                                j ->
                                        line(
                                                "%-32s %8d %8d %8.1f  %s",
                                                j.id(),
                                                j.items(),
                                                j.done(),
                                                j.seconds(),
                                                j.state())));
    }

    private static Stream<String> findings(LoadReport report) {
        return Stream.concat(
                Stream.of(line("")), report.findings().stream().flatMap(TextReport::finding));
    }

    private static Stream<String> finding(Finding f) {
        String verdict = f.verdict().name().toLowerCase(Locale.ROOT).replace('_', ' ');
        return Stream.concat(
                Stream.of(line("%-12s %s (%d cases)", verdict, f.promise(), f.checked())),
                f.broken().stream().map(b -> line("             %s", b)));
    }
}
