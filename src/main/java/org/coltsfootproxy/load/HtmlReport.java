package org.coltsfootproxy.load;

import com.google.common.html.HtmlEscapers;
import java.util.List;
import java.util.Locale;
import java.util.function.Function;
import java.util.stream.Collectors;

/** Formats a report as one self-contained HTML page, without external resources. */
final class HtmlReport {
    private static final String STYLE =
            "body{font:14px/1.45 system-ui,sans-serif;margin:24px auto;max-width:900px;color:#222}"
                    + "h1{font-size:22px}h2{font-size:16px;margin-top:28px}"
                    + "table{border-collapse:collapse;width:100%}"
                    + "td,th{padding:3px 8px;border-bottom:1px solid #ddd;text-align:right}"
                    + "td:first-child,th:first-child{text-align:left}"
                    + "svg text{font:11px system-ui,sans-serif;fill:#333}"
                    + "svg .grid{stroke:#e3e3e3}"
                    + ".kept{color:#2e7d32}.broken{color:#c62828;font-weight:bold}"
                    + ".not_checked{color:#777}svg{max-width:100%;height:auto}";

    private HtmlReport() {}

    static String of(LoadReport report) {
        return "<!DOCTYPE html><html lang=\"en\"><head><meta charset=\"utf-8\"><title>"
                + escape(report.scenario())
                + "</title><style>"
                + STYLE
                + "</style></head><body><h1>"
                + escape(report.scenario())
                + "</h1><p>Seed "
                + report.seed()
                + ", "
                + report.seconds()
                + " s. Latencies count from when a request should have been sent.</p>"
                + findings(report)
                + latencies(report)
                + throughput(report)
                + shares(report)
                + refusals(report)
                + jobs(report)
                + "</body></html>";
    }

    private static String escape(String text) {
        return HtmlEscapers.htmlEscaper().escape(text);
    }

    private static String section(String title, String content) {
        return "<h2>" + escape(title) + "</h2>" + content;
    }

    private static String table(List<String> head, List<List<String>> rows) {
        Function<List<String>, String> row =
                cells ->
                        cells.stream()
                                .map(c -> "<td>" + c + "</td>")
                                .collect(Collectors.joining("", "<tr>", "</tr>"));
        return head.stream()
                        .map(h -> "<th>" + escape(h) + "</th>")
                        .collect(Collectors.joining("", "<table><tr>", "</tr>"))
                + rows.stream().map(row).collect(Collectors.joining())
                + "</table>";
    }

    private static String findings(LoadReport report) {
        List<List<String>> rows =
                report.findings().stream()
                        .map(
                                f ->
                                        List.of(
                                                escape(f.promise()) + examples(f),
                                                verdict(f.verdict()),
                                                Long.toString(f.checked())))
                        .toList();
        return section("Promises", table(List.of("promise", "verdict", "cases"), rows));
    }

    private static String verdict(Finding.Verdict verdict) {
        String name = verdict.name().toLowerCase(Locale.ROOT);
        return "<span class=\"" + name + "\">" + name.replace('_', ' ') + "</span>";
    }

    private static String examples(Finding finding) {
        return finding.broken().stream()
                .map(b -> "<br><span class=\"broken\">" + escape(b) + "</span>")
                .collect(Collectors.joining());
    }

    private static String latencies(LoadReport report) {
        List<LoadReport.StreamFigures> answered =
                report.streams().stream().filter(s -> s.answered() > 0).toList();
        if (answered.isEmpty()) {
            return section("Latency", "<p>No request was answered.</p>");
        }
        return section("Time to the first byte", curves(answered, s -> s.firstByte()))
                + section("Time to the whole answer", curves(answered, s -> s.whole()))
                + table(
                        List.of(
                                "online",
                                "sent",
                                "answered",
                                "refused",
                                "broken",
                                "first p50",
                                "p95",
                                "p99",
                                "whole p50",
                                "p95",
                                "p99"),
                        report.streams().stream().map(HtmlReport::streamRow).toList());
    }

    private static List<String> streamRow(LoadReport.StreamFigures s) {
        return List.of(
                escape(s.name()),
                Long.toString(s.sent()),
                Long.toString(s.answered()),
                Long.toString(s.refused()),
                Long.toString(s.broken()),
                millis(s.firstByte().p50()),
                millis(s.firstByte().p95()),
                millis(s.firstByte().p99()),
                millis(s.whole().p50()),
                millis(s.whole().p95()),
                millis(s.whole().p99()));
    }

    private static String millis(double value) {
        return String.format(Locale.ROOT, "%.1f", value);
    }

    private static String curves(
            List<LoadReport.StreamFigures> streams,
            Function<LoadReport.StreamFigures, LoadReport.Latency> latency) {
        List<String> labels =
                latency.apply(streams.get(0)).curve().stream()
                        .map(p -> "p" + String.valueOf(p.percentile()).replaceAll("\\.0$", ""))
                        .toList();
        List<SvgPlot.Line> lines =
                streams.stream()
                        .map(s -> new SvgPlot.Line(s.name(), values(latency.apply(s))))
                        .toList();
        return SvgPlot.lines("ms", SvgPlot.Scale.LOGARITHMIC, labels, lines);
    }

    private static List<Double> values(LoadReport.Latency latency) {
        return latency.curve().stream().map(LoadReport.Point::millis).toList();
    }

    private static String throughput(LoadReport report) {
        List<LoadReport.Second> seconds = report.timeline();
        List<String> labels = seconds.stream().map(s -> s.second() + " s").toList();
        return section(
                "Requests a second",
                SvgPlot.lines(
                        "requests/s",
                        SvgPlot.Scale.LINEAR,
                        labels,
                        List.of(
                                line("sent", seconds, LoadReport.Second::sent),
                                line("not answered", seconds, s -> s.refused() + s.broken()),
                                line("answered", seconds, LoadReport.Second::answered))));
    }

    private static SvgPlot.Line line(
            String name, List<LoadReport.Second> seconds, Function<LoadReport.Second, Long> value) {
        return new SvgPlot.Line(
                name, seconds.stream().map(s -> value.apply(s).doubleValue()).toList());
    }

    private static String shares(LoadReport report) {
        List<SvgPlot.Bar> bars =
                report.organisations().stream()
                        .map(
                                o ->
                                        new SvgPlot.Bar(
                                                o.id(),
                                                List.of(
                                                        o.answeredPerSecond(),
                                                        o.sentPerSecond() - o.answeredPerSecond())))
                        .toList();
        return section(
                "Share of each organisation, requests a second",
                SvgPlot.bars(List.of("answered", "not answered"), bars));
    }

    private static String refusals(LoadReport report) {
        List<List<String>> rows =
                report.organisations().stream()
                        .map(
                                o ->
                                        List.of(
                                                escape(o.id()),
                                                millis(o.ratePerSecond()),
                                                millis(o.sentPerSecond()),
                                                Long.toString(o.refusedWithinRate()),
                                                escape(o.refusals().toString())))
                        .toList();
        return section(
                "Refusals",
                table(
                        List.of(
                                "organisation",
                                "rate/s",
                                "sent/s",
                                "refused within rate",
                                "not answered, by kind"),
                        rows));
    }

    private static String jobs(LoadReport report) {
        List<List<String>> rows =
                report.jobs().stream()
                        .map(
                                j ->
                                        List.of(
                                                escape(j.id()),
                                                Integer.toString(j.items()),
                                                Long.toString(j.done()),
                                                millis(j.seconds()),
                                                escape(j.state())))
                        .toList();
        return rows.isEmpty()
                ? ""
                : section(
                        "Batch jobs",
                        table(List.of("job", "items", "done", "seconds", "state"), rows));
    }
}
