package org.coltsfootproxy.load;

import com.google.common.html.HtmlEscapers;
import java.util.List;
import java.util.Locale;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/** Draws plots as inline SVG. */
final class SvgPlot {
    private static final int WIDTH = 860;
    private static final int HEIGHT = 300;
    private static final int LEFT = 70;
    private static final int RIGHT = 180;
    private static final int TOP = 16;
    private static final int BOTTOM = 44;
    private static final int TICKS = 5;
    private static final int BAR_HEIGHT = 22;
    private static final String[] COLOURS = {
        "#1f6f8b", "#d1495b", "#edae49", "#3b7a57", "#7b5ea7", "#8d6e63", "#444444", "#e07a5f"
    };

    private SvgPlot() {}

    /** One line of a plot; {@code y} has one value per label of the horizontal axis. */
    record Line(String name, List<Double> y) {}

    /** One stacked horizontal bar with its parts from left to right. */
    record Bar(String name, List<Double> parts) {}

    /** The scale of the vertical axis. */
    enum Scale {
        /** Linear, from 0. */
        LINEAR,
        /** Logarithmic, from 1 to a power of ten. */
        LOGARITHMIC
    }

    /** The vertical axis of a plot. */
    private record Axis(Scale scale, double max) {
        /** Returns the relative position of a value, from 0 at the bottom to 1 at the top. */
        double fraction(double value) {
            return scale == Scale.LINEAR
                    ? value / max
                    : Math.log10(Math.max(1, value)) / Math.log10(max);
        }

        List<Double> ticks() {
            return scale == Scale.LINEAR
                    ? IntStream.rangeClosed(0, TICKS).mapToObj(i -> max * i / TICKS).toList()
                    : IntStream.rangeClosed(0, (int) Math.round(Math.log10(max)))
                            .mapToObj(i -> Math.pow(10, i))
                            .toList();
        }
    }

    /** Returns a line plot over a labelled horizontal axis. */
    static String lines(String unit, Scale scale, List<String> labels, List<Line> lines) {
        double maxValue =
                lines.stream().flatMap(l -> l.y().stream()).mapToDouble(v -> v).max().orElse(0);
        Axis axis =
                scale == Scale.LINEAR
                        ? new Axis(scale, roundUp(maxValue))
                        : new Axis(
                                scale, Math.pow(10, Math.ceil(Math.log10(Math.max(10, maxValue)))));
        String curves =
                IntStream.range(0, lines.size())
                        .mapToObj(i -> curve(lines.get(i), i, labels.size(), axis))
                        .collect(Collectors.joining());
        return svg(HEIGHT, grid(unit, axis) + xAxisLabels(labels) + curves);
    }

    private static String svg(int height, String content) {
        return String.format(
                Locale.ROOT,
                "<svg viewBox=\"0 0 %d %d\" width=\"%d\" height=\"%d\" role=\"img\">%s</svg>",
                WIDTH,
                height,
                WIDTH,
                height,
                content);
    }

    /**
     * Returns the smallest of 1, 2, 3, 4 and 5 times a power of ten that is at least {@code value}.
     */
    private static double roundUp(double value) {
        if (value <= 0) {
            return 1;
        }
        double power = Math.pow(10, Math.floor(Math.log10(value)));
        return List.of(1.0, 2.0, 3.0, 4.0, 5.0, 10.0).stream()
                .map(f -> f * power)
                .filter(v -> v >= value)
                .findFirst()
                .orElse(value);
    }

    private static double x(int pointIndex, int pointCount) {
        return LEFT
                + (WIDTH - LEFT - RIGHT)
                        * (pointCount < 2 ? 0 : (double) pointIndex / (pointCount - 1));
    }

    private static double y(double value, Axis axis) {
        return HEIGHT - BOTTOM - (HEIGHT - TOP - BOTTOM) * axis.fraction(value);
    }

    private static String grid(String unit, Axis axis) {
        String ticks = axis.ticks().stream().map(v -> tick(v, axis)).collect(Collectors.joining());
        return ticks + text(LEFT, TOP - 4, "start", unit);
    }

    private static String tick(double value, Axis axis) {
        double y = y(value, axis);
        String line =
                String.format(
                        Locale.ROOT,
                        "<line x1=\"%d\" y1=\"%.1f\" x2=\"%d\" y2=\"%.1f\" class=\"grid\"/>",
                        LEFT,
                        y,
                        WIDTH - RIGHT,
                        y);
        return line + text(LEFT - 8, y + 4, "end", number(value));
    }

    private static String number(double value) {
        return value == Math.rint(value)
                ? String.format(Locale.ROOT, "%.0f", value)
                : String.format(Locale.ROOT, "%.2f", value);
    }

    private static String xAxisLabels(List<String> labels) {
        int step = Math.max(1, (labels.size() + 11) / 12);
        return IntStream.range(0, labels.size())
                .filter(i -> i % step == 0)
                .mapToObj(
                        i ->
                                text(
                                        x(i, labels.size()),
                                        HEIGHT - BOTTOM + 18,
                                        "middle",
                                        labels.get(i)))
                .collect(Collectors.joining());
    }

    private static String curve(Line line, int index, int pointCount, Axis axis) {
        String points =
                IntStream.range(0, line.y().size())
                        .mapToObj(
                                i ->
                                        String.format(
                                                Locale.ROOT,
                                                "%.1f,%.1f",
                                                x(i, pointCount),
                                                y(line.y().get(i), axis)))
                        .collect(Collectors.joining(" "));
        String drawn =
                String.format(
                        "<polyline points=\"%s\" fill=\"none\" stroke=\"%s\" stroke-width=\"2\"/>",
                        points, colour(index));
        return drawn + legend(line.name(), index, TOP + 10 + index * 18);
    }

    private static String legend(String name, int index, int y) {
        int x = WIDTH - RIGHT + 14;
        String box =
                String.format(
                        "<rect x=\"%d\" y=\"%d\" width=\"12\" height=\"4\" fill=\"%s\"/>",
                        x, y - 5, colour(index));
        return box + text(x + 18, y, "start", name);
    }

    private static String colour(int index) {
        return COLOURS[index % COLOURS.length];
    }

    private static String text(double x, double y, String anchor, String text) {
        return String.format(
                Locale.ROOT,
                "<text x=\"%.1f\" y=\"%.1f\" text-anchor=\"%s\">%s</text>",
                x,
                y,
                anchor,
                HtmlEscapers.htmlEscaper().escape(text));
    }

    /** Returns a stacked bar chart; {@code legend} names the parts of the bars. */
    static String bars(List<String> legend, List<Bar> bars) {
        double max =
                bars.stream()
                        .mapToDouble(b -> b.parts().stream().mapToDouble(v -> v).sum())
                        .max()
                        .orElse(1);
        String rows =
                IntStream.range(0, bars.size())
                        .mapToObj(i -> bar(bars.get(i), i, Math.max(max, 1e-9)))
                        .collect(Collectors.joining());
        String names =
                IntStream.range(0, legend.size())
                        .mapToObj(i -> legend(legend.get(i), i, TOP + 10 + i * 18))
                        .collect(Collectors.joining());
        int rowsHeight = Math.max(bars.size() * (BAR_HEIGHT + 6), legend.size() * 18) + 2 * TOP;
        return svg(rowsHeight, rows + names);
    }

    private static String bar(Bar bar, int row, double max) {
        int labels = LEFT + 90;
        int y = TOP + row * (BAR_HEIGHT + 6);
        double width = WIDTH - RIGHT - labels - 60;
        StringBuilder svg = new StringBuilder(text(labels - 8, y + 15, "end", bar.name()));
        double x = labels;
        for (int i = 0; i < bar.parts().size(); i++) {
            double w = width * bar.parts().get(i) / max;
            svg.append(
                    String.format(
                            Locale.ROOT,
                            "<rect x=\"%.1f\" y=\"%d\" width=\"%.1f\" height=\"%d\" fill=\"%s\"/>",
                            x,
                            y,
                            w,
                            BAR_HEIGHT,
                            colour(i)));
            x += w;
        }
        String values =
                bar.parts().stream().map(SvgPlot::shortNumber).collect(Collectors.joining(" + "));
        return svg.append(text(x + 6, y + 15, "start", values)).toString();
    }

    private static String shortNumber(double value) {
        return String.format(Locale.ROOT, value >= 100 || value == 0 ? "%.0f" : "%.1f", value);
    }
}
