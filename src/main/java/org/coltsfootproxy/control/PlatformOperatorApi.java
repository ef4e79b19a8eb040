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

/** Answers operators' calls in the platform's own protocol. */
final class PlatformOperatorApi {
    private static final int OK = 200;
    private static final byte[] EMPTY_JSON = {'{', '}'};

    private final OperatorProtocol mProtocol;
    private final FleetCoordinator mFleet;
    private final RaftGroup mGroup;
    private final ConfigStateMachine mMachine;
    private final ProposalForwarder mForwarder;
    private final EvacuationOrders mEvacuations;
    private boolean mIsStopping;

    PlatformOperatorApi(
            OperatorProtocol protocol,
            FleetCoordinator fleet,
            RaftGroup group,
            ConfigStateMachine machine,
            ProposalForwarder forwarder) {
        mProtocol = protocol;
        mFleet = fleet;
        mGroup = group;
        mMachine = machine;
        mForwarder = forwarder;
        mEvacuations = new EvacuationOrders(fleet, machine.config(), forwarder);
    }

    /** Refuses further changes, as this host is stopping. */
    void stop() {
        mIsStopping = true;
    }

    /** Answers a call if it is one of the platform's protocol; returns false otherwise. */
    boolean handle(Input.HttpCall call, long nowNanos, Effects out) {
        try {
            Optional<OperatorCall> request = mProtocol.read(call);
            if (request.isPresent()) {
                answer(call.call(), request.get(), nowNanos, out);
            }
            return request.isPresent();
        } catch (ProxyException e) {
            out.log(EventCode.TICKET_REFUSED, e.kind().label() + ": " + e.getMessage());
            Problem.from(e).answer(call.call(), out);
            return true;
        }
    }

    private void answer(long call, OperatorCall request, long nowNanos, Effects out)
            throws ProxyException {
        if (request instanceof OperatorCall.ReadConfig) {
            mGroup.read(new DocumentRead(call, out));
        } else if (request instanceof OperatorCall.ReadRetirement read) {
            mGroup.read(new RetirementRead(call, read.hostName(), nowNanos, out));
        } else if (mIsStopping) {
            throw ProxyException.of(ErrorKind.STOPPING, "this host is stopping; use another one");
        } else if (request instanceof OperatorCall.ReplaceConfig replace) {
            var command = new ConfigCommand.ReplaceAll(replace.ticket(), replace.document());
            byte[] bytes = ConfigStateMachine.configCommand(command.encode());
            var responder = new TicketResponder(call, replace.ticket().number(), out);
            mForwarder.submitCommand(0, bytes, responder, nowNanos, out);
        } else if (request instanceof OperatorCall.RetireHost retire) {
            retire(call, retire.hostName(), nowNanos, out);
        } else if (request instanceof OperatorCall.EvacuateDataCentre order) {
            Runnable accepted = () -> send(call, EMPTY_JSON, out);
            mEvacuations.submit(call, order.name(), true, accepted, nowNanos, out);
        } else if (request instanceof OperatorCall.EndEvacuation order) {
            Runnable accepted = () -> send(call, EMPTY_JSON, out);
            mEvacuations.submit(call, order.name(), false, accepted, nowNanos, out);
        }
    }

    private void retire(long call, String name, long nowNanos, Effects out) throws ProxyException {
        Optional<FleetCommand> command = mFleet.retire(name, nowNanos);
        if (command.isEmpty()) {
            send(call, EMPTY_JSON, out);
            return;
        }
        byte[] bytes = ConfigStateMachine.fleetCommand(command.get());
        mForwarder.submitCommand(0, bytes, new RetireResponder(call, name, out), nowNanos, out);
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

    private static void sendUnconfirmed(long call, String detail, Effects out) {
        Problem.of(ErrorKind.NO_LEADER, detail).answer(call, out);
    }

    /** Answers a call that retires a host. */
    private static final class RetireResponder implements ProposalForwarder.Callback {
        private final long mCall;
        private final String mName;
        private final Effects mOut;

        RetireResponder(long call, String name, Effects out) {
            mCall = call;
            mName = name;
            mOut = out;
        }

        @Override
        public void done(byte[] result) {
            mOut.log(EventCode.HOST_RETIRING, mName);
            send(mCall, EMPTY_JSON, mOut);
        }

        @Override
        public void failed(ErrorKind kind) {
            Problem.of(kind, "retiring " + mName + ": " + kind.title()).answer(mCall, mOut);
        }
    }

    /** Sends the document once a quorum has confirmed that it is the latest one. */
    private final class DocumentRead implements QuorumRead.Callback {
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
                            () -> sendUnconfirmed(mCall, "there is no configuration yet", mOut));
        }

        @Override
        public void failed() {
            sendUnconfirmed(mCall, "no quorum confirmed the configuration", mOut);
        }
    }

    /** Sends whether a host's retirement is complete, once a quorum has confirmed the state. */
    private final class RetirementRead implements QuorumRead.Callback {
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
            sendUnconfirmed(mCall, "no quorum confirmed the state of " + mName, mOut);
        }
    }
}
