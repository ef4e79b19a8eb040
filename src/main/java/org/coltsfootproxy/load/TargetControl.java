package org.coltsfootproxy.load;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import org.coltsfootproxy.fake.RunRecord;

/** Client of the stand-in targets' control interface: reads run records and injects faults. */
final class TargetControl {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(20);

    private final HttpClient mHttp;
    private final List<String> mTargets;

    TargetControl(HttpClient http, List<String> targets) {
        mHttp = http;
        mTargets = targets;
    }

    /**
     * The merged run records of all targets.
     *
     * @param complete whether every target returned its record. Otherwise the absence of a run
     *     proves nothing, so promises that depend on it are not checked.
     * @param runs number of runs by request id
     * @param keyFields names of header fields with callers' keys that reached a target
     */
    record TargetRecords(boolean complete, Map<String, Integer> runs, TreeSet<String> keyFields) {
        /** Returns the number of runs of a request. */
        int runs(String id) {
            return runs.getOrDefault(id, 0);
        }

        /** Returns the total number of runs of requests whose ids start with {@code prefix}. */
        long runsWithPrefix(String prefix) {
            return runs.entrySet().stream()
                    .filter(e -> e.getKey().startsWith(prefix))
                    .mapToLong(Map.Entry::getValue)
                    .sum();
        }
    }

    /** Reads and merges the records of all targets. */
    TargetRecords read() throws InterruptedException {
        List<Optional<RunRecord.Snapshot>> records = new ArrayList<>();
        for (String target : mTargets) {
            records.add(record(target));
        }
        Map<String, Integer> runs = new HashMap<>();
        TreeSet<String> fields = new TreeSet<>();
        records.stream()
                .flatMap(Optional::stream)
                .forEach(
                        r -> {
                            r.runs().forEach((id, n) -> runs.merge(id, n, Integer::sum));
                            fields.addAll(r.keyFields());
                        });
        boolean complete = !records.isEmpty() && records.stream().allMatch(Optional::isPresent);
        return new TargetRecords(complete, runs, fields);
    }

    private Optional<RunRecord.Snapshot> record(String target) throws InterruptedException {
        try {
            HttpRequest request =
                    HttpRequest.newBuilder(URI.create(target + "/__record"))
                            .timeout(REQUEST_TIMEOUT)
                            .build();
            HttpResponse<byte[]> response =
                    mHttp.send(request, HttpResponse.BodyHandlers.ofByteArray());
            return Optional.of(MAPPER.readValue(response.body(), RunRecord.Snapshot.class));
        } catch (IOException e) {
            return Optional.empty();
        }
    }

    /** Sets the fault of a target without waiting for the response. */
    void setFault(int target, String kind, int every, int delayMillis) {
        String query =
                String.format("/__fault?kind=%s&every=%d&delayMillis=%d", kind, every, delayMillis);
        HttpRequest request =
                HttpRequest.newBuilder(URI.create(mTargets.get(target) + query))
                        .timeout(REQUEST_TIMEOUT)
                        .POST(HttpRequest.BodyPublishers.noBody())
                        .build();
        mHttp.sendAsync(request, HttpResponse.BodyHandlers.discarding());
    }
}
