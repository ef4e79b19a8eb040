package org.coltsfootproxy.net;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
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

/** Writes the answers of one connection. Confined to its event loop. */
final class AnswerWriter {
    private static final int FIRST_FINAL_STATUS = 200;
    private static final int NO_CONTENT = 204;
    private static final int NOT_MODIFIED = 304;

    private final ChannelHandlerContext mContext;
    private final HttpFront mFront;
    private boolean mLast;
    private ChannelFuture mLastWrite;

    AnswerWriter(ChannelHandlerContext context, HttpFront front) {
        mContext = context;
        mFront = front;
    }

    /** Tells whether the connection ends after the present answer. */
    boolean isLast() {
        return mLast;
    }

    /** Returns the future of the last write. */
    ChannelFuture flushed() {
        return mLastWrite;
    }

    /** Writes the head of an answer with a length if one is given, else in chunks. */
    void head(Exchange exchange, int status, List<Header> headers) {
        HttpResponse response =
                new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status));
        HopByHop.endToEnd(headers).forEach(h -> response.headers().add(h.name(), h.value()));
        boolean bodiless =
                exchange.request().isHead()
                        || status < FIRST_FINAL_STATUS
                        || status == NO_CONTENT
                        || status == NOT_MODIFIED;
        long length = HttpUtil.getContentLength(response, -1L);
        mLast = mFront.isLameDuck() || !exchange.request().keepAlive();
        frame(exchange, response, bodiless, length);
        setConnection(response.headers());
        exchange.headSent(bodiless, length);
        mLastWrite = mContext.writeAndFlush(response);
    }

    private void frame(Exchange exchange, HttpResponse response, boolean bodiless, long length) {
        if (bodiless || length >= 0) {
            return;
        }
        if (exchange.request().chunksUnderstood()) {
            HttpUtil.setTransferEncodingChunked(response, true);
        } else {
            mLast = true;
        }
    }

    private void setConnection(HttpHeaders headers) {
        if (mLast) {
            headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
    }

    /** Writes a piece of the body and tells whether it was one; more than announced is not. */
    boolean chunk(Exchange exchange, byte[] bytes) {
        if (!exchange.isHeadSent() || exchange.isWithoutBody() || bytes.length == 0) {
            return false;
        }
        if (!exchange.write(bytes.length)) {
            return false;
        }
        mLastWrite = mContext.writeAndFlush(new DefaultHttpContent(Unpooled.wrappedBuffer(bytes)));
        mLastWrite.addListener(f -> exchange.sent(bytes.length));
        return true;
    }

    /** Writes the end of the body. */
    void end(Exchange exchange) {
        mLastWrite = mContext.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
    }

    /** Writes a problem as the whole answer to a request. */
    void answer(Exchange exchange, Problem problem) {
        byte[] body = problem.body();
        head(exchange, problem.kind().status(), problem.headers(body.length));
        chunk(exchange, body);
        end(exchange);
    }

    /** Writes a problem as the answer to what was no request; the connection ends after it. */
    ChannelFuture refuse(Problem problem) {
        byte[] body = problem.body();
        HttpResponse response =
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1,
                        HttpResponseStatus.valueOf(problem.kind().status()),
                        Unpooled.wrappedBuffer(body));
        problem.headers(body.length).forEach(h -> response.headers().add(h.name(), h.value()));
        mLast = true;
        setConnection(response.headers());
        mLastWrite = mContext.writeAndFlush(response);
        return mLastWrite;
    }
}
