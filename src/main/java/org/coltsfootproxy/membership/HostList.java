package org.coltsfootproxy.membership;

import org.coltsfootproxy.base.ProxyException;

/**
 * Source of the platform's list of hosts.
 *
 * <p>Reading may block, so a dedicated thread does it; a {@link org.coltsfootproxy.node.Node} never
 * does.
 */
@FunctionalInterface
public interface HostList {
    /** Maximum size of a list, in bytes. */
    int MAX_BYTES = 4 * 1024 * 1024;

    /**
     * Reads the list.
     *
     * @throws ProxyException if the list can't be read or parsed
     */
    HostListing read() throws ProxyException;
}
