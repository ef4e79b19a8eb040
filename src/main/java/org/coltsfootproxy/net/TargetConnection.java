package org.coltsfootproxy.net;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.Future;
import io.netty.util.concurrent.ScheduledFuture;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.coltsfootproxy.base.ErrorKind;
import org.coltsfootproxy.base.EventCode;
import org.coltsfootproxy.base.FatalErrors;
import org.coltsfootproxy.base.Ran;
import org.coltsfootproxy.node.Input;

/**
 * One connection to the target, which carries one call at a time.
 *
 * <p>It is reused only after a complete response that keeps it open and is followed by no surplus
 * bytes. Confined to its event loop.
 */
final class TargetConnection extends ChannelInboundHandlerAdapter {
    private static final int SWITCHING_PROTOCOLS = 101;

    /** Bytes of a body that are forwarded at a time; one read delivers about as many. */
    private static final int MAX_FORWARDED_BYTES = 64 << 10;

    private final TargetPool mPool;
    private final Channel mChannel;
    private final ResponseDecoder mDecoder;
    private final InputForwarder mForwarder;
    private PendingCall mPendingCall;
    private boolean mIsInterim;
    private boolean mKeepAlive;
    private boolean mEndsByClose;
    private boolean mRequestWritten;
    private boolean mResponseEnded;
    private boolean mIsForOtherCall;
    private long mBytesWithoutProgress;
    private final CarriedCalls mCarriedCalls = new CarriedCalls();

    /** Content that was read and not forwarded yet; null if there is none. */
    private ByteArrayOutputStream mBody;

    /** Why the request of the call can't be written; empty unless that failed. */
    private Optional<String> mWriteFailure = Optional.empty();

    private OptionalLong mKeepAliveNanos = OptionalLong.empty();
    private ScheduledFuture<?> mIdleTimer;

    TargetConnection(TargetPool pool, Channel channel, ResponseDecoder decoder) {
        mPool = pool;
        mChannel = channel;
        mDecoder = decoder;
        mForwarder = InputForwarder.of(channel, pool.sink());
    }

    /** Returns the handler that counts received bytes before they are decoded. */
    ChannelInboundHandlerAdapter byteCounter() {
        return new ByteCounter();
    }

    /**
     * Limits the bytes that are no part of a response to the call. The decoder limits each part of
     * a message, but skips some bytes silently, and any number of messages may follow each other.
     */
    private final class ByteCounter extends ChannelInboundHandlerAdapter {
        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            int bytes = ((ByteBuf) message).readableBytes();
            mBytesWithoutProgress += bytes;
            if (mPendingCall == null) {
                ReferenceCountUtil.release(message);
                closeUnsolicited();
            } else if (mBytesWithoutProgress - bytes > mPool.maxBytesWithoutProgress()) {
                ReferenceCountUtil.release(message);
                failOrClose();
            } else {
                ctx.fireChannelRead(message);
            }
        }

        private void failOrClose() {
            if (mPendingCall.isEnded()) {
                closeUnsolicited();
            } else {
                fail(
                        failureKind(),
                        "the target sent "
                                + mBytesWithoutProgress
                                + " bytes that are no response to the call");
            }
        }
    }

    /** Returns whether the connection is open and carries no call. */
    boolean isUsable() {
        return mChannel.isActive() && mPendingCall == null;
    }

    /**
     * Returns whether a call with the same correlation value was sent on this connection before. A
     * response that the target repeats here would be taken for the response to this call.
     */
    boolean hasCarried(PendingCall pending) {
        return mCarriedCalls.contains(correlation(pending));
    }

    private Optional<String> correlation(PendingCall pending) {
        return mPool.dialect().correlationHeader().flatMap(pending.request()::header);
    }

    /** Sends a call. */
    void send(PendingCall pending) {
        stopIdleTimer();
        mCarriedCalls.add(correlation(pending));
        mPendingCall = pending;
        mResponseEnded = false;
        mIsInterim = false;
        mIsForOtherCall = false;
        mBytesWithoutProgress = 0;
        mBody = null;
        mEndsByClose = false;
        mWriteFailure = Optional.empty();
        pending.assignTo(this);
        FullHttpRequest request =
                TargetRequestEncoder.encode(
                        pending.request(), mPool.hostField(), mPool.dialect().preservesHost());
        mPool.timeLeftMillis(pending)
                .ifPresent(
                        millis ->
                                request.headers()
                                        .set(
                                                mPool.dialect().timeLeftHeader().orElseThrow(),
                                                Math.max(1, millis)));
        mDecoder.expectResponse(pending.request().method().equals("HEAD"));
        pending.advanceTo(PendingCall.State.SENT);
        mRequestWritten = false;
        RequestWriter.write(mChannel, request)
                .addListener(written -> requestWritten(written, pending));
    }

    /**
     * Notes whether the request was written. If the target closed the connection before it had read
     * the request, what it had sent until then is still read: it may be a complete response.
     */
    private void requestWritten(Future<?> written, PendingCall pending) {
        mRequestWritten = written.isSuccess();
        if (mRequestWritten) {
            return;
        }
        String detail = "can't write the request: " + written.cause().getMessage();
        if (mPendingCall != pending) {
            mChannel.close();
        } else if (mEndsByClose || !(written.cause() instanceof IOException)) {
            failIfOpen(detail);
            mChannel.close();
        } else {
            mWriteFailure = Optional.of(detail);
        }
    }

    private void failIfOpen(String detail) {
        if (mPendingCall != null && !mPendingCall.isEnded()) {
            fail(failureKind(), detail);
        }
    }

    /** Closes the connection without reporting the end of the call that it carries. */
    void close() {
        mPendingCall = null;
        mChannel.close();
    }

    /** Closes the connection after {@code nanos} unless a call is sent before. */
    void closeAfterIdle(long nanos) {
        mIdleTimer = mChannel.eventLoop().schedule(this::close, nanos, TimeUnit.NANOSECONDS);
    }

    private void stopIdleTimer() {
        if (mIdleTimer != null) {
            mIdleTimer.cancel(false);
            mIdleTimer = null;
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        try {
            if (mPendingCall == null || mPendingCall.isEnded() || mResponseEnded) {
                closeUnsolicited();
            } else {
                read((HttpObject) message);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private void read(HttpObject message) {
        if (message.decoderResult().isFailure()) {
            fail(
                    failureKind(),
                    "malformed response: " + message.decoderResult().cause().getMessage());
            return;
        }
        if (message instanceof HttpResponse head) {
            if (isUnattributable(head)) {
                fail(failureKind(), "the response does not name the call that it belongs to");
                return;
            }
            mIsForOtherCall = isForOtherCall(head);
            if (mIsForOtherCall) {
                mPool.events().log(EventCode.TARGET_UNSOLICITED, mPool.hostField());
            } else {
                readHead(head);
            }
        }
        if (mPendingCall != null && !mIsForOtherCall && message instanceof HttpContent content) {
            readContent(content);
        }
    }

    /**
     * Returns whether a response belongs to another call, such as a cancelled or duplicated one.
     */
    private boolean isForOtherCall(HttpResponse head) {
        return mPool.dialect()
                .correlationHeader()
                .filter(name -> head.headers().contains(name))
                .filter(name -> !mPendingCall.request().hasHeader(name, head.headers().get(name)))
                .isPresent();
    }

    /**
     * Returns whether a response lacks the value of the call, so that it may be a repeated response
     * to a call that had none.
     */
    private boolean isUnattributable(HttpResponse head) {
        return head.status().codeClass() != HttpStatusClass.INFORMATIONAL
                && correlation(mPendingCall).isPresent()
                && mPool.dialect()
                        .correlationHeader()
                        .filter(name -> !head.headers().contains(name))
                        .isPresent();
    }

    private void readHead(HttpResponse head) {
        mIsInterim = head.status().codeClass() == HttpStatusClass.INFORMATIONAL;
        if (head.status().code() == SWITCHING_PROTOCOLS) {
            fail(ErrorKind.TARGET_FAILED, "the target switched protocols");
        }
        if (mIsInterim) {
            return;
        }
        mPendingCall.advanceTo(PendingCall.State.ANSWERED);
        Optional<String> rejection =
                ResponseCheck.rejectionReason(
                        head,
                        mPendingCall.request().method(),
                        mPool.dialect().allowsCloseDelimited());
        if (rejection.isPresent()) {
            fail(ErrorKind.TARGET_FAILED, rejection.get());
            return;
        }
        mKeepAlive = HttpUtil.isKeepAlive(head) && ResponseCheck.isFramed(head);
        mEndsByClose = ResponseCheck.endsByClose(head, mPendingCall.request().method());
        if (mEndsByClose && mWriteFailure.isPresent()) {
            // The connection is broken, so its end can't be told from the end of the response.
            fail(ErrorKind.ANSWER_CUT, mWriteFailure.get());
            return;
        }
        mKeepAliveNanos = KeepAlive.idleNanos(head.headers().get("keep-alive"));
        mForwarder.forward(
                new Input.TargetHead(
                        mPendingCall.callId(),
                        head.status().code(),
                        HopByHop.endToEnd(head.headers())));
    }

    /** Returns how long an idle connection can be reused, if the last response stated it. */
    OptionalLong keepAliveNanos() {
        return mKeepAliveNanos;
    }

    private void readContent(HttpContent content) {
        if (mIsInterim) {
            return;
        }
        if (content.content().isReadable()) {
            mBytesWithoutProgress = 0;
            appendBody(content.content());
        }
        if (content instanceof LastHttpContent && mEndsByClose && !mRequestWritten) {
            fail(
                    ErrorKind.ANSWER_CUT,
                    mWriteFailure.orElse("the connection ended before the request was written"));
        } else if (content instanceof LastHttpContent) {
            forwardBody();
            mResponseEnded = true;
            mForwarder.forward(new Input.TargetEnd(mPendingCall.callId(), mEndsByClose));
            mPool.removeCall(mPendingCall);
            mPendingCall.end();
        }
    }

    /**
     * Collects the content of one read, so that a body of many small chunks does not become as many
     * inputs.
     */
    private void appendBody(ByteBuf content) {
        if (mBody != null && mBody.size() + content.readableBytes() > MAX_FORWARDED_BYTES) {
            forwardBody();
        }
        if (mBody == null) {
            mBody = new ByteArrayOutputStream(content.readableBytes());
        }
        mBody.writeBytes(ByteBufUtil.getBytes(content));
    }

    private void forwardBody() {
        if (mBody != null) {
            byte[] bytes = mBody.toByteArray();
            mBody = null;
            mForwarder.forward(new Input.TargetChunk(mPendingCall.callId(), bytes));
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        if (mPendingCall != null) {
            forwardBody();
        }
        if (!mResponseEnded || mPendingCall == null) {
            return;
        }
        mPendingCall = null;
        if (mDecoder.hasUnreadBytes()) {
            closeUnsolicited();
        } else if (mKeepAlive && mRequestWritten) {
            mPool.release(this);
        } else {
            mChannel.close();
        }
    }

    private void closeUnsolicited() {
        if (mChannel.isActive()) {
            mPool.events().log(EventCode.TARGET_UNSOLICITED, mPool.hostField());
        }
        mPendingCall = null;
        mChannel.close();
    }

    private ErrorKind failureKind() {
        boolean responseStarted = mPendingCall.state() == PendingCall.State.ANSWERED;
        return responseStarted ? ErrorKind.ANSWER_CUT : ErrorKind.TARGET_FAILED;
    }

    private void fail(ErrorKind kind, String detail) {
        forwardBody();
        PendingCall pending = mPendingCall;
        mPendingCall = null;
        mChannel.close();
        Ran ran = pending.state().ran();
        mPool.removeCall(pending);
        pending.end();
        mForwarder.forward(new Input.TargetFailed(pending.callId(), kind, ran, detail));
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        stopIdleTimer();
        mPool.onClosed(this);
        failIfOpen(mWriteFailure.orElse("the target closed the connection"));
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        FatalErrors.endIfFatal(cause);
        failIfOpen("error on the connection to the target: " + cause.getMessage());
        ctx.close();
    }
}
