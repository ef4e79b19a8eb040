package org.coltsfootproxy.control;

import org.coltsfootproxy.base.ErrorKind;
import org.coltsfootproxy.base.EventCode;
import org.coltsfootproxy.base.ProxyException;
import org.coltsfootproxy.config.ConfigResult;
import org.coltsfootproxy.config.Verdict;
import org.coltsfootproxy.node.Effects;
import org.coltsfootproxy.node.JsonAnswer;
import org.coltsfootproxy.node.Problem;

/** Answers the operator's call with the outcome of a ticket. */
final class TicketResponder implements ProposalForwarder.Callback {
    private static final int OK = 200;

    private final long mCall;
    private final String mDescription;
    private final Effects mOut;

    TicketResponder(long call, long ticket, Effects out) {
        mCall = call;
        mDescription = "ticket " + ticket;
        mOut = out;
    }

    @Override
    public void done(byte[] result) {
        try {
            answer(ConfigResult.verdict(result));
        } catch (ProxyException e) {
            Problem.of(ErrorKind.INTERNAL, e.getMessage()).answer(mCall, mOut);
        }
    }

    private void answer(Verdict verdict) {
        if (verdict.isAccepted()) {
            mOut.log(EventCode.TICKET_ACCEPTED, mDescription + ", version " + verdict.version());
            JsonAnswer.send(mCall, OK, OperatorResponses.Ticket.of(verdict), mOut);
        } else {
            mOut.log(EventCode.TICKET_REFUSED, mDescription + ": " + verdict.detail());
            Problem.of(verdict.outcome().kind(), verdict.detail()).answer(mCall, mOut);
        }
    }

    @Override
    public void failed(ErrorKind kind) {
        mOut.log(EventCode.TICKET_REFUSED, mDescription + ": " + kind.label());
        Problem.of(kind, mDescription + ": " + kind.title()).answer(mCall, mOut);
    }
}
