/** The entry role: callers' requests, key check, rate admission, routing and answers. */
package org.coltsfootproxy.entry;
