package org.coltsfootproxy.control;

import java.util.Optional;
import org.coltsfootproxy.base.ProxyException;
import org.coltsfootproxy.node.Input;

/** A platform's own protocol for operators, served by control hosts besides {@code /v1}. */
public interface OperatorProtocol {
    /**
     * Decodes a call; returns empty if it does not belong to this protocol.
     *
     * @throws ProxyException if the call belongs to this protocol but is not valid
     */
    Optional<OperatorCall> read(Input.HttpCall call) throws ProxyException;

    /** Encodes the JSON body that states whether the retirement of a store is complete. */
    byte[] retirement(boolean isComplete);
}
