package org.coltsfootproxy.message;

import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.base.WireCode;

/** Messages about batch jobs and their items. */
public sealed interface JobMessage extends Message {
    @Override
    default Lane lane() {
        return Lane.BATCH;
    }

    /** Placeholder replaced by the first message of this kind. */
    @WireCode(600)
    record Hello(HostId host) implements JobMessage {}
}
