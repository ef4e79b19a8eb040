package org.coltsfootproxy.net;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.util.Set;
import org.coltsfootproxy.node.Effect;

/** Encodes calls as HTTP requests to targets. */
final class TargetRequestEncoder {
    private static final Set<String> METHODS_WITH_BODY = Set.of("POST", "PUT", "PATCH");

    private TargetRequestEncoder() {}

    /**
     * Returns the HTTP request for a call.
     *
     * @param host value of {@code Host}, unless the call's own value is preserved
     * @throws IllegalArgumentException if the call can't be encoded, such as for an invalid header
     *     field
     */
    static FullHttpRequest encode(Effect.TargetCall call, String host, boolean preservesHost) {
        FullHttpRequest request =
                new DefaultFullHttpRequest(
                        HttpVersion.HTTP_1_1,
                        HttpMethod.valueOf(call.method()),
                        call.path(),
                        Unpooled.wrappedBuffer(call.body()));
        HttpHeaders headers = request.headers();
        HopByHop.endToEnd(call.headers()).forEach(h -> headers.add(h.name(), h.value()));
        if (!preservesHost || !headers.contains(HttpHeaderNames.HOST)) {
            headers.set(HttpHeaderNames.HOST, host);
        }
        headers.remove(HttpHeaderNames.CONTENT_LENGTH);
        if (call.body().length > 0 || METHODS_WITH_BODY.contains(call.method())) {
            headers.set(HttpHeaderNames.CONTENT_LENGTH, call.body().length);
        }
        return request;
    }
}
