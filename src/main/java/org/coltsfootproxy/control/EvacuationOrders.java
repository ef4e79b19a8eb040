package org.coltsfootproxy.control;

import java.util.Optional;
import org.coltsfootproxy.base.DataCentre;
import org.coltsfootproxy.base.ErrorKind;
import org.coltsfootproxy.base.EventCode;
import org.coltsfootproxy.base.ProxyException;
import org.coltsfootproxy.config.ConfigCommand;
import org.coltsfootproxy.config.ConfigResult;
import org.coltsfootproxy.config.ConfigState;
import org.coltsfootproxy.config.Verdict;
import org.coltsfootproxy.node.Effects;
import org.coltsfootproxy.node.LogField;
import org.coltsfootproxy.node.Problem;

/** Carries out operators' orders to evacuate data centres and to withdraw that. */
final class EvacuationOrders {
    private final FleetCoordinator mFleet;
    private final ConfigState mConfig;
    private final ProposalForwarder mForwarder;

    EvacuationOrders(FleetCoordinator fleet, ConfigState config, ProposalForwarder forwarder) {
        mFleet = fleet;
        mConfig = config;
        mForwarder = forwarder;
    }

    /**
     * Proposes an order and answers its call once the outcome is known.
     *
     * @param name name of the data centre, as the operator wrote it
     * @param isEvacuation whether the data centre is to be evacuated or returned to use
     * @param accepted sends the answer to an accepted order
     * @throws ProxyException if there is no such data centre
     */
    void submit(
            long call,
            String name,
            boolean isEvacuation,
            Runnable accepted,
            long nowNanos,
            Effects out)
            throws ProxyException {
        DataCentre dataCentre = dataCentre(name, nowNanos);
        long basis = mConfig.version();
        ConfigCommand command =
                isEvacuation
                        ? new ConfigCommand.Evacuate(dataCentre, basis)
                        : new ConfigCommand.EndEvacuation(dataCentre, basis);
        byte[] bytes = ConfigStateMachine.configCommand(command.encode());
        var responder = new Responder(call, dataCentre, isEvacuation, accepted, out);
        mForwarder.submitCommand(0, bytes, responder, nowNanos, out);
    }

    /** A data centre with an order stays known, so that the order can be sent again. */
    private DataCentre dataCentre(String name, long nowNanos) throws ProxyException {
        Optional<DataCentre> ordered = mConfig.orderedDataCentre(name);
        return ordered.isPresent() ? ordered.get() : mFleet.dataCentre(name, nowNanos);
    }

    /** Answers the call of an order. */
    private static final class Responder implements ProposalForwarder.Callback {
        private final long mCall;
        private final DataCentre mDataCentre;
        private final boolean mIsEvacuation;
        private final Runnable mAccepted;
        private final Effects mOut;

        Responder(
                long call,
                DataCentre dataCentre,
                boolean isEvacuation,
                Runnable accepted,
                Effects out) {
            mCall = call;
            mDataCentre = dataCentre;
            mIsEvacuation = isEvacuation;
            mAccepted = accepted;
            mOut = out;
        }

        @Override
        public void done(byte[] result) {
            try {
                Verdict verdict = ConfigResult.verdict(result);
                if (verdict.isAccepted()) {
                    mOut.log(
                            EventCode.EVACUATION_ORDERED,
                            LogField.of("dataCentre", mDataCentre),
                            LogField.of("evacuated", mIsEvacuation),
                            LogField.of("version", verdict.version()));
                    mAccepted.run();
                } else {
                    // Not a conflict to the operator: the same order is accepted if sent again.
                    Problem.of(ErrorKind.NO_LEADER, verdict.detail() + "; send it again")
                            .answer(mCall, mOut);
                }
            } catch (ProxyException e) {
                Problem.of(ErrorKind.INTERNAL, e.getMessage()).answer(mCall, mOut);
            }
        }

        @Override
        public void failed(ErrorKind kind) {
            String detail = "order on data centre " + mDataCentre + ": " + kind.title();
            Problem.of(kind, detail).answer(mCall, mOut);
        }
    }
}
