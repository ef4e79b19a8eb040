package org.coltsfootproxy.load;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.URI;
import java.net.URLEncoder;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/** Submits one batch job, follows it and reads its results. */
final class JobClient {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final Duration TIMEOUT = Duration.ofSeconds(20);
    private static final int OK = 200;
    private static final int ACCEPTED = 202;
    private static final int ATTEMPTS = 3;

    private final HttpClient mHttp;
    private final String mEntry;
    private final LoadScenario.Sender mSender;
    private final LoadScenario.BatchJob mJob;
    private final String mRun;

    JobClient(
            HttpClient http,
            String entry,
            LoadScenario.Sender sender,
            LoadScenario.BatchJob job,
            String run) {
        mHttp = http;
        mEntry = entry;
        mSender = sender;
        mJob = job;
        mRun = run;
    }

    /** What a call was answered with; status 0 if it wasn't. */
    record Answer(int status, String body, boolean lastPage, String nextItem) {}

    /** Returns the id under which the job is submitted. */
    String jobId() {
        return mJob.id() + "-" + mRun;
    }

    /** Returns the start of the ids of all items of a job, which targets record. */
    static String itemPrefix(String run, LoadScenario.BatchJob job) {
        return run + "-" + job.id() + "-";
    }

    /** Submits the job, again after silence, since that does no harm. */
    Answer submit() throws InterruptedException {
        String query =
                String.format(
                        "?id=%s&service-path=%s&deadline=%d",
                        jobId(),
                        URLEncoder.encode(mJob.servicePath(), StandardCharsets.UTF_8),
                        mJob.deadlineSeconds());
        return call("POST", query, items());
    }

    private String items() {
        return IntStream.range(0, mJob.items()).mapToObj(this::item).collect(Collectors.joining());
    }

    private String item(int number) {
        ObjectNode item = MAPPER.createObjectNode().put("id", "i" + number);
        item.putObject("body")
                .put("id", itemPrefix(mRun, mJob) + number)
                .put("prompt", Caller.prompt(mJob.id(), 0))
                .put("max_tokens", mJob.maxTokens())
                .put("impossible", isImpossible(mJob, number));
        return item + "\n";
    }

    /** Tells whether an item can never be done; such items are spread over the job. */
    static boolean isImpossible(LoadScenario.BatchJob job, int number) {
        return job.impossible() > 0
                && (long) number * job.impossible() % job.items() < job.impossible();
    }

    /** Cancels the job. */
    Answer cancel() throws InterruptedException {
        return call("DELETE", "/" + jobId(), "");
    }

    /** Returns the job's state, or an empty text if it isn't known now. */
    String state() throws InterruptedException {
        Answer answer = call("GET", "/" + jobId(), "");
        return answer.status() == OK ? parse(answer.body()).path("state").asText() : "";
    }

    /** Reads all results. */
    List<JobOutcome.Item> results() throws InterruptedException {
        List<JobOutcome.Item> items = new ArrayList<>();
        String from = "0";
        boolean more = true;
        while (more && items.size() <= mJob.items()) {
            Answer page = call("GET", "/" + jobId() + "/results?from=" + from, "");
            page.body().lines().filter(l -> !l.isBlank()).forEach(l -> items.add(result(l)));
            more = page.status() == OK && !page.lastPage() && !page.nextItem().equals(from);
            from = page.nextItem();
        }
        return items;
    }

    private static JobOutcome.Item result(String line) {
        JsonNode json = parse(line);
        return new JobOutcome.Item(
                json.path("id").asText(),
                json.path("state").asText(),
                json.path("body").path("id").asText());
    }

    private static JsonNode parse(String text) {
        try {
            return MAPPER.readTree(text);
        } catch (IOException e) {
            return MAPPER.missingNode();
        }
    }

    private Answer call(String method, String path, String body) throws InterruptedException {
        Answer answer = new Answer(0, "no answer", false, "");
        for (int i = 0; i < ATTEMPTS && !isFinal(answer); i++) {
            answer = callOnce(method, path, body);
        }
        return answer;
    }

    private static boolean isFinal(Answer answer) {
        return answer.status() > 0 && answer.status() < 500;
    }

    private Answer callOnce(String method, String path, String body) throws InterruptedException {
        HttpRequest request =
                HttpRequest.newBuilder(URI.create(mEntry + "/v1/jobs" + path))
                        .timeout(TIMEOUT)
                        .header("Authorization", "Bearer " + mSender.key())
                        .header("Content-Type", "application/x-ndjson")
                        .method(method, HttpRequest.BodyPublishers.ofString(body))
                        .build();
        try {
            HttpResponse<String> response =
                    mHttp.send(request, HttpResponse.BodyHandlers.ofString());
            return new Answer(
                    response.statusCode(),
                    response.body(),
                    response.headers().firstValue("Last-Page").orElse("true").equals("true"),
                    response.headers().firstValue("Next-Item").orElse("0"));
        } catch (IOException e) {
            return new Answer(0, e.toString(), false, "");
        }
    }

    /** Tells whether a submission was accepted. */
    static boolean isAccepted(Answer answer) {
        return answer.status() == ACCEPTED || answer.status() == OK;
    }
}
