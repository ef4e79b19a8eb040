/**
 * Entries and stores that call targets directly, without an agent beside each target.
 *
 * <p>{@link DirectEntryNode} is the state machine of an entry. It runs online requests ({@link
 * DirectCalls}) and forwards calls on batch jobs to the job leader ({@link DirectJobs}). {@link
 * ItemWorker} runs batch items on store hosts. {@link Targets} holds the target list that is in
 * force and chooses a {@link Target} for each call. {@link LoadExchange} keeps track of the calls
 * of other hosts, {@link LeavingTargets} of targets that are leaving, and {@link LoadShedder}
 * refuses online requests that no target could start in time; {@link HostReports} exchanges what
 * they know between hosts. {@link FreeBatchSlots} keeps batch items out of peaks of online load.
 * {@link WorkRouting} ranks targets by expected work, {@link ColdLimits} bounds what targets that
 * may be cold get, and {@link UsableDataCentres} leaves out those in evacuated data centres. {@link
 * FleetDirectory} runs on control hosts: it enrols the other hosts, and reads the target list and
 * distributes it.
 *
 * <p>Batch items are preemptible: an item gives its slot to an online request and resumes later
 * after its last complete event. An item that would miss its deadline by waiting keeps its slot;
 * the code calls such an item "kept".
 */
package org.coltsfootproxy.direct;
