package org.coltsfootproxy.fake;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.FullHttpRequest;
import java.io.IOException;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;

/** One connection to a stand-in target. Confined to the target's event loop. */
final class TargetHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
    private static final String IMPOSSIBLE = "impossible";

    private final TargetState mState;
    private TokenStream mStream;

    TargetHandler(TargetState state) {
        mState = state;
    }

    private record PlainAnswer(String id, int runs, String record) {}

    private record Events(List<EngineReports.CacheEvent> events) {}

    private record Message(String message) {}

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest http) {
        TargetRequest request = TargetRequest.from(http);
        if (request.path().startsWith("/__")) {
            control(ctx, request);
            return;
        }
        mState.record().arrived(http.headers().names());
        Fault.Kind fault = mState.nextFault();
        switch (fault) {
            case REFUSE -> ctx.close();
            case ERROR -> Answers.send(ctx, 500, new Message("out of order"));
            case LATE ->
                    ctx.executor()
                            .schedule(
                                    () -> serve(ctx, request, fault),
                                    mState.fault().delayMillis(),
                                    TimeUnit.MILLISECONDS);
            default -> serve(ctx, request, fault);
        }
    }

    private void serve(ChannelHandlerContext ctx, TargetRequest request, Fault.Kind fault) {
        if (request.body().path(IMPOSSIBLE).asBoolean(false)) {
            mState.record().started(request.id());
            Answers.send(ctx, 422, new Message("this can't be done"));
        } else if (mState.settings().mode() == FakeTargetSettings.Mode.PLAIN) {
            servePlain(ctx, request, fault);
        } else {
            serveEngine(ctx, request, fault);
        }
    }

    private void servePlain(ChannelHandlerContext ctx, TargetRequest request, Fault.Kind fault) {
        int runs = mState.record().started(request.id());
        ctx.executor()
                .schedule(
                        () -> answerPlain(ctx, request, runs, fault),
                        mState.settings().timing().firstToken().toNanos() / 8,
                        TimeUnit.NANOSECONDS);
    }

    private void answerPlain(
            ChannelHandlerContext ctx, TargetRequest request, int runs, Fault.Kind fault) {
        PlainAnswer answer = new PlainAnswer(request.id(), runs, TokenStream.word(request.id(), 0));
        switch (fault) {
            case SILENCE -> {
                // The answer never comes.
            }
            case CUT -> {
                var whole = Answers.whole(200, answer);
                whole.headers().set("Content-Length", whole.content().readableBytes() + 1);
                ctx.writeAndFlush(whole);
                ctx.close();
            }
            default -> {
                mState.record().completed(request.id());
                Answers.send(ctx, 200, answer);
                if (fault == Fault.Kind.CROSSED) {
                    Answers.send(ctx, 200, new PlainAnswer("crossed", 0, ""));
                }
            }
        }
    }

    private void serveEngine(ChannelHandlerContext ctx, TargetRequest request, Fault.Kind fault) {
        long now = System.nanoTime();
        switch (request.path()) {
            case "/cache-events" ->
                    Answers.send(
                            ctx,
                            200,
                            new Events(mState.reports().events(request.number("after", 0), now)));
            case "/load" -> Answers.send(ctx, 200, mState.reports().load(now));
            case "/orders" -> order(ctx, request.body());
            case "/cancel" -> cancel(ctx, request);
            default -> {
                mStream = new TokenStream(mState, ctx, request, fault);
                mStream.begin();
            }
        }
    }

    private void order(ChannelHandlerContext ctx, JsonNode body) {
        Orders.State old = mState.orders().state();
        Orders.State order =
                new Orders.State(
                        body.path("fence").asLong(0),
                        body.path("model").asText(old.model()),
                        body.path("role").asText(old.role()));
        boolean obeyed = mState.orders().obey(order);
        Answers.send(ctx, obeyed ? 200 : 409, mState.orders().state());
    }

    private void cancel(ChannelHandlerContext ctx, TargetRequest request) {
        TokenStream stream = mState.streams().get(request.id());
        if (stream != null) {
            stream.stop();
        }
        Answers.send(ctx, stream == null ? 404 : 200, new Message("cancel"));
    }

    private void control(ChannelHandlerContext ctx, TargetRequest request) {
        switch (request.path()) {
            case "/__record" -> Answers.send(ctx, 200, mState.record().snapshot());
            case "/__reset" -> {
                mState.record().reset();
                Answers.send(ctx, 200, new Message("reset"));
            }
            case "/__fault" -> fault(ctx, request);
            default -> Answers.send(ctx, 404, new Message("no such control"));
        }
    }

    private void fault(ChannelHandlerContext ctx, TargetRequest request) {
        String kind = request.parameter("kind", "none").toUpperCase(Locale.ROOT);
        try {
            mState.setFault(
                    new Fault(
                            Fault.Kind.valueOf(kind),
                            (int) request.number("every", 1),
                            request.number("delayMillis", 0)));
            Answers.send(ctx, 200, mState.fault());
        } catch (IllegalArgumentException e) {
            Answers.send(ctx, 400, new Message("no such fault: " + e.getMessage()));
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        if (mStream != null) {
            mStream.stop();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (!(cause instanceof IOException)) {
            System.getLogger(TargetHandler.class.getName())
                    .log(System.Logger.Level.WARNING, "stand-in target failed", cause);
        }
        ctx.close();
    }
}
