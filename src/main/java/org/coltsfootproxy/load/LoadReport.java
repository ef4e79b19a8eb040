package org.coltsfootproxy.load;

import com.fasterxml.jackson.annotation.JsonIgnore;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.coltsfootproxy.base.ErrorKind;
import org.coltsfootproxy.base.ProxyException;

/**
 * The results of one run of the load tool. Latencies are in milliseconds from the scheduled sending
 * time.
 *
 * @param scenario name of the scenario
 * @param seed seed of the scenario
 * @param seconds duration of the sending phase
 * @param streams figures of each online stream
 * @param organisations figures of each organisation
 * @param timeline figures of each second of the sending phase
 * @param jobs figures of each batch job
 * @param findings result of the check of each promise
 */
public record LoadReport(
        String scenario,
        long seed,
        int seconds,
        List<StreamFigures> streams,
        List<OrganisationFigures> organisations,
        List<Second> timeline,
        List<JobFigures> jobs,
        List<Finding> findings) {
    private static final ObjectMapper MAPPER =
            new ObjectMapper().enable(SerializationFeature.INDENT_OUTPUT);

    /** Latency at some percentiles, in milliseconds. */
    public record Latency(double p50, double p95, double p99, double max, List<Point> curve) {}

    /** One point of a latency curve. */
    public record Point(double percentile, double millis) {}

    /**
     * Figures of one online stream.
     *
     * @param sent requests due, including any not sent because too many were in flight
     * @param answered requests with a complete successful response
     * @param refused requests answered with an error status
     * @param broken requests without a complete response
     * @param firstByte latency of the first byte of answered requests
     * @param whole latency of the complete response of answered requests
     */
    public record StreamFigures(
            String name,
            String organisation,
            long sent,
            long answered,
            long refused,
            long broken,
            Latency firstByte,
            Latency whole) {}

    /**
     * Figures of one organisation.
     *
     * @param ratePerSecond the configured rate, in requests per second
     * @param refusedWithinRate requests refused because of the rate limit although a token bucket
     *     with the configured rate and burst would have admitted them at their sending time
     * @param refusals number of requests that were not answered, by error kind
     */
    public record OrganisationFigures(
            String id,
            double ratePerSecond,
            double sentPerSecond,
            double answeredPerSecond,
            long refusedWithinRate,
            Map<String, Long> refusals) {}

    /** Figures of the requests that were scheduled within one second of the run. */
    public record Second(int second, long sent, long answered, long refused, long broken) {}

    /**
     * Figures of one batch job.
     *
     * @param done number of items in state {@code done}
     * @param seconds time from submission to the end of the job, or 0 if the end was not observed
     */
    public record JobFigures(String id, String state, int items, long done, double seconds) {}

    /** Returns whether no promise was broken. */
    @JsonIgnore
    public boolean isKept() {
        return findings.stream().noneMatch(f -> f.verdict() == Finding.Verdict.BROKEN);
    }

    /** Returns the report as JSON in UTF-8. */
    public byte[] toJson() {
        try {
            return MAPPER.writeValueAsBytes(this);
        } catch (IOException e) {
            throw new IllegalStateException("can't write the report", e);
        }
    }

    /**
     * Writes {@code report.txt}, {@code report.json} and {@code report.html} into a folder, which
     * is created if it does not exist.
     *
     * @throws ProxyException of kind {@link ErrorKind#SETTINGS_INVALID} if they can't be written
     */
    public void write(Path folder) throws ProxyException {
        try {
            Files.createDirectories(folder);
            Files.writeString(folder.resolve("report.txt"), TextReport.of(this));
            Files.write(folder.resolve("report.json"), toJson());
            Files.writeString(folder.resolve("report.html"), HtmlReport.of(this));
        } catch (IOException e) {
            throw ProxyException.of(
                    ErrorKind.SETTINGS_INVALID, "can't write the report to " + folder, e);
        }
    }
}
