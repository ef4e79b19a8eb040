package org.coltsfootproxy.net;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.ScheduledFuture;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayDeque;
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
 * One caller's connection: submits its requests one at a time and writes the responses in the same
 * order.
 *
 * <p>Confined to its event loop.
 */
final class FrontConnection extends ChannelInboundHandlerAdapter implements RequestIntake.Owner {
    private static final Duration LINGERING_CLOSE_TIME = Duration.ofSeconds(1);

    private final HttpFront mFront;
    private final HttpFrontSettings mSettings;
    private final RequestIntake mIntake;
    private final Queue<ParsedRequest> mPipeline = new ArrayDeque<>();
    private ChannelHandlerContext mContext;
    private InputForwarder mForwarder;
    private ResponseWriter mWriter;
    private Exchange mCurrent;
    private long mCurrentMemory;
    private long mWaitingMemory;
    private boolean mHasSentContinue;
    private boolean mClosing;
    private ScheduledFuture<?> mIdleTimer;
    private ScheduledFuture<?> mStallTimer;

    FrontConnection(HttpFront front) {
        mFront = front;
        mSettings = front.settings();
        mIntake = new RequestIntake(front, this);
    }

    /** Returns what reads the requests. */
    RequestIntake intake() {
        return mIntake;
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        mContext = ctx;
        mForwarder = InputForwarder.of(ctx.channel(), mFront.sink());
        mWriter = new ResponseWriter(ctx, mFront);
        mIntake.connected(ctx);
        startIdleTimer();
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        try {
            mIntake.read((HttpObject) message);
            sendContinue();
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    @Override
    public void onRequestBegins() {
        cancelIdleTimer();
        mHasSentContinue = false;
    }

    private void sendContinue() {
        if (mIntake.expectsContinue() && !mHasSentContinue && !isServing()) {
            mHasSentContinue = true;
            mContext.writeAndFlush(
                    new DefaultFullHttpResponse(
                            HttpVersion.HTTP_1_1,
                            HttpResponseStatus.CONTINUE,
                            Unpooled.EMPTY_BUFFER));
        }
    }

    @Override
    public void onRequest(ParsedRequest parsed) {
        mPipeline.add(parsed);
        mWaitingMemory += parsed.memoryBytes();
        mHasSentContinue = false;
        processNext();
    }

    @Override
    public boolean isServing() {
        return mCurrent != null || !mPipeline.isEmpty();
    }

    @Override
    public int waitingRequests() {
        return mPipeline.size();
    }

    @Override
    public long waitingMemory() {
        return mWaitingMemory;
    }

    @Override
    public long currentMemory() {
        return mCurrentMemory;
    }

    private void processNext() {
        while (mCurrent == null && !mClosing && !mPipeline.isEmpty()) {
            ParsedRequest parsed = mPipeline.remove();
            mWaitingMemory -= parsed.memoryBytes();
            parsed.request().ifPresent(request -> submit(request, parsed.memoryBytes()));
            parsed.problem().ifPresent(p -> rejectAndClose(p));
        }
        if (!mClosing) {
            mIntake.update();
        }
        if (mCurrent == null && !mClosing) {
            sendContinue();
            startIdleTimer();
        }
    }

    private void submit(InboundRequest request, long memoryBytes) {
        Exchange exchange = mFront.register(this, mContext.channel(), request);
        mCurrent = exchange;
        mCurrentMemory = memoryBytes;
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
        mClosing = true;
        mIntake.stopReading();
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
        mCurrentMemory = 0;
        mIntake.account().progressed();
        cancelStallTimer();
        if (close) {
            mClosing = true;
            mWriter.lastWrite().addListener(f -> closeLingering());
        } else {
            processNext();
        }
    }

    private void startIdleTimer() {
        if (!mIntake.isReceiving() && mIdleTimer == null) {
            mIdleTimer = startTimer(mFront.limits().idleTimeout(), () -> mContext.close());
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
        cancelIdleTimer();
        cancelStallTimer();
        mClosing = true;
        mPipeline.clear();
        mWaitingMemory = 0;
        Exchange unfinished = mCurrent;
        mCurrent = null;
        mCurrentMemory = 0;
        mIntake.close();
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
