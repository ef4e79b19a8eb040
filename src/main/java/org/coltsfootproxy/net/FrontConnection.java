package org.coltsfootproxy.net;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
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
import java.util.OptionalLong;
import java.util.Queue;
import java.util.concurrent.TimeUnit;
import org.coltsfootproxy.base.ErrorKind;
import org.coltsfootproxy.base.EventCode;
import org.coltsfootproxy.base.FatalErrors;
import org.coltsfootproxy.base.Metric;
import org.coltsfootproxy.node.Effect;
import org.coltsfootproxy.node.Input;
import org.coltsfootproxy.node.Problem;

/**
 * One caller's connection: reads requests, submits them one at a time and writes the responses in
 * the same order.
 *
 * <p>Confined to its event loop.
 */
final class FrontConnection extends ChannelInboundHandlerAdapter {
    private static final int MAX_PIPELINED_REQUESTS = 8;
    private static final Duration LINGERING_CLOSE_TIME = Duration.ofSeconds(1);

    private final HttpFront mFront;
    private final HttpFrontSettings mSettings;
    private final RequestReader mReader;
    private final Queue<ParsedRequest> mPipeline = new ArrayDeque<>();
    private ChannelHandlerContext mContext;
    private InputForwarder mForwarder;
    private ResponseWriter mWriter;
    private Exchange mCurrent;
    private boolean mContinuePending;
    private boolean mDiscardInput;
    private boolean mClosing;
    private ScheduledFuture<?> mReadTimer;
    private ScheduledFuture<?> mIdleTimer;
    private ScheduledFuture<?> mStallTimer;

    /** A complete request, or the reason why one is rejected; exactly one is present. */
    private record ParsedRequest(Optional<InboundRequest> request, Optional<Problem> problem) {}

    FrontConnection(HttpFront front) {
        mFront = front;
        mSettings = front.settings();
        mReader = RequestReader.of(mSettings);
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        mContext = ctx;
        mForwarder = InputForwarder.of(ctx.channel(), mFront.sink());
        mWriter = new ResponseWriter(ctx, mFront);
        startIdleTimer();
    }

    /** Called when bytes arrive; starts the head timeout unless a read timeout is running. */
    void onBytes() {
        if (mReadTimer == null && !mDiscardInput) {
            cancelIdleTimer();
            startReadTimer(mSettings.headTimeout());
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        try {
            if (!mDiscardInput) {
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
            reject(problem.get());
        } else if (message instanceof LastHttpContent last && mReader.isInBody()) {
            cancelReadTimer();
            mContinuePending = false;
            enqueue(new ParsedRequest(Optional.of(mReader.end(last)), Optional.empty()));
        }
    }

    private Optional<Problem> begin(HttpRequest head) {
        Optional<Problem> problem = mReader.begin(head);
        if (problem.isEmpty()) {
            cancelReadTimer();
            startReadTimer(mSettings.bodyTimeout());
            mContinuePending = mReader.expectsContinue();
            sendContinue();
        }
        return problem;
    }

    private void sendContinue() {
        if (mContinuePending && mCurrent == null && mPipeline.isEmpty()) {
            mContinuePending = false;
            mContext.writeAndFlush(
                    new DefaultFullHttpResponse(
                            HttpVersion.HTTP_1_1,
                            HttpResponseStatus.CONTINUE,
                            Unpooled.EMPTY_BUFFER));
        }
    }

    private void reject(Problem problem) {
        mDiscardInput = true;
        cancelReadTimer();
        enqueue(new ParsedRequest(Optional.empty(), Optional.of(problem)));
    }

    private void enqueue(ParsedRequest parsed) {
        mPipeline.add(parsed);
        if (mPipeline.size() >= MAX_PIPELINED_REQUESTS) {
            mContext.channel().config().setAutoRead(false);
        }
        processNext();
    }

    private void processNext() {
        while (mCurrent == null && !mClosing && !mPipeline.isEmpty()) {
            ParsedRequest parsed = mPipeline.remove();
            parsed.request().ifPresent(this::submit);
            parsed.problem().ifPresent(p -> rejectAndClose(p));
        }
        if (mPipeline.size() < MAX_PIPELINED_REQUESTS
                && !mContext.channel().config().isAutoRead()) {
            mContext.channel().config().setAutoRead(true);
        }
        if (mCurrent == null && !mClosing) {
            sendContinue();
            startIdleTimer();
        }
    }

    private void submit(InboundRequest request) {
        Exchange exchange = mFront.register(this, mContext.channel(), request);
        mCurrent = exchange;
        Input.HttpCall call =
                new Input.HttpCall(
                        exchange.callId(),
                        request.method(),
                        request.path(),
                        request.headers(),
                        request.body(),
                        OptionalLong.of(request.receivedNanos()));
        if (mFront.isFinished()) {
            writeProblem(exchange, Problem.of(ErrorKind.STOPPING, "the host is stopping"));
        } else if (!mFront.sink().offer(call)) {
            mFront.events().count(Metric.RING_FULL, "front");
            Problem problem = Problem.of(ErrorKind.OVERLOADED, "the server's input ring is full");
            reportRejection(problem);
            writeProblem(exchange, problem);
        }
    }

    private void rejectAndClose(Problem problem) {
        reportRejection(problem);
        mWriter.writeRejection(problem).addListener(f -> closeLingering());
        mClosing = true;
    }

    private void reportRejection(Problem problem) {
        mFront.events().count(Metric.REFUSALS, problem.kind().label());
        mFront.events().log(EventCode.REQUEST_REFUSED, problem.kind() + ": " + problem.detail());
    }

    /**
     * Shuts down the output and closes the connection after {@link #LINGERING_CLOSE_TIME}.
     *
     * <p>Input is read and discarded until then, so that a caller that is still sending can read
     * the response.
     */
    private void closeLingering() {
        mDiscardInput = true;
        mClosing = true;
        mContext.channel().config().setAutoRead(true);
        mWriter.shutdownOutput();
        startTimer(LINGERING_CLOSE_TIME, () -> mContext.close());
    }

    /** Starts the response of an exchange, unless the exchange is no longer current. */
    void writeHead(Exchange exchange, Effect.HttpHead head) {
        if (exchange == mCurrent && !exchange.isHeadSent()) {
            mWriter.writeHead(exchange, head.status(), head.headers());
        }
    }

    /** Sends a problem as the whole response of an exchange that has none yet. */
    void writeProblem(Exchange exchange, Problem problem) {
        if (exchange == mCurrent && !exchange.isHeadSent()) {
            mFront.unregister(exchange);
            mWriter.writeProblem(exchange, problem);
            onResponseEnd();
        }
    }

    /** Sends a chunk of the response's body, or discards it if it can't be written. */
    void writeChunk(Exchange exchange, byte[] bytes) {
        if (exchange != mCurrent || !mWriter.writeChunk(exchange, bytes)) {
            exchange.onSent(bytes.length);
            return;
        }
        if (mStallTimer == null) {
            startStallTimer(exchange, exchange.sentBytes());
        }
    }

    /** Ends the response; if its length differs from the announced one, it is aborted. */
    void endResponse(Exchange exchange) {
        if (exchange != mCurrent) {
            return;
        }
        if (!exchange.isComplete()) {
            abort(exchange);
            return;
        }
        mWriter.writeEnd(exchange);
        onResponseEnd();
    }

    /** Calls a listener when all that was written so far is sent or discarded. */
    void whenSent(Runnable listener) {
        if (mWriter.lastWrite() == null) {
            listener.run();
        } else {
            mWriter.lastWrite().addListener(f -> listener.run());
        }
    }

    /** Aborts the response in a way that the caller can detect. */
    void abort(Exchange exchange) {
        if (exchange != mCurrent) {
            return;
        }
        mCurrent = null;
        mContext.close();
    }

    /** Closes the connection of a caller that doesn't read its response, which may have ended. */
    void abortUnread(Exchange exchange) {
        if (exchange == mCurrent || !exchange.isSent()) {
            mFront.events().log(EventCode.CALLER_CUT, mContext.channel().remoteAddress() + "");
            mFront.events().count(Metric.CALLERS_CUT, "");
            mContext.close();
        }
    }

    private void onResponseEnd() {
        boolean close = mWriter.closesAfterResponse();
        mCurrent = null;
        cancelStallTimer();
        if (close) {
            mClosing = true;
            mWriter.lastWrite().addListener(f -> closeLingering());
        } else {
            processNext();
        }
    }

    private void startReadTimer(Duration timeout) {
        mReadTimer = startTimer(timeout, this::readTimedOut);
    }

    private void readTimedOut() {
        reject(
                Problem.of(
                        ErrorKind.REQUEST_TIMEOUT,
                        "the request was not received completely in time"));
    }

    private void startIdleTimer() {
        if (mReadTimer == null && mIdleTimer == null) {
            mIdleTimer = startTimer(mSettings.idleTimeout(), () -> mContext.close());
        }
    }

    private void startStallTimer(Exchange exchange, long sentBefore) {
        mStallTimer = startTimer(mSettings.stallTimeout(), () -> checkStall(exchange, sentBefore));
    }

    private void checkStall(Exchange exchange, long sentBefore) {
        mStallTimer = null;
        if (exchange != mCurrent || exchange.unsentBytes() == 0) {
            return;
        }
        if (exchange.sentBytes() == sentBefore) {
            abortUnread(exchange);
        } else {
            startStallTimer(exchange, exchange.sentBytes());
        }
    }

    private ScheduledFuture<?> startTimer(Duration delay, Runnable task) {
        return mContext.executor().schedule(task, delay.toNanos(), TimeUnit.NANOSECONDS);
    }

    private void cancelReadTimer() {
        if (mReadTimer != null) {
            mReadTimer.cancel(false);
            mReadTimer = null;
        }
    }

    private void cancelIdleTimer() {
        if (mIdleTimer != null) {
            mIdleTimer.cancel(false);
            mIdleTimer = null;
        }
    }

    private void cancelStallTimer() {
        if (mStallTimer != null) {
            mStallTimer.cancel(false);
            mStallTimer = null;
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        cancelReadTimer();
        cancelIdleTimer();
        cancelStallTimer();
        mClosing = true;
        mPipeline.clear();
        Exchange unfinished = mCurrent;
        mCurrent = null;
        if (unfinished != null && mFront.unregister(unfinished)) {
            mForwarder.forward(new Input.HttpDisconnected(unfinished.callId()));
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        FatalErrors.endIfFatal(cause);
        if (!(cause instanceof IOException)) {
            mFront.events().log(EventCode.HANDLER_FAILED, "caller connection: " + cause);
        }
        ctx.close();
    }
}
