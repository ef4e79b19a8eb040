package org.coltsfootproxy.entry;

import com.google.common.hash.Hashing;
import java.util.OptionalLong;
import org.coltsfootproxy.config.ConfigView;
import org.coltsfootproxy.config.Organisation;
import org.coltsfootproxy.config.Service;
import org.coltsfootproxy.message.CallMessage;
import org.coltsfootproxy.node.Input;

/** Creates the messages that forward requests to agents. */
final class ForwardMessages {
    private ForwardMessages() {}

    /** Returns the message that asks the request's current agent to run it. */
    static CallMessage.Forward of(Request request, long now) {
        Organisation organisation = request.organisation();
        Input.HttpCall call = request.call();
        return new CallMessage.Forward(
                request.id(),
                request.incarnation(),
                organisation.id(),
                organisation.weight(),
                request.route().service(),
                request.isRepeatable(),
                request.deadlineNanos() - now,
                call.method(),
                call.path(),
                ForwardedHeaders.of(call.headers(), organisation.id(), request.id()),
                call.body());
    }

    /** Returns the hash of the prompt's prefix, if the service uses prefix affinity. */
    static OptionalLong prefixHash(Request request, ConfigView view) {
        int bytes = view.service(request.route().service()).map(Service::affinityBytes).orElse(0);
        byte[] body = request.call().body();
        int length = Math.min(bytes, body.length);
        return length == 0
                ? OptionalLong.empty()
                : OptionalLong.of(Hashing.murmur3_128().hashBytes(body, 0, length).asLong());
    }
}
