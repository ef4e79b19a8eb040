/** The one interface behind which every role makes its decisions, apart from input and output. */
package org.coltsfootproxy.node;
