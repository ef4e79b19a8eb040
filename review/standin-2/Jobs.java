import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Base64;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

/** Sends the calls of batch jobs as the pages describe them. */
final class Jobs {
    private static final ObjectMapper JSON = new ObjectMapper();

    /** A batch job and its items' ids. */
    record Job(String id, List<String> items, byte[] body) {}

    /** A result of a job. */
    record Result(String id, String state, String output) {}

    private final String mHost;
    private final String mKey;
    private final String mPrefix;
    private final Record mRecord;

    Jobs(String host, String key, String prefix, Record record) {
        mHost = host;
        mKey = key;
        mPrefix = prefix;
        mRecord = record;
    }

    /** Returns a job of {@code count} items with bodies of {@code bytes} bytes each. */
    Job create(int count, int bytes, Random random) {
        return create(count, bytes, 540, random);
    }

    /** Returns such a job whose items have prompts of {@code prompt} tokens. */
    Job create(int count, int bytes, int prompt, Random random) {
        List<String> ids = new ArrayList<>();
        StringBuilder items = new StringBuilder();
        for (int i = 0; i < count; i++) {
            String id = String.format("%016x", random.nextLong());
            byte[] body = new byte[bytes];
            random.nextBytes(body);
            ids.add(id);
            items.append(i > 0 ? "," : "")
                    .append("{\"id\":\"" + id + "\",\"path\":\"" + mPrefix + "3/91c4\",")
                    .append("\"headers\":{\"Model\":\"m\",\"Token-Count\":\"" + prompt + ",400\",")
                    .append("\"Prompt-Prefix\":\"9c2e41:300," + id.substring(0, 6) + ":" + (prompt - 300) + "\"},")
                    .append("\"body\":\"" + Base64.getEncoder().encodeToString(body) + "\",")
                    .append("\"tokens\":" + (prompt + 400) + "}");
        }
        String id = String.format("%016x", random.nextLong());
        return new Job(id, ids, ("{\"items\":[" + items + "]}").getBytes());
    }

    private Map<String, String> headers() {
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("Host", mHost);
        headers.put("Authorization", "Bearer " + mKey);
        return headers;
    }

    /** Hands in a job once; returns the status, 0 without an answer. */
    Http.Answer submit(String front, Job job) {
        Map<String, String> headers = headers();
        headers.put("Request-Id", job.id());
        headers.put("Content-Type", "application/json");
        headers.put("Deadline-Ms", "4000");
        Http.Answer answer =
                Http.call(front, "POST", mPrefix + job.id().substring(0, 6), headers, job.body(), 5_500);
        mRecord.write(
                "job " + job.id() + " of " + job.items().size() + " items and "
                        + job.body().length + " bytes sent to " + front + ": "
                        + (answer.status() == 0 ? "no answer, " + answer.detail() : "" + answer.status()));
        return answer;
    }

    /** Reads all results of a job; null if a read fails. */
    List<Result> results(String front, Job job) {
        List<Result> all = new ArrayList<>();
        while (true) {
            Http.Answer answer =
                    Http.call(
                            front,
                            "GET",
                            "/coltsfootproxy/lots/" + job.id() + "?after=" + all.size(),
                            headers(),
                            new byte[0],
                            5_000);
            if (answer.status() != 200) {
                mRecord.write(
                        "read of job " + job.id() + " at " + front + ": " + answer.status() + " "
                                + answer.detail());
                return null;
            }
            int before = all.size();
            try {
                for (JsonNode result : JSON.readTree(answer.body()).path("results")) {
                    all.add(
                            new Result(
                                    result.path("id").asText(),
                                    result.path("state").asText(),
                                    result.path("output").asText()));
                }
            } catch (IOException e) {
                mRecord.write("read of job " + job.id() + ": " + e);
                return null;
            }
            if (all.size() == before) {
                return all;
            }
        }
    }
}
