/**
 * Which hosts belong to the fleet, and the leases that hosts hold.
 *
 * <p>{@link org.coltsfootproxy.membership.FleetMembership} enrols a host with the control hosts and
 * merges their rosters; {@link org.coltsfootproxy.membership.FleetRoster} is the control host's
 * side. {@link org.coltsfootproxy.membership.HostView} applies the platform's host list, which a
 * {@link org.coltsfootproxy.membership.HostList} reads. {@link
 * org.coltsfootproxy.membership.LeaseHolder} acquires and renews a lease that the {@link
 * org.coltsfootproxy.membership.LeaseGranter} of the leading control host grants and that the
 * replicated {@link org.coltsfootproxy.membership.LeaseTable} records.
 */
package org.coltsfootproxy.membership;
