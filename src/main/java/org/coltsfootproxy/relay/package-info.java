/**
 * Dissemination of reports between all hosts that call targets.
 *
 * <p>Hosts are divided into {@link org.coltsfootproxy.relay.RelayGroups}, one for each data centre.
 * A host sends its reports to the relay of its group, which batches them and passes them on to the
 * other hosts of the group and to the relays of the other groups ({@link
 * org.coltsfootproxy.relay.ReportRelay}). The number of messages that a host without relay duty
 * sends and receives therefore does not grow with the fleet.
 */
package org.coltsfootproxy.relay;
