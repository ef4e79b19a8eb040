package org.coltsfootproxy.direct;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.List;
import java.util.Optional;
import org.coltsfootproxy.base.ProxyException;
import org.coltsfootproxy.message.ListedTarget;

/** How the platform's list of targets is read, page by page. */
public interface TargetListProtocol {
    /**
     * One page.
     *
     * @param damaged entries that can't be read, which name no target to use
     * @param nextPath path of the next page; empty on the last one
     */
    record Page(List<ListedTarget> targets, int damaged, Optional<String> nextPath) {
        /** Checks the parts. */
        public Page {
            targets = List.copyOf(targets);
            checkArgument(damaged >= 0, "damaged %s is below 0", damaged);
        }
    }

    /** Returns the path of the first page. */
    String firstPath();

    /**
     * Returns the page that an answer's body holds.
     *
     * @throws ProxyException if the body as a whole can't be read
     */
    Page read(byte[] body) throws ProxyException;
}
