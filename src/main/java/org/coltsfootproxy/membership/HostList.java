package org.coltsfootproxy.membership;

import org.coltsfootproxy.base.ProxyException;

/**
 * The platform's list of hosts.
 *
 * <p>Reading may block, so it is done by a thread of its own and never by decisions.
 */
@FunctionalInterface
public interface HostList {
    /** Most bytes of a list. */
    int MAX_BYTES = 4 * 1024 * 1024;

    /**
     * Reads the list.
     *
     * @throws ProxyException if it can't be read or understood
     */
    HostListing read() throws ProxyException;
}
