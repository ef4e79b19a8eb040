package org.coltsfootproxy.membership;

import static com.google.common.base.Preconditions.checkNotNull;

import java.io.IOException;
import java.io.InputStream;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import org.coltsfootproxy.base.ErrorKind;
import org.coltsfootproxy.base.ProxyException;

/** A {@link HostList} that the platform serves over HTTP. */
public final class HttpHostList implements HostList {
    private static final int OK = 200;

    private final HttpClient mClient;
    private final HttpRequest mRequest;

    private HttpHostList(HttpClient client, HttpRequest request) {
        mClient = client;
        mRequest = request;
    }

    /**
     * Returns a host list that is fetched from the given URI.
     *
     * @param timeout limit for connecting, and separately for the response headers to arrive
     */
    public static HttpHostList of(URI uri, Duration timeout) {
        checkNotNull(uri, "uri is missing");
        HttpClient client =
                HttpClient.newBuilder()
                        .version(HttpClient.Version.HTTP_1_1)
                        .connectTimeout(timeout)
                        .build();
        return new HttpHostList(client, HttpRequest.newBuilder(uri).timeout(timeout).build());
    }

    @Override
    public HostListing read() throws ProxyException {
        try {
            HttpResponse<InputStream> answer =
                    mClient.send(mRequest, HttpResponse.BodyHandlers.ofInputStream());
            try (InputStream body = answer.body()) {
                return read(answer.statusCode(), body);
            }
        } catch (IOException e) {
            throw ProxyException.of(ErrorKind.NOT_FOUND, "can't read " + mRequest.uri(), e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw ProxyException.of(
                    ErrorKind.STOPPING, "interrupted while reading the host list", e);
        }
    }

    private HostListing read(int status, InputStream body) throws IOException, ProxyException {
        if (status != OK) {
            throw ProxyException.of(
                    ErrorKind.NOT_FOUND, mRequest.uri() + " answered with status " + status);
        }
        byte[] bytes = body.readNBytes(MAX_BYTES + 1);
        if (bytes.length > MAX_BYTES) {
            throw ProxyException.of(
                    ErrorKind.BODY_TOO_LARGE,
                    mRequest.uri() + " exceeds the maximum size of a host list, 4 MiB");
        }
        return HostListing.parse(bytes);
    }
}
