package org.coltsfootproxy.fake;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;

/** Writes HTTP responses of a stand-in target. */
final class Responses {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private Responses() {}

    /** Returns a value as JSON in UTF-8. */
    static byte[] json(Object value) {
        try {
            return MAPPER.writeValueAsBytes(value);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("can't write " + value, e);
        }
    }

    /** Returns a complete JSON response. */
    static FullHttpResponse fullJson(int status, Object value) {
        byte[] body = json(value);
        FullHttpResponse response =
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1,
                        HttpResponseStatus.valueOf(status),
                        Unpooled.wrappedBuffer(body));
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/json");
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.length);
        return response;
    }

    /** Sends a complete JSON response. */
    static ChannelFuture send(ChannelHandlerContext ctx, int status, Object value) {
        return ctx.writeAndFlush(fullJson(status, value));
    }

    /** Sends the head of a chunked response of server-sent events. */
    static void startEventStream(ChannelHandlerContext ctx) {
        HttpResponse head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
        head.headers().set(HttpHeaderNames.CONTENT_TYPE, "text/event-stream");
        HttpUtil.setTransferEncodingChunked(head, true);
        ctx.writeAndFlush(head);
    }

    /** Sends one server-sent event. */
    static void sendEvent(ChannelHandlerContext ctx, String data) {
        byte[] bytes = ("data: " + data + "\n\n").getBytes(StandardCharsets.UTF_8);
        ctx.writeAndFlush(new DefaultHttpContent(Unpooled.wrappedBuffer(bytes)));
    }
}
