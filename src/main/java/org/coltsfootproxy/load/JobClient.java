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

/** Client of one batch job at an entry: submits and cancels it, and reads its state and results. */
final class JobClient {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(20);
    private static final int OK = 200;
    private static final int ACCEPTED = 202;
    private static final int MAX_ATTEMPTS = 3;

    private final HttpClient mHttp;
    private final String mEntry;
    private final LoadScenario.Sender mSender;
    private final LoadScenario.BatchJob mJob;
    private final String mRunId;

    JobClient(
            HttpClient http,
            String entry,
            LoadScenario.Sender sender,
            LoadScenario.BatchJob job,
            String runId) {
        mHttp = http;
        mEntry = entry;
        mSender = sender;
        mJob = job;
        mRunId = runId;
    }

    /** The response to a call; status 0 if there was none. */
    record Response(int status, String body, boolean lastPage, String nextItem) {}

    /** Returns the id under which the job is submitted, unique to this run. */
    String jobId() {
        return mJob.id() + "-" + mRunId;
    }

    /** Returns the common prefix of the ids under which targets record the items of a job. */
    static String itemIdPrefix(String runId, LoadScenario.BatchJob job) {
        return runId + "-" + job.id() + "-";
    }

    /**
     * Submits the job. Calls without a response or with a 5xx status are retried, which is safe
     * because submission is idempotent.
     */
    Response submit() throws InterruptedException {
        String query =
                String.format(
                        "?id=%s&service-path=%s&deadline=%d",
                        jobId(),
                        URLEncoder.encode(mJob.servicePath(), StandardCharsets.UTF_8),
                        mJob.deadlineSeconds());
        return call("POST", query, itemLines());
    }

    private String itemLines() {
        return IntStream.range(0, mJob.items())
                .mapToObj(this::itemLine)
                .collect(Collectors.joining());
    }

    private String itemLine(int number) {
        ObjectNode item = MAPPER.createObjectNode().put("id", "i" + number);
        item.putObject("body")
                .put("id", itemIdPrefix(mRunId, mJob) + number)
                .put("prompt", Caller.prompt(mJob.id(), 0))
                .put("max_tokens", mJob.maxTokens())
                .put("impossible", isImpossible(mJob, number));
        return item + "\n";
    }

    /** Returns whether targets always reject an item; such items are spread evenly over the job. */
    static boolean isImpossible(LoadScenario.BatchJob job, int number) {
        return job.impossible() > 0
                && (long) number * job.impossible() % job.items() < job.impossible();
    }

    /** Cancels the job. */
    Response cancel() throws InterruptedException {
        return call("DELETE", "/" + jobId(), "");
    }

    /** Returns the current state of the job, or an empty string if it is unavailable. */
    String state() throws InterruptedException {
        Response response = call("GET", "/" + jobId(), "");
        return response.status() == OK ? parse(response.body()).path("state").asText() : "";
    }

    /** Reads all pages of results. */
    List<JobObservation.Item> results() throws InterruptedException {
        List<JobObservation.Item> items = new ArrayList<>();
        String from = "0";
        boolean more = true;
        while (more && items.size() <= mJob.items()) {
            Response page = call("GET", "/" + jobId() + "/results?from=" + from, "");
            page.body().lines().filter(l -> !l.isBlank()).forEach(l -> items.add(parseResult(l)));
            more = page.status() == OK && !page.lastPage() && !page.nextItem().equals(from);
            from = page.nextItem();
        }
        return items;
    }

    private static JobObservation.Item parseResult(String line) {
        JsonNode json = parse(line);
        return new JobObservation.Item(
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

    private Response call(String method, String path, String body) throws InterruptedException {
        Response response = new Response(0, "no answer", false, "");
        for (int i = 0; i < MAX_ATTEMPTS && !isFinal(response); i++) {
            response = callOnce(method, path, body);
        }
        return response;
    }

    private static boolean isFinal(Response response) {
        return response.status() > 0 && response.status() < 500;
    }

    private Response callOnce(String method, String path, String body) throws InterruptedException {
        HttpRequest request =
                HttpRequest.newBuilder(URI.create(mEntry + "/v1/jobs" + path))
                        .timeout(REQUEST_TIMEOUT)
                        .header("Authorization", "Bearer " + mSender.key())
                        .header("Content-Type", "application/x-ndjson")
                        .method(method, HttpRequest.BodyPublishers.ofString(body))
                        .build();
        try {
            HttpResponse<String> response =
                    mHttp.send(request, HttpResponse.BodyHandlers.ofString());
            return new Response(
                    response.statusCode(),
                    response.body(),
                    response.headers().firstValue("Last-Page").orElse("true").equals("true"),
                    response.headers().firstValue("Next-Item").orElse("0"));
        } catch (IOException e) {
            return new Response(0, e.toString(), false, "");
        }
    }

    /** Returns whether a submission or cancellation was accepted. */
    static boolean isAccepted(Response response) {
        return response.status() == ACCEPTED || response.status() == OK;
    }
}
