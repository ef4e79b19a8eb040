package org.coltsfootproxy.direct;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.coltsfootproxy.base.OrganisationId;
import org.coltsfootproxy.base.TrafficClass;
import org.coltsfootproxy.node.Effect;

/** Composes the call of a batch item to a target. */
final class ItemTargetCall {
    private ItemTargetCall() {}

    static Effect.TargetCall of(ItemRun run, Target target, long call, TargetProtocol protocol) {
        TargetRequest targetRequest =
                new TargetRequest(
                        target.listed().id(),
                        Optional.of(OrganisationId.of(run.item().organisation())),
                        run.item().timeoutMillis(),
                        run.lastEvent());
        return new Effect.TargetCall(
                call,
                TrafficClass.BATCH,
                run.item().method(),
                run.call().path(),
                protocol.headers(run.call().headers(), targetRequest),
                run.call().body(),
                TimeUnit.MILLISECONDS.toNanos(run.item().timeoutMillis()),
                target.rateLimit().cold().sendWithinNanos());
    }
}
