package org.coltsfootproxy.load;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.net.http.HttpTimeoutException;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Flow;
import org.coltsfootproxy.base.Ran;

/** Sends online requests and reports their outcomes. Thread-safe. */
final class Caller {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(60);
    private static final int PROMPT_CHARS = 256;
    private static final int OK = 200;

    private final HttpClient mHttp;
    private final LoadScenario mScenario;
    private final String mRunId;
    private final long mStartNanoTime;

    Caller(HttpClient http, LoadScenario scenario, String runId, long startNanoTime) {
        mHttp = http;
        mScenario = scenario;
        mRunId = runId;
        mStartNanoTime = startNanoTime;
    }

    private record Body(
            String id,
            String prompt,
            @com.fasterxml.jackson.annotation.JsonProperty("max_tokens") int maxTokens,
            boolean stream) {}

    /**
     * A body and the {@link System#nanoTime} at which its first byte arrived, or 0 for an empty
     * body.
     */
    private record TimedBody(byte[] bytes, long firstByteNanoTime) {}

    /** Returns the id of a request, under which targets record its runs. */
    String id(Arrivals.Arrival arrival) {
        String stream = mScenario.online().get(arrival.streamIndex()).name();
        return mRunId + "-" + stream + "-" + arrival.number();
    }

    /**
     * Sends a request and returns its outcome. The future never completes exceptionally; failures
     * are reported in the outcome.
     */
    CompletableFuture<Outcome> send(Arrivals.Arrival arrival) {
        long sentNanos = elapsedNanos();
        return mHttp.sendAsync(request(arrival), info -> new TimedSubscriber())
                .handle(
                        (response, failure) ->
                                failure == null
                                        ? outcomeOfResponse(arrival, sentNanos, response)
                                        : outcomeOfFailure(arrival, sentNanos, failure));
    }

    private long elapsedNanos() {
        return System.nanoTime() - mStartNanoTime;
    }

    private HttpRequest request(Arrivals.Arrival arrival) {
        LoadScenario.OnlineStream stream = mScenario.online().get(arrival.streamIndex());
        List<String> entries = mScenario.entries();
        String entry = entries.get(arrival.randomBits() % entries.size());
        HttpRequest.Builder request =
                HttpRequest.newBuilder(URI.create(entry + stream.path()))
                        .timeout(REQUEST_TIMEOUT)
                        .header("Content-Type", "application/json")
                        .POST(HttpRequest.BodyPublishers.ofByteArray(body(stream, arrival)));
        mScenario
                .sender(stream.organisation())
                .ifPresent(s -> request.header("Authorization", "Bearer " + s.key()));
        if (!stream.repeatable()) {
            request.header("Idempotency-Key", id(arrival));
        }
        return request.build();
    }

    private byte[] body(LoadScenario.OnlineStream stream, Arrivals.Arrival arrival) {
        int prompt = arrival.randomBits() / mScenario.entries().size() % stream.prompts();
        boolean streaming = stream.answer() == LoadScenario.Answer.STREAM;
        return json(
                new Body(
                        id(arrival), prompt(stream.name(), prompt), stream.maxTokens(), streaming));
    }

    /**
     * Returns a prompt of {@value #PROMPT_CHARS} characters; equal arguments give equal prompts.
     */
    static String prompt(String name, int number) {
        String unit = String.format(Locale.ROOT, "%s %d ", name, number);
        return unit.repeat(PROMPT_CHARS / unit.length() + 1).substring(0, PROMPT_CHARS);
    }

    private static byte[] json(Object value) {
        try {
            return MAPPER.writeValueAsBytes(value);
        } catch (IOException e) {
            throw new IllegalStateException("can't write " + value, e);
        }
    }

    private Outcome outcomeOfResponse(
            Arrivals.Arrival arrival, long sentNanos, HttpResponse<TimedBody> response) {
        long endNanos = elapsedNanos();
        TimedBody body = response.body();
        long firstByteNanos =
                body.firstByteNanoTime() == 0
                        ? endNanos
                        : body.firstByteNanoTime() - mStartNanoTime;
        int status = response.statusCode();
        LoadScenario.OnlineStream stream = mScenario.online().get(arrival.streamIndex());
        if (status == OK) {
            String defect = AnswerVerifier.findDefect(stream, id(arrival), body.bytes());
            return outcome(
                    arrival, sentNanos, firstByteNanos, endNanos, status, "", Ran.YES, defect);
        }
        JsonNode problem = problem(body.bytes());
        String kind = problem.path("kind").asText("status-" + status);
        return outcome(
                arrival, sentNanos, firstByteNanos, endNanos, status, kind, ran(problem), "");
    }

    private static JsonNode problem(byte[] body) {
        try {
            return MAPPER.readTree(body);
        } catch (IOException e) {
            return MAPPER.missingNode();
        }
    }

    private static Ran ran(JsonNode problem) {
        String label = problem.path("ran").asText("");
        return List.of(Ran.values()).stream()
                .filter(r -> r.label().equals(label))
                .findFirst()
                .orElse(Ran.MAYBE);
    }

    private Outcome outcomeOfFailure(Arrivals.Arrival arrival, long sentNanos, Throwable failure) {
        Throwable cause = Optional.ofNullable(failure.getCause()).orElse(failure);
        String kind = cause instanceof HttpTimeoutException ? "caller-timeout" : "broken";
        long endNanos = elapsedNanos();
        return outcome(arrival, sentNanos, endNanos, endNanos, 0, kind, Ran.MAYBE, "");
    }

    private Outcome outcome(
            Arrivals.Arrival arrival,
            long sentNanos,
            long firstByteNanos,
            long endNanos,
            int status,
            String kind,
            Ran ran,
            String defect) {
        return new Outcome(
                id(arrival),
                arrival.streamIndex(),
                arrival.intendedNanos(),
                sentNanos,
                firstByteNanos,
                endNanos,
                status,
                kind,
                ran,
                defect);
    }

    /** Collects a body and records the arrival of its first byte. */
    private static final class TimedSubscriber implements HttpResponse.BodySubscriber<TimedBody> {
        private final ByteArrayOutputStream mBytes = new ByteArrayOutputStream();
        private final CompletableFuture<TimedBody> mBody = new CompletableFuture<>();
        private long mFirstByteNanoTime;

        @Override
        public CompletionStage<TimedBody> getBody() {
            return mBody;
        }

        @Override
        public void onSubscribe(Flow.Subscription subscription) {
            subscription.request(Long.MAX_VALUE);
        }

        @Override
        public void onNext(List<ByteBuffer> buffers) {
            if (mFirstByteNanoTime == 0) {
                mFirstByteNanoTime = System.nanoTime();
            }
            buffers.forEach(this::add);
        }

        private void add(ByteBuffer buffer) {
            byte[] bytes = new byte[buffer.remaining()];
            buffer.get(bytes);
            mBytes.writeBytes(bytes);
        }

        @Override
        public void onError(Throwable failure) {
            mBody.completeExceptionally(failure);
        }

        @Override
        public void onComplete() {
            mBody.complete(new TimedBody(mBytes.toByteArray(), mFirstByteNanoTime));
        }
    }
}
