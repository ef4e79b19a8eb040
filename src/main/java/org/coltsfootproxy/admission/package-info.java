/**
 * The agent's queues: fair shares between organisations, online before batch, concurrency limits.
 */
package org.coltsfootproxy.admission;
