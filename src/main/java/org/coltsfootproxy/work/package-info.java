/**
 * Expected cost of requests and batch items, learned from those that have ended, and the speed of
 * targets. Pure: no time but the one passed in, no network.
 */
package org.coltsfootproxy.work;
