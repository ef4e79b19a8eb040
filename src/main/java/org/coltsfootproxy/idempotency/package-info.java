/**
 * Idempotency keys: a replicated ledger that keeps requests on non-repeatable routes from running
 * twice.
 *
 * <p>{@link org.coltsfootproxy.idempotency.IdempotencyLedger} is a state machine that applies
 * {@link org.coltsfootproxy.idempotency.IdempotencyCommand}s and stores the answers of finished
 * requests.
 */
package org.coltsfootproxy.idempotency;
