package org.coltsfootproxy.control;

import java.util.List;
import java.util.Optional;
import org.coltsfootproxy.base.ErrorKind;
import org.coltsfootproxy.base.EventCode;
import org.coltsfootproxy.base.ProxyException;
import org.coltsfootproxy.config.ConfigCommand;
import org.coltsfootproxy.config.QuorumRead;
import org.coltsfootproxy.message.Header;
import org.coltsfootproxy.node.Effect;
import org.coltsfootproxy.node.Effects;
import org.coltsfootproxy.node.Input;
import org.coltsfootproxy.node.Problem;

/** Answers operators who speak by a platform's own protocol. */
final class PlatformOperatorApi {
    private static final int OK = 200;
    private static final byte[] NOTHING = {'{', '}'};

    private final OperatorProtocol mProtocol;
    private final FleetCoordinator mFleet;
    private final RaftGroup mGroup;
    private final ConfigStateMachine mMachine;
    private final ProposalForwarder mOrders;
    private boolean mIsStopping;

    PlatformOperatorApi(
            OperatorProtocol protocol,
            FleetCoordinator fleet,
            RaftGroup group,
            ConfigStateMachine machine,
            ProposalForwarder orders) {
        mProtocol = protocol;
        mFleet = fleet;
        mGroup = group;
        mMachine = machine;
        mOrders = orders;
    }

    /** Takes no further orders, as this host is about to stop. */
    void stop() {
        mIsStopping = true;
    }

    /** Answers a call of the platform's protocol; returns false if it is none. */
    boolean handle(Input.HttpCall call, long nowNanos, Effects out) {
        try {
            Optional<OperatorCall> asked = mProtocol.read(call);
            if (asked.isPresent()) {
                answer(call.call(), asked.get(), nowNanos, out);
            }
            return asked.isPresent();
        } catch (ProxyException e) {
            out.log(EventCode.TICKET_REFUSED, e.kind().label() + ": " + e.getMessage());
            Problem.from(e).answer(call.call(), out);
            return true;
        }
    }

    private void answer(long call, OperatorCall asked, long nowNanos, Effects out)
            throws ProxyException {
        if (asked instanceof OperatorCall.ReadConfig) {
            mGroup.read(new DocumentRead(call, out));
        } else if (asked instanceof OperatorCall.ReadRetirement read) {
            mGroup.read(new RetirementRead(call, read.hostName(), nowNanos, out));
        } else if (mIsStopping) {
            throw ProxyException.of(ErrorKind.STOPPING, "this host is stopping; use another one");
        } else if (asked instanceof OperatorCall.ReplaceConfig replace) {
            var command = new ConfigCommand.ReplaceAll(replace.ticket(), replace.document());
            byte[] bytes = ConfigStateMachine.configCommand(command.encode());
            var outcome = new TicketResponder(call, replace.ticket().number(), out);
            mOrders.command(0, bytes, outcome, nowNanos, out);
        } else if (asked instanceof OperatorCall.RetireHost retire) {
            retire(call, retire.hostName(), nowNanos, out);
        }
    }

    private void retire(long call, String name, long nowNanos, Effects out) throws ProxyException {
        Optional<FleetCommand> command = mFleet.retire(name, nowNanos);
        if (command.isEmpty()) {
            send(call, NOTHING, out);
            return;
        }
        byte[] bytes = ConfigStateMachine.fleetCommand(command.get());
        mOrders.command(0, bytes, new RetireOutcome(call, name, out), nowNanos, out);
    }

    private static void send(long call, byte[] json, Effects out) {
        List<Header> headers =
                List.of(
                        Header.of("Content-Type", "application/json"),
                        Header.of("Content-Length", Integer.toString(json.length)));
        out.add(new Effect.HttpHead(call, OK, headers));
        out.add(new Effect.HttpChunk(call, json));
        out.add(new Effect.HttpEnd(call));
    }

    private static void unconfirmed(long call, String why, Effects out) {
        Problem.of(ErrorKind.NO_LEADER, why).answer(call, out);
    }

    /** Answers an order to empty a host. */
    private static final class RetireOutcome implements ProposalForwarder.Outcome {
        private final long mCall;
        private final String mName;
        private final Effects mOut;

        RetireOutcome(long call, String name, Effects out) {
            mCall = call;
            mName = name;
            mOut = out;
        }

        @Override
        public void done(byte[] result) {
            mOut.log(EventCode.HOST_RETIRING, mName);
            send(mCall, NOTHING, mOut);
        }

        @Override
        public void failed(ErrorKind kind) {
            Problem.of(kind, "retiring " + mName + ": " + kind.title()).answer(mCall, mOut);
        }
    }

    /** Shows the document only once a quorum has confirmed that it is the latest. */
    private final class DocumentRead implements QuorumRead.Done {
        private final long mCall;
        private final Effects mOut;

        DocumentRead(long call, Effects out) {
            mCall = call;
            mOut = out;
        }

        @Override
        public void confirmed() {
            mMachine.config()
                    .document()
                    .ifPresentOrElse(
                            document -> send(mCall, document.text(), mOut),
                            () -> unconfirmed(mCall, "there is no configuration yet", mOut));
        }

        @Override
        public void failed() {
            unconfirmed(mCall, "no quorum confirms the configuration", mOut);
        }
    }

    /** Shows how far a host is emptied, by what a quorum has confirmed. */
    private final class RetirementRead implements QuorumRead.Done {
        private final long mCall;
        private final String mName;
        private final long mNowNanos;
        private final Effects mOut;

        RetirementRead(long call, String name, long nowNanos, Effects out) {
            mCall = call;
            mName = name;
            mNowNanos = nowNanos;
            mOut = out;
        }

        @Override
        public void confirmed() {
            try {
                boolean isRetired = mFleet.isRetired(mName, mNowNanos);
                send(mCall, mProtocol.retirement(isRetired), mOut);
            } catch (ProxyException e) {
                Problem.from(e).answer(mCall, mOut);
            }
        }

        @Override
        public void failed() {
            unconfirmed(mCall, "no quorum confirms the state of " + mName, mOut);
        }
    }
}
