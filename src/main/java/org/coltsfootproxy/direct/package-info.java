/**
 * Hosts that call targets themselves: choice of a target, online requests and batch items over a
 * list of targets that changes.
 */
package org.coltsfootproxy.direct;
