package org.coltsfootproxy.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.Arrays;
import java.util.Optional;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.coltsfootproxy.base.ErrorKind;
import org.coltsfootproxy.base.ProxyException;

/** HTTP client of one control or entry host, with the key of an operator or an organisation. */
final class HostClient {
    /** Environment variable that holds the key if {@code --key} is absent. */
    static final String KEY_VARIABLE = "COLTSFOOTPROXY_KEY";

    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(3);
    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(30);
    private static final int FIRST_ERROR_STATUS = 400;

    private final HttpClient mHttp =
            HttpClient.newBuilder()
                    .version(HttpClient.Version.HTTP_1_1)
                    .connectTimeout(CONNECT_TIMEOUT)
                    .build();
    private final String mAddress;
    private final String mKey;

    private HostClient(String address, String key) {
        mAddress = address;
        mKey = key;
    }

    /** Returns the options for the address of the host and the key. */
    static Options options() {
        return new Options()
                .addOption(
                        Option.builder("a")
                                .longOpt("address")
                                .hasArg()
                                .argName("IP:PORT")
                                .required()
                                .desc("the host to call")
                                .get())
                .addOption(
                        Option.builder("k")
                                .longOpt("key")
                                .hasArg()
                                .argName("KEY")
                                .desc("the key; " + KEY_VARIABLE + " otherwise")
                                .get());
    }

    /** Returns a client for the given options. */
    static HostClient of(CommandLine line) {
        String key = line.getOptionValue("key", System.getenv(KEY_VARIABLE));
        return of(line.getOptionValue("address"), key == null ? "" : key);
    }

    static HostClient of(String address, String key) {
        return new HostClient(address, key);
    }

    byte[] get(String path) throws ProxyException {
        return send("GET", path, new byte[0], "");
    }

    /**
     * Sends a request and returns the body of the response.
     *
     * @throws ProxyException with the kind from an error response, or of kind {@link
     *     ErrorKind#NO_LEADER} if the host can't be reached, {@link ErrorKind#COMMIT_UNKNOWN} if
     *     the connection fails before the response is complete, or {@link ErrorKind#CANCELLED} if
     *     the thread is interrupted
     */
    byte[] send(String method, String path, byte[] body, String contentType) throws ProxyException {
        HttpRequest.Builder request =
                HttpRequest.newBuilder(URI.create("http://" + mAddress + path))
                        .timeout(REQUEST_TIMEOUT)
                        .method(method, HttpRequest.BodyPublishers.ofByteArray(body));
        if (!mKey.isEmpty()) {
            request.header("Authorization", "Bearer " + mKey);
        }
        if (!contentType.isEmpty()) {
            request.header("Content-Type", contentType);
        }
        return bodyOrThrow(exchange(request.build()));
    }

    private HttpResponse<byte[]> exchange(HttpRequest request) throws ProxyException {
        try {
            return mHttp.send(request, HttpResponse.BodyHandlers.ofByteArray());
        } catch (java.net.ConnectException e) {
            throw ProxyException.of(ErrorKind.NO_LEADER, mAddress + " can't be reached", e);
        } catch (IOException e) {
            String detail = "the answer of " + mAddress + " was lost; send it again";
            throw ProxyException.of(ErrorKind.COMMIT_UNKNOWN, detail, e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw ProxyException.of(ErrorKind.CANCELLED, "the request was interrupted", e);
        }
    }

    private static byte[] bodyOrThrow(HttpResponse<byte[]> response) throws ProxyException {
        if (response.statusCode() < FIRST_ERROR_STATUS) {
            return response.body();
        }
        JsonNode problem = parse(response.body());
        String label = problem.path("kind").asText();
        ErrorKind kind =
                Arrays.stream(ErrorKind.values())
                        .filter(k -> k.label().equals(label))
                        .findFirst()
                        .orElse(ErrorKind.INTERNAL);
        String detail =
                Optional.of(problem.path("detail").asText())
                        .filter(text -> !text.isEmpty())
                        .orElse("status " + response.statusCode());
        throw ProxyException.of(kind, detail);
    }

    private static JsonNode parse(byte[] body) {
        try {
            return new ObjectMapper().readTree(body);
        } catch (IOException e) {
            return com.fasterxml.jackson.databind.node.MissingNode.getInstance();
        }
    }
}
