/**
 * A replicated log: elections, appends, snapshots and member changes as a deterministic decision
 * class.
 */
package org.coltsfootproxy.consensus;
