/**
 * Rate limiting of organisations over the whole fleet, at its entries.
 *
 * <p>{@link org.coltsfootproxy.limit.Limiter} decides whether a request is admitted. In {@link
 * org.coltsfootproxy.limit.GrantLimiter} the owner of an organisation's token bucket grants tokens
 * to the entries; in {@link org.coltsfootproxy.limit.SharedCountLimiter} entries report their
 * admission counts to each other. {@link org.coltsfootproxy.limit.FixedShareLimiter} is a baseline.
 */
package org.coltsfootproxy.limit;
