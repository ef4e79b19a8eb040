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

/** Sends online requests and tells what became of them. Thread-safe. */
final class Caller {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final Duration TIMEOUT = Duration.ofSeconds(60);
    private static final int PROMPT_CHARS = 256;
    private static final int OK = 200;

    private final HttpClient mHttp;
    private final LoadScenario mScenario;
    private final String mRun;
    private final long mStartNanos;

    Caller(HttpClient http, LoadScenario scenario, String run, long startNanos) {
        mHttp = http;
        mScenario = scenario;
        mRun = run;
        mStartNanos = startNanos;
    }

    private record Body(
            String id,
            String prompt,
            @com.fasterxml.jackson.annotation.JsonProperty("max_tokens") int maxTokens,
            boolean stream) {}

    /** A body with the time of its first byte. */
    private record TimedBody(byte[] bytes, long firstNanos) {}

    /** Returns the id of a request, which its target records. */
    String id(Arrivals.Arrival arrival) {
        String stream = mScenario.online().get(arrival.stream()).name();
        return mRun + "-" + stream + "-" + arrival.number();
    }

    /** Sends a request and returns what becomes of it; the result never fails. */
    CompletableFuture<Outcome> send(Arrivals.Arrival arrival) {
        long sent = now();
        return mHttp.sendAsync(request(arrival), info -> new TimedSubscriber())
                .handle(
                        (response, failure) ->
                                failure == null
                                        ? answered(arrival, sent, response)
                                        : broken(arrival, sent, failure));
    }

    private long now() {
        return System.nanoTime() - mStartNanos;
    }

    private HttpRequest request(Arrivals.Arrival arrival) {
        LoadScenario.OnlineStream stream = mScenario.online().get(arrival.stream());
        List<String> entries = mScenario.entries();
        String entry = entries.get(arrival.draw() % entries.size());
        HttpRequest.Builder request =
                HttpRequest.newBuilder(URI.create(entry + stream.path()))
                        .timeout(TIMEOUT)
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
        int prompt = arrival.draw() / mScenario.entries().size() % stream.prompts();
        boolean streaming = stream.answer() == LoadScenario.Answer.STREAM;
        return json(
                new Body(
                        id(arrival), prompt(stream.name(), prompt), stream.maxTokens(), streaming));
    }

    /** Returns a prompt whose beginning is shared by all with the same number. */
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

    private Outcome answered(
            Arrivals.Arrival arrival, long sent, HttpResponse<TimedBody> response) {
        long end = now();
        TimedBody body = response.body();
        long first = body.firstNanos() == 0 ? end : body.firstNanos() - mStartNanos;
        int status = response.statusCode();
        LoadScenario.OnlineStream stream = mScenario.online().get(arrival.stream());
        if (status == OK) {
            String fault = AnswerVerifier.fault(stream, id(arrival), body.bytes());
            return outcome(arrival, sent, first, end, status, "", Ran.YES, fault);
        }
        JsonNode problem = problem(body.bytes());
        String kind = problem.path("kind").asText("status-" + status);
        return outcome(arrival, sent, first, end, status, kind, ran(problem), "");
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

    private Outcome broken(Arrivals.Arrival arrival, long sent, Throwable failure) {
        Throwable cause = Optional.ofNullable(failure.getCause()).orElse(failure);
        String kind = cause instanceof HttpTimeoutException ? "caller-timeout" : "broken";
        long end = now();
        return outcome(arrival, sent, end, end, 0, kind, Ran.MAYBE, "");
    }

    private Outcome outcome(
            Arrivals.Arrival arrival,
            long sent,
            long first,
            long end,
            int status,
            String kind,
            Ran ran,
            String fault) {
        return new Outcome(
                id(arrival),
                arrival.stream(),
                arrival.nanos(),
                sent,
                first,
                end,
                status,
                kind,
                ran,
                fault);
    }

    /** Collects a body and notes when it began. */
    private static final class TimedSubscriber implements HttpResponse.BodySubscriber<TimedBody> {
        private final ByteArrayOutputStream mBytes = new ByteArrayOutputStream();
        private final CompletableFuture<TimedBody> mBody = new CompletableFuture<>();
        private long mFirstNanos;

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
            if (mFirstNanos == 0) {
                mFirstNanos = System.nanoTime();
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
            mBody.complete(new TimedBody(mBytes.toByteArray(), mFirstNanos));
        }
    }
}
