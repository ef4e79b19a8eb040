package org.coltsfootproxy.fake;

import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.Locale;
import java.util.concurrent.TimeUnit;

/**
 * One request in an engine's batch, which produces one token per batch step. Confined to the
 * target's event loop.
 */
final class TokenStream {
    private static final int MAX_TOKENS = 10_000;
    private static final int DEFAULT_TOKENS = 16;

    private final TargetState mState;
    private final ChannelHandlerContext mContext;
    private final TargetRequest mRequest;
    private final Fault.Kind mFault;
    private final int mTokens;
    private final boolean mStreaming;
    private final StringBuilder mText = new StringBuilder();
    private int mNextIndex;
    private boolean mEnded;

    /** A token as sent in a server-sent event. */
    record Token(String id, int index, String text) {}

    /** The answer to a request that does not stream. */
    record Completion(String id, int tokens, String text) {}

    TokenStream(
            TargetState state,
            ChannelHandlerContext context,
            TargetRequest request,
            Fault.Kind fault) {
        mState = state;
        mContext = context;
        mRequest = request;
        mFault = fault;
        int requestedTokens = request.body().path("max_tokens").asInt(DEFAULT_TOKENS);
        mTokens = Math.max(1, Math.min(MAX_TOKENS, requestedTokens));
        mNextIndex = Math.max(0, Math.min(mTokens, request.body().path("offset").asInt(0)));
        mStreaming = request.body().path("stream").asBoolean(false);
    }

    /** Returns the text of one token, which is a function of the request id and the index. */
    static String tokenText(String id, int index) {
        return String.format(Locale.ROOT, "w%04x ", (id.hashCode() * 31 + index) & 0xffff);
    }

    /** Adds the request to the batch. */
    void begin() {
        mState.record().recordStart(mRequest.id());
        mState.streams().put(mRequest.id(), this);
        mState.engine().joinBatch();
        long now = System.nanoTime();
        String prompt = mRequest.body().path("prompt").asText("");
        EngineModel.Lookup lookup = mState.engine().lookUpAndCache(prompt);
        mState.reports().recordCacheChanges(lookup, now);
        mState.reports().recordLoad(mState.engine(), now);
        schedule(mState.engine().firstTokenNanos(prompt.length(), lookup), this::onFirstToken);
    }

    private void onFirstToken() {
        if (mStreaming && !mEnded && mFault != Fault.Kind.SILENCE) {
            Responses.startEventStream(mContext);
        }
        step();
    }

    private void step() {
        if (mEnded) {
            return;
        }
        if (mNextIndex < mTokens) {
            emitToken(mNextIndex++);
        }
        if (mFault == Fault.Kind.CUT && mNextIndex >= (mTokens + 1) / 2) {
            cutAnswer();
        } else if (mNextIndex < mTokens) {
            schedule(mState.engine().tokenNanos(), this::step);
        } else {
            finish();
        }
    }

    private void emitToken(int index) {
        String text = tokenText(mRequest.id(), index);
        if (!mStreaming) {
            mText.append(text);
        } else if (mFault != Fault.Kind.SILENCE) {
            Responses.sendEvent(
                    mContext,
                    new String(
                            Responses.json(new Token(mRequest.id(), index, text)),
                            java.nio.charset.StandardCharsets.UTF_8));
        }
    }

    private void cutAnswer() {
        stop();
        if (!mStreaming) {
            // Announces one byte more than is sent.
            var response = Responses.fullJson(200, new Completion(mRequest.id(), mTokens, "cut"));
            response.headers().set("Content-Length", response.content().readableBytes() + 1);
            mContext.writeAndFlush(response);
        }
        mContext.close();
    }

    private void finish() {
        stop();
        if (mFault == Fault.Kind.SILENCE) {
            return;
        }
        // Recorded before sending, so that a client that has the answer also finds the record.
        mState.record().recordCompletion(mRequest.id());
        if (mStreaming) {
            Responses.sendEvent(mContext, "[DONE]");
            mContext.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
        } else {
            Responses.send(mContext, 200, new Completion(mRequest.id(), mTokens, mText.toString()));
        }
        if (mFault == Fault.Kind.CROSSED) {
            Responses.send(mContext, 200, new Completion("crossed", 0, "nobody asked"));
        }
    }

    /** Removes the request from the batch, if it is still there. */
    void stop() {
        if (mEnded) {
            return;
        }
        mEnded = true;
        mState.streams().remove(mRequest.id(), this);
        mState.engine().leaveBatch();
        mState.reports().recordLoad(mState.engine(), System.nanoTime());
    }

    private void schedule(long nanos, Runnable task) {
        mContext.executor().schedule(task, nanos, TimeUnit.NANOSECONDS);
    }
}
