package org.coltsfootproxy.fake;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.FullHttpRequest;
import java.io.IOException;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;

/** Handles one connection to a stand-in target. Confined to the target's event loop. */
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
        mState.record().recordArrival(http.headers().names());
        Fault.Kind fault = mState.nextFault();
        switch (fault) {
            case REFUSE -> ctx.close();
            case ERROR -> Responses.send(ctx, 500, new Message("out of order"));
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
            mState.record().recordStart(request.id());
            Responses.send(ctx, 422, new Message("this can't be done"));
        } else if (mState.settings().mode() == FakeTargetSettings.Mode.PLAIN) {
            servePlain(ctx, request, fault);
        } else {
            serveEngine(ctx, request, fault);
        }
    }

    private void servePlain(ChannelHandlerContext ctx, TargetRequest request, Fault.Kind fault) {
        int runs = mState.record().recordStart(request.id());
        ctx.executor()
                .schedule(
                        () -> answerPlain(ctx, request, runs, fault),
                        mState.settings().timing().firstToken().toNanos() / 8,
                        TimeUnit.NANOSECONDS);
    }

    private void answerPlain(
            ChannelHandlerContext ctx, TargetRequest request, int runs, Fault.Kind fault) {
        PlainAnswer answer =
                new PlainAnswer(request.id(), runs, TokenStream.tokenText(request.id(), 0));
        switch (fault) {
            case SILENCE -> {
                // Never answered.
            }
            case CUT -> {
                var response = Responses.fullJson(200, answer);
                response.headers().set("Content-Length", response.content().readableBytes() + 1);
                ctx.writeAndFlush(response);
                ctx.close();
            }
            default -> {
                mState.record().recordCompletion(request.id());
                Responses.send(ctx, 200, answer);
                if (fault == Fault.Kind.CROSSED) {
                    Responses.send(ctx, 200, new PlainAnswer("crossed", 0, ""));
                }
            }
        }
    }

    private void serveEngine(ChannelHandlerContext ctx, TargetRequest request, Fault.Kind fault) {
        long now = System.nanoTime();
        switch (request.path()) {
            case "/cache-events" ->
                    Responses.send(
                            ctx,
                            200,
                            new Events(mState.reports().events(request.number("after", 0), now)));
            case "/load" -> Responses.send(ctx, 200, mState.reports().load(now));
            case "/orders" -> applyOrder(ctx, request.body());
            case "/cancel" -> cancel(ctx, request);
            default -> {
                mStream = new TokenStream(mState, ctx, request, fault);
                mStream.begin();
            }
        }
    }

    private void applyOrder(ChannelHandlerContext ctx, JsonNode body) {
        Orders.State previous = mState.orders().state();
        Orders.State order =
                new Orders.State(
                        body.path("fence").asLong(0),
                        body.path("model").asText(previous.model()),
                        body.path("role").asText(previous.role()));
        boolean applied = mState.orders().apply(order);
        Responses.send(ctx, applied ? 200 : 409, mState.orders().state());
    }

    private void cancel(ChannelHandlerContext ctx, TargetRequest request) {
        TokenStream stream = mState.streams().get(request.id());
        if (stream != null) {
            stream.stop();
        }
        Responses.send(ctx, stream == null ? 404 : 200, new Message("cancel"));
    }

    private void control(ChannelHandlerContext ctx, TargetRequest request) {
        switch (request.path()) {
            case "/__record" -> Responses.send(ctx, 200, mState.record().snapshot());
            case "/__reset" -> {
                mState.record().reset();
                Responses.send(ctx, 200, new Message("reset"));
            }
            case "/__fault" -> setFault(ctx, request);
            default -> Responses.send(ctx, 404, new Message("no such control"));
        }
    }

    private void setFault(ChannelHandlerContext ctx, TargetRequest request) {
        String kind = request.parameter("kind", "none").toUpperCase(Locale.ROOT);
        try {
            mState.setFault(
                    new Fault(
                            Fault.Kind.valueOf(kind),
                            (int) request.number("every", 1),
                            request.number("delayMillis", 0)));
            Responses.send(ctx, 200, mState.fault());
        } catch (IllegalArgumentException e) {
            Responses.send(ctx, 400, new Message("no such fault: " + e.getMessage()));
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
                    .log(System.Logger.Level.WARNING, "stand-in target: connection failed", cause);
        }
        ctx.close();
    }
}
