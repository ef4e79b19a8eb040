package org.coltsfootproxy.message;

import java.util.List;
import org.coltsfootproxy.base.ErrorKind;
import org.coltsfootproxy.base.Incarnation;
import org.coltsfootproxy.base.OrganisationId;
import org.coltsfootproxy.base.Ran;
import org.coltsfootproxy.base.RequestId;
import org.coltsfootproxy.base.ServiceId;
import org.coltsfootproxy.base.WireCode;

/** Messages between an entry and an agent about one online request. */
public sealed interface CallMessage extends Message {
    @Override
    default Lane lane() {
        return Lane.ONLINE;
    }

    /** Returns the request that the message is about. */
    RequestId request();

    /**
     * Entry to agent: run this request.
     *
     * @param incarnation the agent's life that the entry means; an agent of another life refuses
     * @param repeatable whether a second run would do no harm
     * @param timeToLiveNanos time left until the caller's deadline, in elapsed time
     * @param path path with query
     */
    @WireCode(100)
    record Forward(
            RequestId request,
            Incarnation incarnation,
            OrganisationId organisation,
            double weight,
            ServiceId service,
            boolean repeatable,
            long timeToLiveNanos,
            String method,
            String path,
            List<Header> headers,
            byte[] body)
            implements CallMessage {}

    /** Agent to entry: the request has arrived and will be answered on this connection. */
    @WireCode(101)
    record Received(RequestId request) implements CallMessage {}

    /** Agent to entry: status and headers of the answer. */
    @WireCode(103)
    record AnswerHead(RequestId request, int status, List<Header> headers) implements CallMessage {}

    /**
     * Agent to entry: a piece of the answer's body.
     *
     * @param sequence number of the piece, from 0 without gaps
     */
    @WireCode(104)
    record AnswerChunk(RequestId request, int sequence, byte[] bytes) implements CallMessage {}

    /**
     * Agent to entry: the answer is whole.
     *
     * @param chunks number of pieces that were sent
     */
    @WireCode(105)
    record AnswerEnd(RequestId request, int chunks) implements CallMessage {}

    /** Agent to entry: the request ended without a whole answer. */
    @WireCode(106)
    record Failed(RequestId request, ErrorKind kind, Ran ran, String detail, long retryAfterMillis)
            implements CallMessage {}

    /**
     * Entry to agent after silence: what became of this request?
     *
     * @param incarnation the agent's life that the request was sent to
     * @param headSeen whether status and headers have arrived
     * @param nextChunk number of the next piece that is missing
     */
    @WireCode(107)
    record Ask(RequestId request, Incarnation incarnation, boolean headSeen, int nextChunk)
            implements CallMessage {}

    /** Agent to entry: the request is known here; what is missing of its answer follows. */
    @WireCode(108)
    record Have(RequestId request) implements CallMessage {}

    /** Agent to entry: the request never arrived here and is refused from now on. */
    @WireCode(109)
    record NeverSeen(RequestId request) implements CallMessage {}

    /** Entry to agent: the caller is gone. */
    @WireCode(110)
    record Cancel(RequestId request) implements CallMessage {}

    /**
     * Agent to entry: the agent's state, sent at the start of a connection and on each change.
     *
     * @param request always {@link #NO_REQUEST}
     * @param draining whether the agent takes no new requests
     * @param inFlight requests at the target
     * @param queued requests that wait
     * @param limit requests that the target takes at a time
     */
    @WireCode(111)
    record AgentState(
            RequestId request,
            Incarnation incarnation,
            ServiceId service,
            boolean draining,
            int inFlight,
            int queued,
            int limit)
            implements CallMessage {}

    /**
     * Entry to agent: tell me your state whenever it changes.
     *
     * @param request always {@link #NO_REQUEST}
     */
    @WireCode(112)
    record Watch(RequestId request) implements CallMessage {}

    /** Stands for no request in messages about the agent as a whole. */
    RequestId NO_REQUEST = RequestId.of(0, 0);
}
