/**
 * Duties and their threads, bounded rings, settings, metrics and logs around the decision classes.
 */
package org.coltsfootproxy.runtime;
