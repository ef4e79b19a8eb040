package org.coltsfootproxy.control;

import org.coltsfootproxy.base.ErrorKind;
import org.coltsfootproxy.base.EventCode;
import org.coltsfootproxy.base.ProxyException;
import org.coltsfootproxy.config.ConfigResult;
import org.coltsfootproxy.config.Verdict;
import org.coltsfootproxy.node.Effects;
import org.coltsfootproxy.node.JsonAnswer;
import org.coltsfootproxy.node.Problem;

/** Answers the operator who sent a ticket. */
final class TicketResponder implements ProposalForwarder.Outcome {
    private static final int OK = 200;

    private final long mCall;
    private final String mWhat;
    private final Effects mOut;

    TicketResponder(long call, long ticket, Effects out) {
        mCall = call;
        mWhat = "ticket " + ticket;
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
            mOut.log(EventCode.TICKET_ACCEPTED, mWhat + ", version " + verdict.version());
            JsonAnswer.send(mCall, OK, OperatorResponses.Ticket.of(verdict), mOut);
        } else {
            mOut.log(EventCode.TICKET_REFUSED, mWhat + ": " + verdict.detail());
            Problem.of(verdict.outcome().kind(), verdict.detail()).answer(mCall, mOut);
        }
    }

    @Override
    public void failed(ErrorKind kind) {
        mOut.log(EventCode.TICKET_REFUSED, mWhat + ": " + kind.label());
        Problem.of(kind, mWhat + ": " + kind.title()).answer(mCall, mOut);
    }
}
