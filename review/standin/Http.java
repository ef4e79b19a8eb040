import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;

/** Calls of clients and of the operator. */
final class Http {
    /** An answer; status 0 means that none came. */
    record Answer(int status, byte[] body, String why, long retryAfterMillis) {
        String text() {
            return new String(body, java.nio.charset.StandardCharsets.UTF_8);
        }
    }

    private static final HttpClient CLIENT =
            HttpClient.newBuilder()
                    .version(HttpClient.Version.HTTP_1_1)
                    .connectTimeout(Duration.ofSeconds(1))
                    .build();

    private Http() {}

    static Answer call(
            String method, String address, String path, byte[] body, long millis, String... headers) {
        HttpRequest.Builder request =
                HttpRequest.newBuilder(URI.create("http://" + address + path))
                        .timeout(Duration.ofMillis(millis))
                        .method(
                                method,
                                body == null
                                        ? HttpRequest.BodyPublishers.noBody()
                                        : HttpRequest.BodyPublishers.ofByteArray(body));
        for (int i = 0; i < headers.length; i += 2) {
            request.header(headers[i], headers[i + 1]);
        }
        try {
            HttpResponse<byte[]> answer =
                    CLIENT.send(request.build(), HttpResponse.BodyHandlers.ofByteArray());
            long retryAfter =
                    answer.headers()
                            .firstValue("Retry-After")
                            .map(seconds -> (long) (1_000 * Double.parseDouble(seconds)))
                            .orElse(0L);
            return new Answer(answer.statusCode(), answer.body(), "", retryAfter);
        } catch (IOException e) {
            return new Answer(0, new byte[0], e.toString(), 0);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }
}
