package org.coltsfootproxy.net;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.List;
import org.coltsfootproxy.message.Header;
import org.coltsfootproxy.node.Problem;

/** Writes the HTTP responses of one caller connection. Confined to its event loop. */
final class ResponseWriter {
    private static final int FIRST_FINAL_STATUS = 200;
    private static final int NO_CONTENT = 204;
    private static final int NOT_MODIFIED = 304;

    /** Value of {@code SO_LINGER} with which a close is orderly. */
    private static final int NO_LINGER = -1;

    private final ChannelHandlerContext mContext;
    private final HttpFront mFront;
    private boolean mCloseAfterResponse;
    private ChannelFuture mLastWrite;

    ResponseWriter(ChannelHandlerContext context, HttpFront front) {
        mContext = context;
        mFront = front;
    }

    /** Returns whether the connection is closed after the current response. */
    boolean closesAfterResponse() {
        return mCloseAfterResponse;
    }

    ChannelFuture lastWrite() {
        return mLastWrite;
    }

    /** Writes a response's head; the body is chunked unless the headers state its length. */
    void writeHead(Exchange exchange, int status, List<Header> headers) {
        HttpResponse response =
                new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status));
        HopByHop.endToEnd(headers).forEach(h -> response.headers().add(h.name(), h.value()));
        boolean bodiless =
                exchange.request().isHead()
                        || status < FIRST_FINAL_STATUS
                        || status == NO_CONTENT
                        || status == NOT_MODIFIED;
        long length = HttpUtil.getContentLength(response, -1L);
        mCloseAfterResponse = mFront.isDraining() || !exchange.request().keepAlive();
        chooseFraming(exchange, response, bodiless, length);
        setConnectionHeader(response.headers());
        exchange.onHeadSent(bodiless, length);
        mLastWrite = mContext.writeAndFlush(response);
    }

    private void chooseFraming(
            Exchange exchange, HttpResponse response, boolean bodiless, long length) {
        if (bodiless || length >= 0) {
            return;
        }
        if (exchange.request().acceptsChunked()) {
            HttpUtil.setTransferEncodingChunked(response, true);
        } else {
            mCloseAfterResponse = true;
            resetOnClose(true);
        }
    }

    /**
     * Sets whether closing the connection resets it. Only an orderly close may end a
     * close-delimited response, so until its end, any close and the end of the process are made
     * resets.
     */
    private void resetOnClose(boolean resets) {
        if (mContext.channel() instanceof SocketChannel socket && socket.isActive()) {
            socket.config().setSoLinger(resets ? 0 : NO_LINGER);
        }
    }

    /** Shuts down the output, which ends a close-delimited response. */
    void shutdownOutput() {
        resetOnClose(false);
        if (mContext.channel() instanceof SocketChannel socket && socket.isActive()) {
            socket.shutdownOutput();
        }
    }

    private void setConnectionHeader(HttpHeaders headers) {
        if (mCloseAfterResponse) {
            headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
    }

    /**
     * Writes a chunk of the body and returns whether it was written.
     *
     * <p>Nothing is written before the head, for a response without body, for an empty chunk, or
     * beyond the announced length.
     */
    boolean writeChunk(Exchange exchange, byte[] bytes) {
        if (!exchange.isHeadSent() || exchange.isBodiless() || bytes.length == 0) {
            return false;
        }
        if (!exchange.countWritten(bytes.length)) {
            return false;
        }
        mLastWrite = mContext.writeAndFlush(new DefaultHttpContent(Unpooled.wrappedBuffer(bytes)));
        mLastWrite.addListener(f -> exchange.onSent(bytes.length));
        return true;
    }

    /** Ends the body. */
    void writeEnd(Exchange exchange) {
        mLastWrite = mContext.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
    }

    /** Writes a problem as the complete response to a request. */
    void writeProblem(Exchange exchange, Problem problem) {
        byte[] body = problem.body();
        writeHead(exchange, problem.kind().status(), problem.headers(body.length));
        writeChunk(exchange, body);
        writeEnd(exchange);
    }

    /** Writes a problem as the response to an invalid request; the connection is to be closed. */
    ChannelFuture writeRejection(Problem problem) {
        byte[] body = problem.body();
        HttpResponse response =
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1,
                        HttpResponseStatus.valueOf(problem.kind().status()),
                        Unpooled.wrappedBuffer(body));
        problem.headers(body.length).forEach(h -> response.headers().add(h.name(), h.value()));
        mCloseAfterResponse = true;
        setConnectionHeader(response.headers());
        mLastWrite = mContext.writeAndFlush(response);
        return mLastWrite;
    }
}
