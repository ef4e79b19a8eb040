package org.coltsfootproxy.fake;

import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.Locale;
import java.util.concurrent.TimeUnit;

/**
 * One request in an engine's batch: a token each time the batch has made a step. Confined to the
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
    private int mNext;
    private boolean mEnded;

    /** One token as it is sent. */
    record Token(String id, int index, String text) {}

    /** A whole answer. */
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
        int wanted = request.body().path("max_tokens").asInt(DEFAULT_TOKENS);
        mTokens = Math.max(1, Math.min(MAX_TOKENS, wanted));
        mNext = Math.max(0, Math.min(mTokens, request.body().path("offset").asInt(0)));
        mStreaming = request.body().path("stream").asBoolean(false);
    }

    /** Returns the text of one token; it depends on the request alone. */
    static String word(String id, int index) {
        return String.format(Locale.ROOT, "w%04x ", (id.hashCode() * 31 + index) & 0xffff);
    }

    /** Lets the request into the batch. */
    void begin() {
        mState.record().started(mRequest.id());
        mState.streams().put(mRequest.id(), this);
        mState.engine().enter();
        long now = System.nanoTime();
        String prompt = mRequest.body().path("prompt").asText("");
        EngineModel.Lookup lookup = mState.engine().cache(prompt);
        mState.reports().cached(lookup, now);
        mState.reports().load(mState.engine(), now);
        later(mState.engine().firstTokenNanos(prompt.length(), lookup), this::first);
    }

    private void first() {
        if (mStreaming && !mEnded && mFault != Fault.Kind.SILENCE) {
            Answers.beginEvents(mContext);
        }
        step();
    }

    private void step() {
        if (mEnded) {
            return;
        }
        if (mNext < mTokens) {
            emit(mNext++);
        }
        if (mFault == Fault.Kind.CUT && mNext >= (mTokens + 1) / 2) {
            cut();
        } else if (mNext < mTokens) {
            later(mState.engine().tokenNanos(), this::step);
        } else {
            finish();
        }
    }

    private void emit(int index) {
        String word = word(mRequest.id(), index);
        if (!mStreaming) {
            mText.append(word);
        } else if (mFault != Fault.Kind.SILENCE) {
            Answers.event(
                    mContext,
                    new String(
                            Answers.json(new Token(mRequest.id(), index, word)),
                            java.nio.charset.StandardCharsets.UTF_8));
        }
    }

    private void cut() {
        stop();
        if (!mStreaming) {
            // A length that is never reached.
            var whole = Answers.whole(200, new Completion(mRequest.id(), mTokens, "cut"));
            whole.headers().set("Content-Length", whole.content().readableBytes() + 1);
            mContext.writeAndFlush(whole);
        }
        mContext.close();
    }

    private void finish() {
        stop();
        if (mFault == Fault.Kind.SILENCE) {
            return;
        }
        // Noted first, so that whoever has read the answer finds it in the record.
        mState.record().completed(mRequest.id());
        if (mStreaming) {
            Answers.event(mContext, "[DONE]");
            mContext.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
        } else {
            Answers.send(mContext, 200, new Completion(mRequest.id(), mTokens, mText.toString()));
        }
        if (mFault == Fault.Kind.CROSSED) {
            Answers.send(mContext, 200, new Completion("crossed", 0, "nobody asked"));
        }
    }

    /** Takes the request out of the batch. */
    void stop() {
        if (mEnded) {
            return;
        }
        mEnded = true;
        mState.streams().remove(mRequest.id(), this);
        mState.engine().leave();
        mState.reports().load(mState.engine(), System.nanoTime());
    }

    private void later(long nanos, Runnable task) {
        mContext.executor().schedule(task, nanos, TimeUnit.NANOSECONDS);
    }
}
