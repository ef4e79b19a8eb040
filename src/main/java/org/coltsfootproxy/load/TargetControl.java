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

/** Reads the records of the stand-in targets and sets their faults. */
final class TargetControl {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final Duration TIMEOUT = Duration.ofSeconds(20);

    private final HttpClient mHttp;
    private final List<String> mTargets;

    TargetControl(HttpClient http, List<String> targets) {
        mHttp = http;
        mTargets = targets;
    }

    /**
     * What all targets saw together.
     *
     * @param whole whether each target could be asked; what is missing can't be checked otherwise
     */
    record Seen(boolean whole, Map<String, Integer> runs, TreeSet<String> keyFields) {
        /** Returns how often a request ran. */
        int runs(String id) {
            return runs.getOrDefault(id, 0);
        }

        /** Returns how often all requests ran whose ids begin alike. */
        long runsOf(String prefix) {
            return runs.entrySet().stream()
                    .filter(e -> e.getKey().startsWith(prefix))
                    .mapToLong(Map.Entry::getValue)
                    .sum();
        }
    }

    /** Reads all records. */
    Seen read() throws InterruptedException {
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
        boolean whole = !records.isEmpty() && records.stream().allMatch(Optional::isPresent);
        return new Seen(whole, runs, fields);
    }

    private Optional<RunRecord.Snapshot> record(String target) throws InterruptedException {
        try {
            HttpRequest request =
                    HttpRequest.newBuilder(URI.create(target + "/__record"))
                            .timeout(TIMEOUT)
                            .build();
            HttpResponse<byte[]> response =
                    mHttp.send(request, HttpResponse.BodyHandlers.ofByteArray());
            return Optional.of(MAPPER.readValue(response.body(), RunRecord.Snapshot.class));
        } catch (IOException e) {
            return Optional.empty();
        }
    }

    /** Sets the fault of a target, without waiting. */
    void setFault(int target, String kind, int every, int delayMillis) {
        String query =
                String.format("/__fault?kind=%s&every=%d&delayMillis=%d", kind, every, delayMillis);
        HttpRequest request =
                HttpRequest.newBuilder(URI.create(mTargets.get(target) + query))
                        .timeout(TIMEOUT)
                        .POST(HttpRequest.BodyPublishers.noBody())
                        .build();
        mHttp.sendAsync(request, HttpResponse.BodyHandlers.discarding());
    }
}
