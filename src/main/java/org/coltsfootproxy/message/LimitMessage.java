package org.coltsfootproxy.message;

import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.base.WireCode;

/** Messages between entries and the owner of an organisation's token bucket. */
public sealed interface LimitMessage extends Message {
    @Override
    default Lane lane() {
        return Lane.CONTROL;
    }

    /** Placeholder replaced by the first message of this kind. */
    @WireCode(400)
    record Hello(HostId host) implements LimitMessage {}
}
