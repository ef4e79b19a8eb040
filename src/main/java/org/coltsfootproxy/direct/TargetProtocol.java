package org.coltsfootproxy.direct;

import java.util.List;
import org.coltsfootproxy.message.Header;
import org.coltsfootproxy.node.Input;

/** How targets are spoken to. */
public interface TargetProtocol {
    /** Returns the headers of a call: the caller's, less its keys, and those of the system. */
    List<Header> headers(List<Header> callers, TargetRequest request);

    /** Returns what the head of an answer says. */
    TargetAnswer read(Input.TargetHead head);

    /** Returns the name of the header that is alike in a call and in its answer. */
    String correlationHeader();
}
