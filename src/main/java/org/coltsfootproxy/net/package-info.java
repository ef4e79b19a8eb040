/** Sockets: HTTP towards callers and targets, framed messages between processes. */
package org.coltsfootproxy.net;
