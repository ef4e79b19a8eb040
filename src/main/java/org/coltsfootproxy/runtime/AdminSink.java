package org.coltsfootproxy.runtime;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.coltsfootproxy.base.ErrorKind;
import org.coltsfootproxy.base.Metric;
import org.coltsfootproxy.message.Header;
import org.coltsfootproxy.net.ClientMemory;
import org.coltsfootproxy.net.HttpFront;
import org.coltsfootproxy.net.InputSink;
import org.coltsfootproxy.node.Effect;
import org.coltsfootproxy.node.Effects;
import org.coltsfootproxy.node.Input;
import org.coltsfootproxy.node.Problem;

/**
 * Serves {@code /metrics}, {@code /healthz} and {@code /readyz}, and forwards other calls to the
 * node if it handles operators' calls.
 */
final class AdminSink implements InputSink {
    private static final int OK = 200;
    private static final int UNAVAILABLE = 503;

    private final Metrics mMetrics;
    private final BooleanSupplier mReady;
    private final Supplier<HttpFront> mFront;
    private final InputSink mNode;

    private AdminSink(
            Metrics metrics, BooleanSupplier ready, Supplier<HttpFront> front, InputSink node) {
        mMetrics = metrics;
        mReady = ready;
        mFront = front;
        mNode = node;
    }

    /**
     * Returns a sink.
     *
     * @param front the server that receives the calls
     * @param node null unless the node handles operators' calls
     */
    static AdminSink create(
            Metrics metrics, BooleanSupplier ready, Supplier<HttpFront> front, InputSink node) {
        return new AdminSink(metrics, ready, front, node);
    }

    @Override
    public boolean offer(Input input) {
        if (!(input instanceof Input.HttpCall call)) {
            return mNode == null || mNode.offer(input);
        }
        switch (call.path()) {
            case "/metrics" -> answerMetrics(call);
            case "/healthz" -> answer(call, OK, "text/plain", utf8("ok\n"));
            case "/readyz" -> answerReadiness(call);
            default -> {
                return forwardToNode(call);
            }
        }
        return true;
    }

    private void answerMetrics(Input.HttpCall call) {
        mMetrics.record(Metric.CLIENT_BYTES, "", "", ClientMemory.ofProcess().heldBytes());
        answer(call, OK, "text/plain; version=0.0.4", mMetrics.exposition());
    }

    private void answerReadiness(Input.HttpCall call) {
        boolean isReady = mReady.getAsBoolean();
        byte[] body = utf8(isReady ? "ready\n" : "not ready\n");
        answer(call, isReady ? OK : UNAVAILABLE, "text/plain", body);
    }

    private boolean forwardToNode(Input.HttpCall call) {
        if (mNode != null) {
            return mNode.offer(call);
        }
        String detail = "this host serves only /metrics, /healthz and /readyz";
        Problem.of(ErrorKind.NOT_FOUND, detail).answer(call.call(), effects());
        return true;
    }

    private static byte[] utf8(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private void answer(Input.HttpCall call, int status, String type, byte[] body) {
        List<Header> headers =
                List.of(
                        Header.of("Content-Type", type),
                        Header.of("Content-Length", Integer.toString(body.length)));
        Effects out = effects();
        out.add(new Effect.HttpHead(call.call(), status, headers));
        out.add(new Effect.HttpChunk(call.call(), body));
        out.add(new Effect.HttpEnd(call.call()));
    }

    private Effects effects() {
        HttpFront front = mFront.get();
        return effect -> {
            if (effect instanceof Effect.HttpHead head) {
                front.execute(head);
            } else if (effect instanceof Effect.HttpChunk chunk) {
                front.execute(chunk);
            } else if (effect instanceof Effect.HttpEnd end) {
                front.execute(end);
            }
        };
    }
}
