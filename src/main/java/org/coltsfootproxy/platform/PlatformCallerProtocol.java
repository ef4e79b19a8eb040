package org.coltsfootproxy.platform;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectReader;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.coltsfootproxy.base.ErrorKind;
import org.coltsfootproxy.base.JobId;
import org.coltsfootproxy.base.Names;
import org.coltsfootproxy.base.ProxyException;
import org.coltsfootproxy.direct.CallerCall;
import org.coltsfootproxy.direct.CallerProtocol;
import org.coltsfootproxy.direct.JobSubmission;
import org.coltsfootproxy.message.Header;
import org.coltsfootproxy.message.ItemResult;
import org.coltsfootproxy.message.ItemState;
import org.coltsfootproxy.message.JobMessage;
import org.coltsfootproxy.node.Input;
import org.coltsfootproxy.node.RetryAfter;

/** Decodes the HTTP calls of the platform's callers and encodes the responses to them. */
public final class PlatformCallerProtocol implements CallerProtocol {
    /** Paths of batch jobs, called lots by the platform: GET reads results, DELETE cancels. */
    private static final String JOB_PATH_PREFIX = "/coltsfootproxy/lots/";

    /** Paths that read the body of an item of a batch job. */
    private static final String ITEM_PATH_PREFIX = "/coltsfootproxy/items/";

    /** Reads jobs: the most items with some hundred headers each have fewer tokens. */
    private static final ObjectReader JOB_READER = Json.reader(200_000);

    private static final int MAX_ITEMS_PER_JOB = 200;

    /** How long a caller without a {@code Deadline-Ms} header waits for a response. */
    private static final long DEFAULT_TIMEOUT_MILLIS = 60_000;

    /** Longest time that a read of results may wait for the next result. */
    private static final long MAX_RESULTS_WAIT_MILLIS = 1_000;

    @Override
    public CallerCall read(Input.HttpCall call) throws ProxyException {
        String path = call.path().split("\\?", 2)[0];
        if (path.startsWith(JOB_PATH_PREFIX)) {
            return job(call, jobId(path.substring(JOB_PATH_PREFIX.length())));
        } else if (path.startsWith(ITEM_PATH_PREFIX) && call.method().equals("GET")) {
            String item = query(call).getOrDefault("id", "");
            return new CallerCall.ReadBody(jobId(path.substring(ITEM_PATH_PREFIX.length())), item);
        }
        long timeoutMillis =
                PlatformHeaders.millis(
                        call.headers(), PlatformHeaders.DEADLINE_MS, DEFAULT_TIMEOUT_MILLIS);
        return new CallerCall.Forward(
                PlatformHeaders.hostName(call.headers()),
                call.path(),
                PlatformHeaders.value(call.headers(), PlatformHeaders.REQUEST_ID).orElse(""),
                resumption(call.headers()),
                Math.max(1, timeoutMillis));
    }

    private static Optional<CallerCall.Resumption> resumption(List<Header> headers) {
        String firstRequest = PlatformHeaders.value(headers, PlatformHeaders.RESUMES).orElse("");
        return PlatformHeaders.value(headers, PlatformHeaders.LAST_EVENT_ID)
                .filter(lastEvent -> !lastEvent.isEmpty())
                .map(lastEvent -> new CallerCall.Resumption(firstRequest, lastEvent));
    }

    private static CallerCall job(Input.HttpCall call, JobId job) throws ProxyException {
        return switch (call.method()) {
            case "GET" ->
                    new CallerCall.ReadResults(
                            job,
                            position(query(call).getOrDefault("after", "0")),
                            Math.min(
                                    MAX_RESULTS_WAIT_MILLIS,
                                    PlatformHeaders.millis(
                                            call.headers(), PlatformHeaders.WAIT_MS, 0)));
            case "DELETE" -> new CallerCall.CancelJob(job);
            default ->
                    throw ProxyException.of(
                            ErrorKind.METHOD_NOT_ALLOWED, call.method() + " is not allowed here");
        };
    }

    private static JobId jobId(String name) throws ProxyException {
        if (!Names.isValid(name)) {
            throw ProxyException.of(ErrorKind.NOT_FOUND, "no job has the id '" + name + "'");
        }
        return JobId.of(name);
    }

    private static int position(String text) throws ProxyException {
        try {
            return Math.max(0, Integer.parseInt(text));
        } catch (NumberFormatException e) {
            throw PlatformHeaders.malformed(
                    "query parameter 'after' must be an integer, but is " + text, e);
        }
    }

    private static Map<String, String> query(Input.HttpCall call) throws ProxyException {
        String[] parts = call.path().split("\\?", 2);
        try {
            return Stream.of(parts.length > 1 ? parts[1].split("&") : new String[0])
                    .map(pair -> pair.split("=", 2))
                    .filter(pair -> pair.length == 2)
                    .collect(
                            Collectors.toMap(
                                    pair -> pair[0],
                                    pair -> URLDecoder.decode(pair[1], StandardCharsets.UTF_8),
                                    (first, second) -> first));
        } catch (IllegalArgumentException e) {
            throw PlatformHeaders.malformed("the query string can't be decoded: " + parts[1], e);
        }
    }

    @Override
    public JobSubmission readJob(Input.HttpCall call) throws ProxyException {
        ErrorKind kind = ErrorKind.MALFORMED_REQUEST;
        String id = PlatformHeaders.value(call.headers(), PlatformHeaders.REQUEST_ID).orElse("");
        if (!Names.isValid(id)) {
            throw ProxyException.of(kind, "job id '" + id + "' is not a valid name");
        }
        JsonNode list = Json.list(Json.object(call.body(), JOB_READER, kind), "items", kind);
        if (list.isEmpty() || list.size() > MAX_ITEMS_PER_JOB) {
            throw ProxyException.of(kind, "a job must have 1 to " + MAX_ITEMS_PER_JOB + " items");
        }
        Set<String> itemIds = new HashSet<>();
        List<JobSubmission.Item> items = new ArrayList<>();
        for (JsonNode node : list) {
            JobSubmission.Item item = item(call, node);
            if (!itemIds.add(item.id())) {
                throw ProxyException.of(kind, "more than one item has the id " + item.id());
            }
            items.add(item);
        }
        return new JobSubmission(JobId.of(id), items);
    }

    private static JobSubmission.Item item(Input.HttpCall call, JsonNode node)
            throws ProxyException {
        ErrorKind kind = ErrorKind.MALFORMED_REQUEST;
        String id = Json.text(node, "id", kind);
        List<Header> headers = new ArrayList<>();
        headers.add(
                Header.of(
                        PlatformHeaders.HOST,
                        PlatformHeaders.value(call.headers(), PlatformHeaders.HOST)
                                .orElse("localhost")));
        headers.add(Header.of(PlatformHeaders.REQUEST_ID, id));
        node.path("headers")
                .properties()
                .forEach(h -> headers.add(Header.of(h.getKey(), h.getValue().asText())));
        try {
            byte[] body = Base64.getDecoder().decode(node.path("body").asText(""));
            return new JobSubmission.Item(id, Json.text(node, "path", kind), headers, body);
        } catch (IllegalArgumentException e) {
            throw PlatformHeaders.malformed("the body of item " + id + " is not base64", e);
        }
    }

    @Override
    public byte[] results(JobMessage.Ended ended) {
        ObjectNode json = Json.MAPPER.createObjectNode();
        json.put("total", ended.total());
        // Not a page token as in the list of targets, but the position of the next result.
        json.put("next_token", ended.from() + ended.results().size());
        var list = json.putArray("results");
        ended.results().forEach(result -> list.add(result(result)));
        try {
            return Json.MAPPER.writeValueAsBytes(json);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("can't write results", e);
        }
    }

    private static ObjectNode result(ItemResult result) {
        boolean isDone = result.state() == ItemState.DONE;
        ObjectNode json = Json.MAPPER.createObjectNode();
        json.put("id", result.id());
        json.put("state", isDone ? "complete" : "errored");
        json.put("output", isDone ? new String(result.body(), StandardCharsets.UTF_8) : "");
        return json;
    }

    /** Writes Retry-After with milliseconds, because callers accept fractions of a second. */
    @Override
    public RetryAfter retryAfter() {
        return millis ->
                Header.of("Retry-After", String.format(Locale.ROOT, "%.3f", millis / 1_000.0));
    }
}
