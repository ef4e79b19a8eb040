package org.coltsfootproxy.direct;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.List;
import java.util.Optional;
import org.coltsfootproxy.base.ProxyException;
import org.coltsfootproxy.message.ListedTarget;

/** The protocol by which the platform's list of targets is read, page by page. */
public interface TargetListProtocol {
    /**
     * One page.
     *
     * @param damaged number of entries that can't be read and are left out
     * @param nextPath path of the next page; empty on the last one
     */
    record Page(List<ListedTarget> targets, int damaged, Optional<String> nextPath) {
        /** Validates the components. */
        public Page {
            targets = List.copyOf(targets);
            checkArgument(damaged >= 0, "damaged %s is below 0", damaged);
        }
    }

    /** Returns the path of the first page. */
    String firstPath();

    /**
     * Returns the page in an answer's body.
     *
     * @throws ProxyException if no page can be read from the body
     */
    Page read(byte[] body) throws ProxyException;
}
