package org.coltsfootproxy.net;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.Optional;
import org.coltsfootproxy.base.ErrorKind;
import org.coltsfootproxy.base.EventCode;
import org.coltsfootproxy.base.Metric;
import org.coltsfootproxy.node.Problem;

/**
 * Reads the requests of one caller's connection within limits on time and memory.
 *
 * <p>Confined to the connection's event loop, except that {@link ClientMemory} may end the
 * connection from any thread.
 */
final class RequestIntake implements StrictRequestDecoder.Listener {
    /** Memory of a connection without a request: its channel, handlers and timers. */
    static final long CONNECTION_BYTES = 8 << 10;

    /** Memory of a header field besides its characters, in its forms from decoder to target. */
    private static final long FIELD_BYTES = 256;

    private static final int MAX_PIPELINED_REQUESTS = 8;

    /** Memory of the requests behind the current one at which reading is paused. */
    private static final long MAX_PIPELINED_BYTES = 64 << 10;

    /** Memory that a body of unknown size occupies once it is not small; beyond it, the maximum. */
    private static final int FIRST_RESERVED_BYTES = 1 << 20;

    private static final long RETRY_AFTER_MILLIS = 1_000;

    private final HttpFront mFront;
    private final Owner mOwner;
    private final StrictRequestDecoder mDecoder;
    private final RequestReader mReader = new RequestReader();
    private final ClientAccount mAccount;
    private final ReadTimer mTimer;
    private ChannelHandlerContext mContext;
    private int mHeadBufferBytes;
    private long mHeadMemory;
    private long mScratchBytes;
    private long mReservedBytes;
    private boolean mIsDeferred;
    private boolean mIsPaused;
    private boolean mIsDiscarding;
    private boolean mIsReading;

    /** The part of the connection that submits requests and writes responses. */
    interface Owner {
        /** Called when the first byte of a request arrives. */
        void onRequestBegins();

        /** Called with a complete request, or with the reason why one is rejected. */
        void onRequest(ParsedRequest request);

        /** Returns whether a complete request has no complete response yet. */
        boolean isServing();

        /** Returns the number of requests that wait for the response to another one. */
        int waitingRequests();

        /** Returns the memory of the waiting requests. */
        long waitingMemory();

        /** Returns the memory of the request that is being answered. */
        long currentMemory();
    }

    RequestIntake(HttpFront front, Owner owner) {
        mFront = front;
        mOwner = owner;
        mDecoder = new StrictRequestDecoder(this);
        mAccount = front.memory().open(this::end);
        mTimer = new ReadTimer(front.settings().bodyTimeout(), mAccount, this::timedOut);
    }

    /** Returns the decoder of the connection's pipeline. */
    StrictRequestDecoder decoder() {
        return mDecoder;
    }

    ClientAccount account() {
        return mAccount;
    }

    void connected(ChannelHandlerContext context) {
        mContext = context;
        mTimer.connected(context.executor());
        mAccount.progressed();
        updateAccount();
        mFront.memory().relieve();
    }

    @Override
    public RequestLimits limits() {
        return mFront.limits();
    }

    @Override
    public void onBytes() {
        if (!mTimer.isRunning() && !mIsDiscarding && !mIsPaused) {
            mOwner.onRequestBegins();
            mTimer.startHead(limits().headTimeout());
        }
    }

    @Override
    public void onIncompleteHead(int bufferBytes) {
        if (!mIsDiscarding && bufferBytes != mHeadBufferBytes) {
            mHeadBufferBytes = bufferBytes;
            updateAccount();
            whileReading(mFront.memory()::relieve);
        }
    }

    @Override
    public boolean onHead(HeadScanner head) {
        if (mIsDiscarding) {
            return false;
        }
        mHeadBufferBytes = 0;
        mHeadMemory = 2L * head.scannedBytes() + FIELD_BYTES * head.fields();
        mScratchBytes = Math.max(mScratchBytes, 2L * head.longestLine());
        long memory = mHeadMemory;
        mHeadMemory = 0;
        if (!admits(memory)) {
            reject(overloaded());
            return false;
        }
        mHeadMemory = memory;
        updateAccount();
        return true;
    }

    private boolean admits(long bytes) {
        boolean[] isAdmitted = new boolean[1];
        whileReading(() -> isAdmitted[0] = mFront.memory().admits(mAccount, bytes));
        return isAdmitted[0];
    }

    /** Runs a step that may end this connection, which has to wait until the step has ended. */
    private void whileReading(Runnable step) {
        boolean before = mIsReading;
        mIsReading = true;
        try {
            step.run();
        } finally {
            mIsReading = before;
        }
    }

    private static Problem overloaded() {
        return Problem.of(ErrorKind.OVERLOADED, "the memory for requests of all clients is in use")
                .withRetryAfterMillis(RETRY_AFTER_MILLIS);
    }

    /** Reads a part of a request from the decoder. */
    void read(HttpObject message) {
        if (mIsDiscarding || mAccount.isEnding()) {
            return;
        }
        Optional<Problem> problem = Optional.empty();
        if (message instanceof HttpRequest head) {
            problem = begin(head);
        }
        if (problem.isEmpty() && message instanceof HttpContent content && mReader.isInBody()) {
            problem = add(content);
        }
        if (problem.isPresent()) {
            reject(problem.get());
        } else if (message instanceof LastHttpContent
                && mReader.isInBody()
                && !mAccount.isEnding()) {
            complete();
        }
    }

    private Optional<Problem> begin(HttpRequest head) {
        Optional<Problem> problem = mReader.begin(head, limits());
        if (problem.isPresent()) {
            return problem;
        }
        mTimer.startBody(mReader.declaredBytes());
        boolean isLarge = mReader.declaredBytes() > ClientMemory.SMALL_BYTES;
        mIsDeferred = true;
        if (!(isLarge && mOwner.isServing()) && !admitBody()) {
            return Optional.of(overloaded());
        }
        update();
        return Optional.empty();
    }

    /** Occupies memory for the declared size of the body; returns false if there is none. */
    private boolean admitBody() {
        mIsDeferred = !reserve(mReader.declaredBytes());
        return !mIsDeferred;
    }

    private boolean reserve(long bytes) {
        if (!admits(bytes - mReservedBytes)) {
            return false;
        }
        mReservedBytes = bytes;
        updateAccount();
        return true;
    }

    /** Occupies memory for a body of unknown size before it grows to a size. */
    private boolean reserveFor(int size) {
        boolean isReserved =
                size <= Math.max(mReservedBytes, ClientMemory.SMALL_BYTES) || mOwner.isServing();
        int max = limits().maxBodyBytes();
        return isReserved
                || reserve(
                        size <= FIRST_RESERVED_BYTES ? Math.min(FIRST_RESERVED_BYTES, max) : max);
    }

    private Optional<Problem> add(HttpContent content) {
        if (mReader.sizeWith(content) <= limits().maxBodyBytes()
                && !reserveFor(mReader.sizeWith(content))) {
            return Optional.of(overloaded());
        }
        long before = mReader.bodyMemory();
        mTimer.onBody(content.content().readableBytes());
        Optional<Problem> problem = mReader.add(content);
        if (problem.isEmpty() && mReader.bodyMemory() > before) {
            update();
            whileReading(mFront.memory()::relieve);
        }
        return problem;
    }

    private void complete() {
        mTimer.cancel();
        InboundRequest request = mReader.end();
        long memory = mHeadMemory + request.body().length;
        mHeadMemory = 0;
        mReservedBytes = 0;
        mIsDeferred = false;
        mAccount.progressed();
        mOwner.onRequest(ParsedRequest.accepted(request, memory));
    }

    /** Discards the incomplete request and all further input, and rejects the request. */
    private void reject(Problem problem) {
        stopReading();
        mOwner.onRequest(ParsedRequest.rejected(problem));
    }

    /** Discards the incomplete request, if there is one, and all further input. */
    void stopReading() {
        mIsDiscarding = true;
        mDecoder.discardAll();
        mReader.discard();
        mTimer.cancel();
        mHeadBufferBytes = 0;
        mHeadMemory = 0;
        mReservedBytes = 0;
        updateAccount();
    }

    /** Returns whether a request has begun to arrive and is not complete. */
    boolean isReceiving() {
        return mTimer.isRunning() || mReader.isInBody();
    }

    /** Returns whether the caller waits for a 100 (Continue) response and may get it now. */
    boolean expectsContinue() {
        return mReader.expectsContinue() && !mIsDeferred && !mIsDiscarding;
    }

    /** Pauses or resumes reading after a change of the requests that are not answered. */
    void update() {
        if (mIsDeferred && mReader.isInBody() && !mOwner.isServing() && !admitBody()) {
            reject(overloaded());
            return;
        }
        boolean pauses = !mIsDiscarding && mOwner.isServing() && isFull();
        if (pauses != mIsPaused) {
            mIsPaused = pauses;
            mContext.channel().config().setAutoRead(!pauses);
            mTimer.cancel();
            if (!pauses && mReader.isInBody()) {
                mTimer.startBody(mReader.declaredBytes());
            }
        }
        updateAccount();
    }

    private boolean isFull() {
        return mOwner.waitingRequests() >= MAX_PIPELINED_REQUESTS
                || mOwner.waitingMemory() + incompleteMemory() > MAX_PIPELINED_BYTES
                || mIsDeferred && mReader.isInBody();
    }

    private long incompleteMemory() {
        long body = mIsDeferred ? 0 : Math.max(mReservedBytes, mReader.bodyMemory());
        return mHeadBufferBytes + mHeadMemory + body;
    }

    private void updateAccount() {
        long connection = CONNECTION_BYTES + mScratchBytes;
        if (mOwner.isServing()) {
            // The kernel holds what it receives while reading is paused.
            long kernel = mIsPaused ? HttpFront.SOCKET_BUFFER_BYTES : 0;
            long requests = mOwner.currentMemory() + mOwner.waitingMemory();
            mAccount.set(connection + kernel + requests, incompleteMemory());
        } else {
            mAccount.set(0, connection + incompleteMemory());
        }
    }

    private void end(boolean atOnce) {
        EventLoop loop = mContext.channel().eventLoop();
        if (loop.inEventLoop() && !mIsReading) {
            endNow(atOnce);
        } else {
            loop.execute(() -> endNow(atOnce));
        }
    }

    private void endNow(boolean atOnce) {
        if (!mContext.channel().isActive()) {
            return;
        }
        mFront.events().count(Metric.CLIENTS_ENDED, atOnce ? "connections" : "memory");
        mFront.events().log(EventCode.CLIENT_ENDED, mContext.channel().remoteAddress() + "");
        boolean isAnswered = mOwner.isServing() || !atOnce && isReceiving();
        if (!isAnswered) {
            mContext.close();
        } else if (!mIsDiscarding) {
            // What arrives behind a complete request is refused after the response to that one.
            reject(overloaded());
        }
    }

    private void timedOut() {
        reject(
                Problem.of(
                        ErrorKind.REQUEST_TIMEOUT,
                        "the request was not received completely in time"));
    }

    /** Releases everything after the connection has been closed. */
    void close() {
        mTimer.cancel();
        mReader.discard();
        mAccount.close();
    }
}
