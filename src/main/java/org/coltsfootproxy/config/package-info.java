/**
 * The configuration of the fleet (organisations, keys, services and routes) and the change tickets
 * that set it.
 *
 * <p>Control hosts replicate {@link org.coltsfootproxy.config.ConfigState}, a state machine that
 * applies each {@link org.coltsfootproxy.config.Ticket} and answers it with a {@link
 * org.coltsfootproxy.config.Verdict}. {@link org.coltsfootproxy.config.ConfigPublisher} sends each
 * new version to its subscribers. {@link org.coltsfootproxy.config.ConfigSubscriber} keeps the
 * newest version on other hosts as an immutable {@link org.coltsfootproxy.config.ConfigView} and
 * tracks whether a quorum has confirmed it as current.
 */
package org.coltsfootproxy.config;
