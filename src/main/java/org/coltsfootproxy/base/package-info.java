/**
 * Ids, error kinds, events, metrics, record codec and the state-chart interpreter that every other
 * package builds on.
 */
package org.coltsfootproxy.base;
