package org.coltsfootproxy.net;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import java.util.List;

/**
 * Delimits the messages of one connection for a decoder of Netty, which parses heads and bodies
 * with a length. Heads reach it only as a whole, and chunked bodies not at all.
 */
final class StrictFraming {
    private static final int MAX_CHUNK_BYTES = 64 << 10;

    private final HeadScanner mHead;
    private final Decoder mDecoder;
    private State mState = State.BEFORE_HEAD;
    private ChunkedBodyReader mChunks;

    /** What the next bytes belong to. */
    private enum State {
        BEFORE_HEAD,
        HEAD,
        BODY,
        CHUNKED_BODY,
        INVALID
    }

    /** The decoder of Netty, and what a connection decides on. */
    interface Decoder {
        /** Decodes a head, or a part of a body that is not chunked. */
        void decodeByNetty(ChannelHandlerContext ctx, ByteBuf in, List<Object> out)
                throws Exception;

        /** Makes the decoder expect a head. */
        void reset();

        /** Returns a message that stands for one which could not be decoded. */
        HttpMessage invalidMessage();

        /** Returns the maximum size of a first line, and of all other lines together. */
        int maxHeaderBytes();

        /** Returns the maximum number of fields. */
        int maxFields();

        /** Returns the maximum size of the chunk extensions of a body. */
        long maxExtensionBytes();

        /** Returns whether a head may be parsed; if not, nothing more is decoded. */
        boolean onHead(HeadScanner head);
    }

    /** Returns the configuration of Netty's decoders; its limits on heads are not needed here. */
    static HttpDecoderConfig nettyConfig() {
        return new HttpDecoderConfig()
                .setMaxInitialLineLength(Integer.MAX_VALUE)
                .setMaxHeaderSize(Integer.MAX_VALUE)
                .setMaxChunkSize(MAX_CHUNK_BYTES)
                .setAllowDuplicateContentLengths(false)
                .setStrictLineParsing(true)
                .setUseRfc9112TransferEncoding(true);
    }

    StrictFraming(HeadScanner.StartLine startLine, Decoder decoder) {
        mHead = HeadScanner.ofHeads(startLine);
        mDecoder = decoder;
    }

    /** Decodes received bytes; called as {@code decode} of the decoder. */
    void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) throws Exception {
        try {
            decodeValid(ctx, in, out);
        } catch (InvalidMessageException
                | TooLongHttpHeaderException
                | TooLongHttpLineException e) {
            out.add(invalid(e));
            discardAll();
        }
        if (mState == State.INVALID) {
            in.skipBytes(in.readableBytes());
        }
    }

    private void decodeValid(ChannelHandlerContext ctx, ByteBuf in, List<Object> out)
            throws Exception {
        if (mState == State.BEFORE_HEAD && in.isReadable()) {
            mHead.begin(mDecoder.maxHeaderBytes(), mDecoder.maxFields());
            mState = State.HEAD;
        }
        int before = out.size();
        switch (mState) {
            case HEAD -> {
                if (mHead.isComplete(in)) {
                    decodeHead(ctx, in, out);
                }
            }
            case BODY -> mDecoder.decodeByNetty(ctx, in, out);
            case CHUNKED_BODY -> decodeChunks(ctx, in, out);
            default -> {
                // Invalid input is discarded.
            }
        }
        boolean hasEnded =
                out.subList(before, out.size()).stream()
                        .anyMatch(o -> o instanceof LastHttpContent);
        if (hasEnded && mState != State.INVALID) {
            mState = State.BEFORE_HEAD;
        }
    }

    private void decodeHead(ChannelHandlerContext ctx, ByteBuf in, List<Object> out)
            throws Exception {
        if (!mDecoder.onHead(mHead)) {
            discardAll();
            return;
        }
        int before = out.size();
        mState = State.BODY;
        mDecoder.decodeByNetty(ctx, in, out);
        boolean hasChunks =
                out.size() == before + 1
                        && out.get(before) instanceof HttpMessage head
                        && head.decoderResult().isSuccess()
                        && HttpUtil.isTransferEncodingChunked(head);
        if (hasChunks) {
            mState = State.CHUNKED_BODY;
            mChunks = ChunkedBodyReader.of(mDecoder.maxHeaderBytes(), mDecoder.maxExtensionBytes());
        }
    }

    private void decodeChunks(ChannelHandlerContext ctx, ByteBuf in, List<Object> out)
            throws InvalidMessageException {
        ByteBuf content = ctx.alloc().buffer(Math.max(1, in.readableBytes()));
        boolean hasEnded = false;
        try {
            hasEnded = mChunks.read(in, content);
        } finally {
            // Content before an invalid chunk is content of the message.
            if (content.isReadable()) {
                out.add(new DefaultHttpContent(content));
            } else {
                content.release();
            }
        }
        if (hasEnded) {
            mChunks = null;
            mDecoder.reset();
            out.add(LastHttpContent.EMPTY_LAST_CONTENT);
        }
    }

    private Object invalid(Exception cause) {
        if (mState == State.CHUNKED_BODY) {
            HttpContent content = new DefaultHttpContent(Unpooled.EMPTY_BUFFER);
            content.setDecoderResult(DecoderResult.failure(cause));
            return content;
        }
        HttpMessage message = mDecoder.invalidMessage();
        message.setDecoderResult(DecoderResult.failure(cause));
        return message;
    }

    /** Discards all further input. */
    void discardAll() {
        mState = State.INVALID;
        mChunks = null;
    }

    /** Returns whether the next byte is the first one of a head. */
    boolean isBeforeHead() {
        return mState == State.BEFORE_HEAD;
    }

    /** Returns whether a head has begun to arrive and is not complete. */
    boolean isInHead() {
        return mState == State.HEAD;
    }
}
