/** The durable record of requests with an idempotency key on routes that may not be repeated. */
package org.coltsfootproxy.idempotency;
