/** Load and experiment tool with its own check of the promises. */
package org.coltsfootproxy.load;
