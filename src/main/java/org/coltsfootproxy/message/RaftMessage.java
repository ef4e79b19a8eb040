package org.coltsfootproxy.message;

import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.base.WireCode;

/** Messages between the members of one replicated log. */
public sealed interface RaftMessage extends Message {
    @Override
    default Lane lane() {
        return Lane.CONTROL;
    }

    /** Placeholder replaced by the first message of this kind. */
    @WireCode(200)
    record Hello(HostId host) implements RaftMessage {}
}
