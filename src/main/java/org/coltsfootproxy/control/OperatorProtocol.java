package org.coltsfootproxy.control;

import java.util.Optional;
import org.coltsfootproxy.base.ProxyException;
import org.coltsfootproxy.node.Input;

/** How a platform's operators speak to control hosts, besides the system's own interface. */
public interface OperatorProtocol {
    /**
     * Returns what a call asks for; empty if the call isn't one of this protocol.
     *
     * @throws ProxyException if the call is one of this protocol but not valid
     */
    Optional<OperatorCall> read(Input.HttpCall call) throws ProxyException;

    /** Returns the JSON body that tells whether a store is empty. */
    byte[] retirement(boolean isComplete);
}
