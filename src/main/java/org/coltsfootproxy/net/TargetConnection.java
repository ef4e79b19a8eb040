package org.coltsfootproxy.net;

import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
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
import io.netty.util.concurrent.ScheduledFuture;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.coltsfootproxy.base.ErrorKind;
import org.coltsfootproxy.base.EventCode;
import org.coltsfootproxy.base.Ran;
import org.coltsfootproxy.node.Input;

/**
 * One connection to the target, which carries one call at a time.
 *
 * <p>It is used again only after a whole answer that leaves it open and brings no byte more than
 * was asked for. Confined to its event loop.
 */
final class TargetConnection extends ChannelInboundHandlerAdapter {
    private static final int SWITCHING_PROTOCOLS = 101;

    private final TargetPool mPool;
    private final Channel mChannel;
    private final AnswerDecoder mDecoder;
    private final Intake mIntake;
    private TargetTask mTask;
    private boolean mInterim;
    private boolean mKeepAlive;
    private boolean mWritten;
    private boolean mAnswerEnded;
    private boolean mIsForeign;
    private OptionalLong mKeepAliveNanos = OptionalLong.empty();
    private ScheduledFuture<?> mIdleTimer;

    TargetConnection(TargetPool pool, Channel channel, AnswerDecoder decoder) {
        mPool = pool;
        mChannel = channel;
        mDecoder = decoder;
        mIntake = Intake.of(channel, pool.sink());
    }

    /** Tells whether a call may be sent. */
    boolean isUsable() {
        return mChannel.isActive() && mTask == null;
    }

    /** Sends a call. */
    void begin(TargetTask task) {
        stopIdleTimer();
        mTask = task;
        mAnswerEnded = false;
        mInterim = false;
        mIsForeign = false;
        task.carriedBy(this);
        FullHttpRequest request =
                TargetRequests.encode(
                        task.request(), mPool.hostField(), mPool.dialect().keepsHost());
        mDecoder.expect(task.request().method().equals("HEAD"));
        task.advance(TargetTask.Step.SENT);
        mWritten = false;
        mChannel.writeAndFlush(request)
                .addListener(ChannelFutureListener.CLOSE_ON_FAILURE)
                .addListener(f -> mWritten = f.isSuccess());
    }

    /** Closes the connection; what it carries is lost. */
    void close() {
        mTask = null;
        mChannel.close();
    }

    /** Closes the connection after a time without use. */
    void idle(long nanos) {
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
            if (mTask == null || mTask.isEnded() || mAnswerEnded) {
                unsolicited();
            } else {
                read((HttpObject) message);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private void read(HttpObject message) {
        if (message.decoderResult().isFailure()) {
            fail(brokenKind(), "malformed answer: " + message.decoderResult().cause().getMessage());
            return;
        }
        if (message instanceof HttpResponse head) {
            mIsForeign = isForeign(head);
            if (mIsForeign) {
                mPool.events().log(EventCode.TARGET_UNSOLICITED, mPool.hostField());
            } else {
                readHead(head);
            }
        }
        if (mTask != null && !mIsForeign && message instanceof HttpContent content) {
            readContent(content);
        }
    }

    /** Tells whether an answer belongs to another call, one that was given up or sent twice. */
    private boolean isForeign(HttpResponse head) {
        return mPool.dialect()
                .correlationHeader()
                .filter(name -> head.headers().contains(name))
                .filter(name -> !mTask.request().hasHeader(name, head.headers().get(name)))
                .isPresent();
    }

    private void readHead(HttpResponse head) {
        mInterim = head.status().codeClass() == HttpStatusClass.INFORMATIONAL;
        if (head.status().code() == SWITCHING_PROTOCOLS) {
            fail(ErrorKind.TARGET_FAILED, "the target switched protocols");
        }
        if (mInterim) {
            return;
        }
        mTask.advance(TargetTask.Step.ANSWERED);
        Optional<String> fault =
                AnswerCheck.fault(head, mTask.request().method(), mPool.dialect().endsByClosing());
        if (fault.isPresent()) {
            fail(ErrorKind.TARGET_FAILED, fault.get());
            return;
        }
        mKeepAlive = HttpUtil.isKeepAlive(head) && isFramed(head);
        mKeepAliveNanos = KeepAlive.nanos(head.headers().get("keep-alive"));
        mIntake.offer(
                new Input.TargetHead(
                        mTask.call(), head.status().code(), HopByHop.endToEnd(head.headers())));
    }

    private static boolean isFramed(HttpResponse head) {
        return HttpUtil.isTransferEncodingChunked(head) || HttpUtil.isContentLengthSet(head);
    }

    /** Returns how long the target keeps the connection unused, if its last answer said so. */
    OptionalLong keepAliveNanos() {
        return mKeepAliveNanos;
    }

    private void readContent(HttpContent content) {
        if (mInterim) {
            return;
        }
        if (content.content().isReadable()) {
            byte[] bytes = ByteBufUtil.getBytes(content.content());
            mIntake.offer(new Input.TargetChunk(mTask.call(), bytes));
        }
        if (content instanceof LastHttpContent) {
            mAnswerEnded = true;
            mIntake.offer(new Input.TargetEnd(mTask.call()));
            mPool.ended(mTask);
            mTask.end();
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        if (!mAnswerEnded || mTask == null) {
            return;
        }
        mTask = null;
        if (mDecoder.hasUnreadBytes()) {
            unsolicited();
        } else if (mKeepAlive && mWritten) {
            mPool.release(this);
        } else {
            mChannel.close();
        }
    }

    private void unsolicited() {
        if (mChannel.isActive()) {
            mPool.events().log(EventCode.TARGET_UNSOLICITED, mPool.hostField());
        }
        mTask = null;
        mChannel.close();
    }

    private ErrorKind brokenKind() {
        boolean begun = mTask.step() == TargetTask.Step.ANSWERED;
        return begun ? ErrorKind.ANSWER_CUT : ErrorKind.TARGET_FAILED;
    }

    private void fail(ErrorKind kind, String detail) {
        TargetTask task = mTask;
        mTask = null;
        mChannel.close();
        Ran ran = task.step().ran();
        mPool.ended(task);
        task.end();
        mIntake.offer(new Input.TargetFailed(task.call(), kind, ran, detail));
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        stopIdleTimer();
        mPool.closed(this);
        if (mTask != null && !mTask.isEnded()) {
            fail(brokenKind(), "the target closed the connection");
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (mTask != null && !mTask.isEnded()) {
            fail(brokenKind(), "connection to the target: " + cause.getMessage());
        }
        ctx.close();
    }
}
