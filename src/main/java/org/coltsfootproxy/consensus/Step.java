package org.coltsfootproxy.consensus;

import org.coltsfootproxy.base.EventCode;
import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.message.RaftMessage;
import org.coltsfootproxy.node.Effects;

/** The context of one call into {@link RaftNode}: its time and the receiver of its effects. */
record Step(long nowNanos, Effects out) {
    void send(HostId to, RaftMessage message) {
        out.send(to, message);
    }

    void log(EventCode code, String detail) {
        out.log(code, detail);
    }
}
