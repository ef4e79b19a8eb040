package org.coltsfootproxy.message;

import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.base.WireCode;

/** Messages about configuration, its versions and leases. */
public sealed interface ConfigMessage extends Message {
    @Override
    default Lane lane() {
        return Lane.CONTROL;
    }

    /** Placeholder replaced by the first message of this kind. */
    @WireCode(300)
    record Hello(HostId host) implements ConfigMessage {}
}
