package org.coltsfootproxy.message;

import java.util.List;
import org.coltsfootproxy.base.ErrorKind;
import org.coltsfootproxy.base.Incarnation;
import org.coltsfootproxy.base.OrganisationId;
import org.coltsfootproxy.base.Ran;
import org.coltsfootproxy.base.RequestId;
import org.coltsfootproxy.base.ServiceId;
import org.coltsfootproxy.base.WireCode;

/** Messages between an entry and an agent about online requests. */
public sealed interface CallMessage extends Message {
    @Override
    default Lane lane() {
        return Lane.ONLINE;
    }

    /** Returns the id of the request, or {@link #NO_REQUEST} if the message is about the agent. */
    RequestId request();

    /**
     * Entry to agent: run this request.
     *
     * @param incarnation the agent's incarnation that the entry has chosen; an agent with a
     *     different one refuses the request
     * @param weight weight of the organisation in fair queueing
     * @param repeatable whether a second run does no harm
     * @param timeToLiveNanos nanoseconds left until the caller's deadline when this is sent
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

    /** Agent to entry: acknowledges the request, which will be answered on this connection. */
    @WireCode(101)
    record Received(RequestId request) implements CallMessage {}

    /** Agent to entry: HTTP status and headers of the answer. */
    @WireCode(103)
    record AnswerHead(RequestId request, int status, List<Header> headers) implements CallMessage {}

    /**
     * Agent to entry: a chunk of the answer's body.
     *
     * @param sequence number of the chunk, from 0 without gaps
     */
    @WireCode(104)
    record AnswerChunk(RequestId request, int sequence, byte[] bytes) implements CallMessage {}

    /**
     * Agent to entry: the answer is complete.
     *
     * @param chunks number of chunks that were sent, by which the entry notices a missing one
     */
    @WireCode(105)
    record AnswerEnd(RequestId request, int chunks) implements CallMessage {}

    /**
     * Agent to entry: the request ended without a complete answer.
     *
     * @param ran whether the request has run, as far as is known
     * @param detail human-readable explanation
     * @param retryAfterMillis milliseconds that the caller should wait before a retry, 0 for no
     *     advice
     */
    @WireCode(106)
    record Failed(RequestId request, ErrorKind kind, Ran ran, String detail, long retryAfterMillis)
            implements CallMessage {}

    /**
     * Entry to agent: asks for the state of a request after the agent has sent nothing about it for
     * some time.
     *
     * @param incarnation the agent's incarnation to which the request was sent
     * @param headSeen whether status and headers have arrived at the entry
     * @param nextChunk number of the first chunk that has not arrived
     */
    @WireCode(107)
    record StateQuery(RequestId request, Incarnation incarnation, boolean headSeen, int nextChunk)
            implements CallMessage {}

    /** Agent to entry: the agent has the request; the missing parts of its answer follow. */
    @WireCode(108)
    record RequestKnown(RequestId request) implements CallMessage {}

    /**
     * Agent to entry: the request has not arrived, and the agent will refuse it if it still does.
     */
    @WireCode(109)
    record NeverSeen(RequestId request) implements CallMessage {}

    /** Entry to agent: cancel the request; its caller has disconnected. */
    @WireCode(110)
    record Cancel(RequestId request) implements CallMessage {}

    /**
     * Agent to entry: the agent's state, sent in answer to {@link Watch} and on each change.
     *
     * @param request always {@link #NO_REQUEST}
     * @param draining whether the agent accepts no new requests
     * @param inFlight number of requests at the target
     * @param queued number of requests that wait at the agent
     * @param limit number of concurrent requests that the agent sends to the target
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
     * Entry to agent: subscribes to the agent's state.
     *
     * @param request always {@link #NO_REQUEST}
     */
    @WireCode(112)
    record Watch(RequestId request) implements CallMessage {}

    /** Placeholder id in messages about the agent as a whole. */
    RequestId NO_REQUEST = RequestId.of(0, 0);
}
