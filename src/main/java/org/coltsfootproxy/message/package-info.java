/** Typed messages between the processes of one fleet and their codec. */
package org.coltsfootproxy.message;
