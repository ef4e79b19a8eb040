/**
 * The load tool: it sends a scenario of online requests and batch jobs to a fleet on loopback,
 * injects faults into the stand-in targets, and reports latency, throughput and broken guarantees.
 *
 * <p>{@link org.coltsfootproxy.load.LoadScenario} describes a run, {@link
 * org.coltsfootproxy.load.LoadTool} executes it and {@link org.coltsfootproxy.load.LoadReport}
 * holds its results, which are written as text, JSON and HTML. The internal class {@code
 * PromiseCheck} compares what clients observed with what the stand-in targets recorded.
 */
package org.coltsfootproxy.load;
