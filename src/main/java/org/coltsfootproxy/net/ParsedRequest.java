package org.coltsfootproxy.net;

import java.util.Optional;
import org.coltsfootproxy.node.Problem;

/**
 * A complete request, or the reason why one is rejected; exactly one is present.
 *
 * @param memoryBytes memory that the request occupies
 */
record ParsedRequest(
        Optional<InboundRequest> request, Optional<Problem> problem, long memoryBytes) {
    static ParsedRequest accepted(InboundRequest request, long memoryBytes) {
        return new ParsedRequest(Optional.of(request), Optional.empty(), memoryBytes);
    }

    static ParsedRequest rejected(Problem problem) {
        return new ParsedRequest(Optional.empty(), Optional.of(problem), 0);
    }
}
