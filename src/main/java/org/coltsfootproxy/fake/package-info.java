/**
 * Stand-in targets for tests, demonstrations and load runs.
 *
 * <p>A {@link org.coltsfootproxy.fake.FakeTarget} is an HTTP server on one event loop that
 * simulates a model engine or a plain service. Its {@link org.coltsfootproxy.fake.RunRecord} counts
 * how often each request ran, and a {@link org.coltsfootproxy.fake.Fault} makes it misbehave on
 * demand. {@link org.coltsfootproxy.fake.FakeTargetSettings} sets its mode and its timing.
 */
package org.coltsfootproxy.fake;
