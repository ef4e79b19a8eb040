package org.coltsfootproxy.direct;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.coltsfootproxy.base.OrganisationId;
import org.coltsfootproxy.base.TrafficClass;
import org.coltsfootproxy.entry.CallerCheck;
import org.coltsfootproxy.message.Header;
import org.coltsfootproxy.node.Effect;

/** Composes the call of an online request to a target. */
final class OnlineTargetCall {
    private OnlineTargetCall() {}

    static Effect.TargetCall of(
            DirectRequest request,
            Target target,
            long call,
            long remainingNanos,
            TargetProtocol protocol) {
        Optional<OrganisationId> organisation =
                Optional.of(request.organisation().id()).filter(id -> !request.isOpen());
        TargetRequest targetRequest =
                new TargetRequest(
                        target.listed().id(),
                        organisation,
                        TimeUnit.NANOSECONDS.toMillis(remainingNanos),
                        request.events().lastId());
        List<Header> headers = CallerCheck.forwardableHeaders(request.call().headers());
        return new Effect.TargetCall(
                call,
                TrafficClass.ONLINE,
                request.call().method(),
                request.call().path(),
                protocol.headers(headers, targetRequest),
                request.call().body(),
                remainingNanos,
                target.rateLimit().cold().sendWithinNanos());
    }
}
