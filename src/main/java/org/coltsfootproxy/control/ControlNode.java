package org.coltsfootproxy.control;

import java.util.Optional;
import java.util.Random;
import org.coltsfootproxy.base.ErrorKind;
import org.coltsfootproxy.base.EventCode;
import org.coltsfootproxy.base.ProxyException;
import org.coltsfootproxy.config.ConfigCommand;
import org.coltsfootproxy.config.ConfigPublisher;
import org.coltsfootproxy.config.ConfigResult;
import org.coltsfootproxy.config.ConfigState;
import org.coltsfootproxy.config.KeyDigest;
import org.coltsfootproxy.config.Ticket;
import org.coltsfootproxy.config.TicketParser;
import org.coltsfootproxy.config.Verdict;
import org.coltsfootproxy.consensus.Proposer;
import org.coltsfootproxy.message.ConfigMessage;
import org.coltsfootproxy.node.Effects;
import org.coltsfootproxy.node.Input;
import org.coltsfootproxy.node.JsonAnswer;
import org.coltsfootproxy.node.Node;
import org.coltsfootproxy.node.Problem;

/** The control role: hosts the replicated logs and serves operators and subscribers. */
public final class ControlNode implements Node {
    private static final String BEARER = "Bearer ";

    private final ControlSettings mSettings;
    private final ConfigState mState = ConfigState.create();
    private final LocalGroup mGroup;
    private final ConfigPublisher mPublisher;
    private final OperatorApi mApi;
    private boolean mIsStopping;

    private ControlNode(ControlSettings settings) {
        mSettings = settings;
        mGroup = new LocalGroup(settings.self(), mState);
        mPublisher = ConfigPublisher.create(mState, mGroup, settings.timing());
        mApi = new OperatorApi(mState);
    }

    /** Returns a control host. */
    public static ControlNode create(ControlSettings settings, Random random) {
        return new ControlNode(settings);
    }

    @Override
    public void start(long nowNanos, Effects out) {
        mPublisher.start(nowNanos);
    }

    @Override
    public void handle(Input input, long nowNanos, Effects out) {
        if (input instanceof Input.HttpCall call) {
            onCall(call, out);
        } else if (input instanceof Input.FromPeer peer
                && peer.message() instanceof ConfigMessage.Subscribe subscribe) {
            mPublisher.handle(peer.from(), subscribe, nowNanos, out);
        } else if (input instanceof Input.PeerLost lost) {
            mPublisher.peerLost(lost.host());
        } else if (input instanceof Input.PlannedStop) {
            mIsStopping = true;
            mPublisher.stop(out);
        }
        mPublisher.tick(nowNanos, out);
    }

    @Override
    public void tick(long nowNanos, Effects out) {
        mPublisher.tick(nowNanos, out);
    }

    @Override
    public long nextTickNanos() {
        return mPublisher.nextTickNanos();
    }

    @Override
    public boolean isDrained() {
        return mIsStopping;
    }

    private void onCall(Input.HttpCall call, Effects out) {
        try {
            answer(call, out);
        } catch (ProxyException e) {
            Problem.from(e).answer(call.call(), out);
        }
    }

    private void answer(Input.HttpCall call, Effects out) throws ProxyException {
        String path = call.path().split("\\?", 2)[0];
        if (path.equals("/healthz") || path.equals("/readyz")) {
            JsonAnswer.send(call.call(), 200, new OperatorAnswers.Health("ok", null), out);
            return;
        }
        authenticate(call);
        if (path.equals("/v1/tickets") && call.method().equals("POST")) {
            apply(call, out);
        } else if (path.equals("/v1/tickets")) {
            JsonAnswer.send(call.call(), 200, mApi.tickets(), out);
        } else if (path.startsWith("/v1/tickets/")) {
            String number = path.substring("/v1/tickets/".length());
            JsonAnswer.send(call.call(), 200, mApi.ticket(number), out);
        } else if (path.equals("/v1/config")) {
            JsonAnswer.send(call.call(), 200, mApi.config(), out);
        } else {
            throw ProxyException.of(ErrorKind.NOT_FOUND, "no such path: " + path);
        }
    }

    private void authenticate(Input.HttpCall call) throws ProxyException {
        Optional<String> key =
                call.headers().stream()
                        .filter(h -> h.name().equalsIgnoreCase("authorization"))
                        .map(h -> h.value())
                        .filter(value -> value.startsWith(BEARER))
                        .map(value -> value.substring(BEARER.length()).trim())
                        .findFirst();
        String digest = mSettings.operatorKeyDigest();
        if (key.filter(k -> KeyDigest.matches(k, digest)).isEmpty()) {
            throw ProxyException.of(
                    ErrorKind.UNAUTHENTICATED, "operators' key is missing or wrong");
        }
    }

    private void apply(Input.HttpCall call, Effects out) throws ProxyException {
        Ticket ticket = TicketParser.parse(call.body());
        byte[] command = new ConfigCommand.ApplyTicket(ticket).encode();
        mGroup.propose(command, new TicketCompletion(call.call(), out));
    }

    /** Answers the operator who sent a ticket. */
    private static final class TicketCompletion implements Proposer.Completion {
        private final long mCall;
        private final Effects mOut;

        TicketCompletion(long call, Effects out) {
            mCall = call;
            mOut = out;
        }

        @Override
        public void committed(long index, byte[] result) {
            try {
                answer(ConfigResult.verdict(result));
            } catch (ProxyException e) {
                Problem.of(ErrorKind.INTERNAL, e.getMessage()).answer(mCall, mOut);
            }
        }

        private void answer(Verdict verdict) {
            String what = "ticket " + verdict.ticket();
            if (verdict.isAccepted()) {
                mOut.log(EventCode.TICKET_ACCEPTED, what + ", version " + verdict.version());
                JsonAnswer.send(mCall, 200, OperatorAnswers.Ticket.of(verdict), mOut);
            } else {
                mOut.log(EventCode.TICKET_REFUSED, what + ": " + verdict.detail());
                Problem.of(verdict.outcome().kind(), verdict.detail()).answer(mCall, mOut);
            }
        }

        @Override
        public void failed(ErrorKind kind) {
            Problem.of(kind, kind.title()).answer(mCall, mOut);
        }
    }
}
