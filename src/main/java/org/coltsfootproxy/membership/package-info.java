/** The platform's host list and the leases that hosts hold. */
package org.coltsfootproxy.membership;
