package org.coltsfootproxy.net;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.ScheduledFuture;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.TimeUnit;
import org.coltsfootproxy.base.ErrorKind;
import org.coltsfootproxy.base.EventCode;
import org.coltsfootproxy.base.Metric;
import org.coltsfootproxy.node.Effect;
import org.coltsfootproxy.node.Input;
import org.coltsfootproxy.node.Problem;

/**
 * One caller's connection: reads requests, hands them on one at a time and answers them in order.
 *
 * <p>Confined to its event loop.
 */
final class FrontConnection extends ChannelInboundHandlerAdapter {
    private static final int MAX_PIPELINED = 8;
    private static final Duration LINGER = Duration.ofSeconds(1);

    private final HttpFront mFront;
    private final HttpFrontSettings mSettings;
    private final RequestReader mReader;
    private final Queue<Arrival> mWaiting = new ArrayDeque<>();
    private ChannelHandlerContext mContext;
    private Intake mIntake;
    private AnswerWriter mWriter;
    private Exchange mCurrent;
    private boolean mContinueOwed;
    private boolean mDeaf;
    private boolean mClosing;
    private ScheduledFuture<?> mReadTimer;
    private ScheduledFuture<?> mIdleTimer;
    private ScheduledFuture<?> mStallTimer;

    /** A whole request, or the problem of one that is refused; exactly one is present. */
    private record Arrival(Optional<ArrivedRequest> request, Optional<Problem> problem) {}

    FrontConnection(HttpFront front) {
        mFront = front;
        mSettings = front.settings();
        mReader = RequestReader.of(mSettings);
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        mContext = ctx;
        mIntake = Intake.of(ctx.channel(), mFront.sink());
        mWriter = new AnswerWriter(ctx, mFront);
        armIdle();
    }

    /** Notes that bytes of a request have come, whole or not. */
    void onBytes() {
        if (mReadTimer == null && !mDeaf) {
            cancelIdle();
            armRead(mSettings.headTimeout());
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        try {
            if (!mDeaf) {
                read((HttpObject) message);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private void read(HttpObject message) {
        Optional<Problem> problem = Optional.empty();
        if (message instanceof HttpRequest head) {
            problem = begin(head);
        }
        if (problem.isEmpty() && message instanceof HttpContent content && mReader.isInBody()) {
            problem = mReader.add(content);
        }
        if (problem.isPresent()) {
            refuse(problem.get());
        } else if (message instanceof LastHttpContent last && mReader.isInBody()) {
            cancelRead();
            mContinueOwed = false;
            arrive(new Arrival(Optional.of(mReader.end(last)), Optional.empty()));
        }
    }

    private Optional<Problem> begin(HttpRequest head) {
        Optional<Problem> problem = mReader.begin(head);
        if (problem.isEmpty()) {
            cancelRead();
            armRead(mSettings.bodyTimeout());
            mContinueOwed = mReader.expectsContinue();
            sendContinue();
        }
        return problem;
    }

    private void sendContinue() {
        if (mContinueOwed && mCurrent == null && mWaiting.isEmpty()) {
            mContinueOwed = false;
            mContext.writeAndFlush(
                    new DefaultFullHttpResponse(
                            HttpVersion.HTTP_1_1,
                            HttpResponseStatus.CONTINUE,
                            Unpooled.EMPTY_BUFFER));
        }
    }

    private void refuse(Problem problem) {
        mDeaf = true;
        cancelRead();
        arrive(new Arrival(Optional.empty(), Optional.of(problem)));
    }

    private void arrive(Arrival arrival) {
        mWaiting.add(arrival);
        if (mWaiting.size() >= MAX_PIPELINED) {
            mContext.channel().config().setAutoRead(false);
        }
        next();
    }

    private void next() {
        while (mCurrent == null && !mClosing && !mWaiting.isEmpty()) {
            Arrival arrival = mWaiting.remove();
            arrival.request().ifPresent(this::submit);
            arrival.problem().ifPresent(p -> answerAndClose(p));
        }
        if (mWaiting.size() < MAX_PIPELINED && !mContext.channel().config().isAutoRead()) {
            mContext.channel().config().setAutoRead(true);
        }
        if (mCurrent == null && !mClosing) {
            sendContinue();
            armIdle();
        }
    }

    private void submit(ArrivedRequest request) {
        Exchange exchange = mFront.open(this, mContext.channel(), request);
        mCurrent = exchange;
        Input.HttpCall call =
                new Input.HttpCall(
                        exchange.call(),
                        request.method(),
                        request.path(),
                        request.headers(),
                        request.body());
        if (!mFront.sink().offer(call)) {
            mFront.events().count(Metric.RING_FULL, "front");
            Problem problem = Problem.of(ErrorKind.OVERLOADED, "the entry is busy");
            countRefusal(problem);
            mFront.forget(exchange);
            mWriter.answer(exchange, problem);
            finish();
        }
    }

    private void answerAndClose(Problem problem) {
        countRefusal(problem);
        mWriter.refuse(problem).addListener(f -> linger());
        mClosing = true;
    }

    private void countRefusal(Problem problem) {
        mFront.events().count(Metric.REFUSALS, problem.kind().label());
        mFront.events().log(EventCode.REQUEST_REFUSED, problem.kind() + ": " + problem.detail());
    }

    /** Closes in the way that lets the caller read the answer although it may still be sending. */
    private void linger() {
        mDeaf = true;
        mClosing = true;
        mContext.channel().config().setAutoRead(true);
        if (mContext.channel() instanceof SocketChannel socket && socket.isActive()) {
            socket.shutdownOutput();
        }
        later(LINGER, () -> mContext.close());
    }

    /** Begins the answer to a call of this connection. */
    void head(Exchange exchange, Effect.HttpHead head) {
        if (exchange == mCurrent && !exchange.isHeadSent()) {
            mWriter.head(exchange, head.status(), head.headers());
        }
    }

    /** Sends a piece of an answer's body. */
    void chunk(Exchange exchange, byte[] bytes) {
        if (exchange != mCurrent || !mWriter.chunk(exchange, bytes)) {
            exchange.sent(bytes.length);
            return;
        }
        if (mStallTimer == null) {
            armStall(exchange, exchange.sentBytes());
        }
    }

    /** Ends an answer; one that isn't as long as was announced is cut. */
    void end(Exchange exchange) {
        if (exchange != mCurrent) {
            return;
        }
        if (!exchange.isWhole()) {
            cut(exchange);
            return;
        }
        mWriter.end(exchange);
        finish();
    }

    /** Breaks an answer off so that the caller sees it. */
    void cut(Exchange exchange) {
        if (exchange != mCurrent) {
            return;
        }
        mCurrent = null;
        if (!exchange.request().chunksUnderstood()) {
            // An old caller takes the end of the connection for the end of the answer.
            ((SocketChannel) mContext.channel()).config().setSoLinger(0);
        }
        mContext.close();
    }

    /** Breaks off the answer to a caller that doesn't read it, and tells the decisions. */
    void overflow(Exchange exchange) {
        if (exchange == mCurrent) {
            mFront.events().log(EventCode.CALLER_CUT, mContext.channel().remoteAddress() + "");
            mFront.events().count(Metric.CALLERS_CUT, "");
            mContext.close();
        }
    }

    private void finish() {
        boolean close = mWriter.isLast();
        mCurrent = null;
        cancelStall();
        if (close) {
            mClosing = true;
            mWriter.flushed().addListener(f -> linger());
        } else {
            next();
        }
    }

    private void armRead(Duration timeout) {
        mReadTimer = later(timeout, this::readTimedOut);
    }

    private void readTimedOut() {
        refuse(Problem.of(ErrorKind.REQUEST_TIMEOUT, "the request came too slowly"));
    }

    private void armIdle() {
        if (mReadTimer == null && mIdleTimer == null) {
            mIdleTimer = later(mSettings.idleTimeout(), () -> mContext.close());
        }
    }

    private void armStall(Exchange exchange, long sentBefore) {
        mStallTimer = later(mSettings.stallTimeout(), () -> checkStall(exchange, sentBefore));
    }

    private void checkStall(Exchange exchange, long sentBefore) {
        mStallTimer = null;
        if (exchange != mCurrent || exchange.unsent() == 0) {
            return;
        }
        if (exchange.sentBytes() == sentBefore) {
            overflow(exchange);
        } else {
            armStall(exchange, exchange.sentBytes());
        }
    }

    private ScheduledFuture<?> later(Duration delay, Runnable task) {
        return mContext.executor().schedule(task, delay.toNanos(), TimeUnit.NANOSECONDS);
    }

    private void cancelRead() {
        if (mReadTimer != null) {
            mReadTimer.cancel(false);
            mReadTimer = null;
        }
    }

    private void cancelIdle() {
        if (mIdleTimer != null) {
            mIdleTimer.cancel(false);
            mIdleTimer = null;
        }
    }

    private void cancelStall() {
        if (mStallTimer != null) {
            mStallTimer.cancel(false);
            mStallTimer = null;
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        cancelRead();
        cancelIdle();
        cancelStall();
        mClosing = true;
        mWaiting.clear();
        Exchange open = mCurrent;
        mCurrent = null;
        if (open != null && mFront.forget(open)) {
            mIntake.offer(new Input.HttpGone(open.call()));
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (!(cause instanceof IOException)) {
            mFront.events().log(EventCode.HANDLER_FAILED, "caller's connection: " + cause);
        }
        ctx.close();
    }
}
