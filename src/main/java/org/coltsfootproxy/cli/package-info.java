/** The command line of operators. */
package org.coltsfootproxy.cli;
