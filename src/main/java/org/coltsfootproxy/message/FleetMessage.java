package org.coltsfootproxy.message;

import java.util.List;
import org.coltsfootproxy.base.DataCentre;
import org.coltsfootproxy.base.EncodedBy;
import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.base.Incarnation;
import org.coltsfootproxy.base.Member;
import org.coltsfootproxy.base.OrganisationId;
import org.coltsfootproxy.base.SoftwareVersion;
import org.coltsfootproxy.base.SuspectId;
import org.coltsfootproxy.base.TargetId;
import org.coltsfootproxy.base.WireCode;

/**
 * Messages about the hosts and targets of the fleet and their load.
 *
 * <p>Entries and stores enrol at the control hosts, which send them the current hosts and targets.
 */
public sealed interface FleetMessage extends Message {
    @Override
    default Lane lane() {
        return Lane.CONTROL;
    }

    /**
     * Entry or store to control: heartbeat of a running host. A host that stops sending it is
     * removed from the roster.
     *
     * @param name name by which operators know the host
     * @param known versions of the roster and target list that the sender has
     * @param store state of the sender's job store; null from an entry
     * @param quarantined what the calls that the sender sends must not have
     * @param confirmation number of a request to confirm that the target list is current, which
     *     {@link TargetListRead} answers; 0 for none
     */
    @WireCode(700)
    record Enrol(
            FleetRole role,
            String name,
            DataCentre dataCentre,
            KnownVersions known,
            StoreState store,
            List<Quarantined> quarantined,
            long confirmation)
            implements FleetMessage {
        /** Copies the list. */
        public Enrol {
            // A host of an earlier version sends none.
            quarantined = quarantined == null ? List.of() : List.copyOf(quarantined);
        }
    }

    /**
     * Versions of the fleet data that a host has.
     *
     * @param roster {@link Roster#digest} of the roster, 0 if the host has none
     * @param listing {@link Listing#number} of the target list, 0 if the host has none
     */
    record KnownVersions(long roster, long listing) {}

    /**
     * State of a host's job store.
     *
     * @param incarnation number that was drawn when the data folder was created
     * @param blank whether the store is still empty
     * @param term term in which the host leads the job log, 0 if it doesn't lead it
     * @param members member hosts of the job log, the leader first; empty if the host doesn't lead
     *     it
     */
    record StoreState(Incarnation incarnation, boolean blank, long term, List<HostId> members) {
        /** Copies the list. */
        public StoreState {
            members = List.copyOf(members);
        }
    }

    /**
     * Control to entry or store: the hosts of the fleet. Sent if the receiver's {@link Enrol} shows
     * a different roster.
     *
     * @param digest hash of the other components, never 0
     * @param stores running hosts with a job store, without those that are being retired
     * @param jobTerm term of the job log's leader that reported {@code jobMembers}, 0 if none did
     * @param jobMembers members of the job log, the leader first; empty if unknown
     * @param retiring hosts that an operator is retiring and whose data is moved away
     * @param placements data centres of the entries and stores; a host may be missing
     */
    @WireCode(701)
    record Roster(
            long digest,
            List<HostId> controls,
            List<HostId> entries,
            List<HostId> stores,
            long jobTerm,
            List<HostId> jobMembers,
            List<HostId> retiring,
            List<HostPlacement> placements)
            implements FleetMessage {
        /** Copies the lists. */
        public Roster {
            controls = List.copyOf(controls);
            entries = List.copyOf(entries);
            stores = List.copyOf(stores);
            jobMembers = List.copyOf(jobMembers);
            retiring = List.copyOf(retiring);
            // A host of an earlier version sends no placements.
            placements = placements == null ? List.of() : List.copyOf(placements);
        }
    }

    /** The data centre in which a host runs. */
    record HostPlacement(HostId host, DataCentre dataCentre) {}

    /** Control to store: create the job log with these members, of which the receiver is one. */
    @WireCode(705)
    record BootstrapJobLog(List<Member> members) implements FleetMessage {
        /** Copies the list. */
        public BootstrapJobLog {
            members = List.copyOf(members);
        }
    }

    /**
     * Control to control, entry or store: the platform's target list.
     *
     * @param number version of the list, which grows with each change; 0 for the empty initial list
     * @param earlier for each service whose listed versions are on record at the control hosts, the
     *     versions that may have begun streams and are not listed; a service is missing while its
     *     versions are not on record
     */
    @WireCode(702)
    record Listing(long number, List<ListedTarget> targets, List<ServiceVersions> earlier)
            implements FleetMessage {
        /** Copies the lists. */
        public Listing {
            targets = List.copyOf(targets);
            // A host of an earlier version sends none.
            earlier = earlier == null ? List.of() : List.copyOf(earlier);
        }
    }

    /**
     * Control to control: the platform's target list was read again and still has this version.
     * Control to entry: the sender's list is current and has this version.
     *
     * @param confirmation the number in the {@link Enrol} that this answers; 0 to a control host
     */
    @WireCode(703)
    record TargetListRead(long number, long confirmation) implements FleetMessage {}

    /**
     * Entry or store to entry or store: reports of the sender and of hosts for which it relays.
     *
     * @param reports may be empty, which shows that the sender is running
     * @param ended hosts whose processes have ended, as the loss of their connections shows
     */
    @WireCode(709)
    @EncodedBy(ReportsEncoding.class)
    record Reports(List<HostReport> reports, List<HostId> ended) implements FleetMessage {
        /** Copies the lists. */
        public Reports {
            reports = List.copyOf(reports);
            ended = List.copyOf(ended);
        }
    }

    /**
     * What one host reports to all other hosts that call targets.
     *
     * @param origin the host that reports, which need not be the sender of the message
     * @param epoch number that the origin drew when its process started
     * @param sequence number of the report in its epoch; grows with each report
     * @param inFlight calls in flight at targets; null if the report has none
     * @param usage admitted requests; null if the report has none
     * @param refused refused requests; null if the report has none
     * @param leaving targets whose responses to the origin said recently that they are leaving
     * @param crashes what crashes targets; null if the report has none
     * @param streams streams that the origin has begun and the others may not know
     */
    record HostReport(
            HostId origin,
            long epoch,
            long sequence,
            InFlight inFlight,
            Usage usage,
            RefusedRequests refused,
            List<LeavingTarget> leaving,
            CrashReport crashes,
            List<BegunStreams> streams) {
        /** Copies the lists. */
        public HostReport {
            leaving = List.copyOf(leaving);
            // A host of an earlier version sends none.
            streams = streams == null ? List.of() : List.copyOf(streams);
        }
    }

    /**
     * Streams that targets of one software version have begun.
     *
     * @param streams hashes of the organisations and names of the requests that began them
     */
    record BegunStreams(SoftwareVersion version, List<Long> streams) {
        /** Copies the list. */
        public BegunStreams {
            streams = List.copyOf(streams);
        }
    }

    /**
     * Entry to entry or store: asks for the recent streams, because the sender has just started.
     */
    @WireCode(711)
    record AskStreams() implements FleetMessage {}

    /** Entry or store to entry: answers {@link AskStreams}. */
    @WireCode(712)
    record KnownStreams(List<BegunStreams> streams) implements FleetMessage {
        /** Copies the list. */
        public KnownStreams {
            streams = List.copyOf(streams);
        }
    }

    /**
     * What a host has seen of crashes of targets.
     *
     * @param crashes targets that ended the connections of calls of the host
     * @param sound what others may suspect, and calls of the host with it were answered
     * @param quarantined what the calls that the host sends must not have
     */
    record CrashReport(
            List<TargetCrash> crashes, List<SuspectId> sound, List<Quarantined> quarantined) {
        /** Copies the lists. */
        public CrashReport {
            crashes = List.copyOf(crashes);
            sound = List.copyOf(sound);
            quarantined = List.copyOf(quarantined);
        }
    }

    /**
     * A target that ended the connection of a call which it may have run.
     *
     * @param call id of the request or batch item
     * @param parts if the target ended as it began the answer, the parts of the call's prompt that
     *     other calls may share, in their order; empty otherwise
     * @param request id of the request's content; null for a batch item
     * @param recurred whether the call was sent after another target had crashed on the request
     */
    record TargetCrash(
            TargetId target,
            String call,
            List<SuspectId> parts,
            SuspectId request,
            boolean recurred) {
        /** Copies the list. */
        public TargetCrash {
            parts = List.copyOf(parts);
        }
    }

    /** What is quarantined for some further time, because targets crash on it. */
    record Quarantined(SuspectId suspect, long remainingMillis) {}

    /** Control to entry or store: what is quarantined and the receiver does not know of. */
    @WireCode(710)
    record Quarantine(List<Quarantined> suspects) implements FleetMessage {
        /** Copies the list. */
        public Quarantine {
            suspects = List.copyOf(suspects);
        }
    }

    /**
     * One incarnation of a target that leaves.
     *
     * @param startedAt when the incarnation started, as {@link ListedTarget#startedAt}
     */
    record LeavingTarget(TargetId target, long startedAt) {}

    /**
     * Calls of one host in flight at targets.
     *
     * @param uses targets whose numbers have changed since the host's previous report; if {@code
     *     isComplete}, all targets at which it has calls in flight
     * @param isComplete whether the host has no calls in flight at targets that are not listed
     */
    record InFlight(List<TargetUse> uses, boolean isComplete) {
        /** Copies the list. */
        public InFlight {
            uses = List.copyOf(uses);
        }
    }

    /**
     * Calls of one host in flight at one target.
     *
     * @param online number of online requests
     * @param batch number of batch items, including {@code kept}
     * @param kept number of batch items that online requests may not preempt, since their jobs
     *     would miss the deadline
     * @param started number of calls that the host started there since its previous report
     * @param perSecond calls a second from all hosts that the target has named recently as its
     *     limit; 0 if it named none to the host
     * @param workMillis expected rest of the host's calls there, in milliseconds at a target of
     *     usual speed, without batch items that may be preempted; 0 from a host of an earlier
     *     version
     * @param memoryTokens memory that the host's calls there may need, in tokens
     * @param speedPercent how long work takes there, in percent of the usual time, as the target
     *     has told the host just now; 0 if it told none
     */
    record TargetUse(
            TargetId target,
            int online,
            int batch,
            int kept,
            int started,
            double perSecond,
            int workMillis,
            int memoryTokens,
            int speedPercent) {
        /** Returns the calls in flight at a target where none was started recently. */
        public static TargetUse of(TargetId target, int online, int batch, int kept) {
            return new TargetUse(target, online, batch, kept, 0, 0, 0, 0, 0);
        }

        /** Returns the number of batch items that online requests may preempt. */
        public int preemptible() {
            return batch - kept;
        }
    }

    /**
     * Requests that an entry refused for lack of capacity, with a time after which their callers
     * may retry.
     *
     * @param requests hashes of the requests' content
     */
    record RefusedRequests(List<Long> requests) {
        /** Copies the list. */
        public RefusedRequests {
            requests = List.copyOf(requests);
        }
    }

    /** Entry to store: preempt a batch item at this target for an online request. */
    @WireCode(707)
    record PreemptItem(TargetId target) implements FleetMessage {}

    /**
     * The numbers of requests that an entry has admitted.
     *
     * @param uses organisations whose number has changed recently; may be empty
     */
    record Usage(List<AdmissionCount> uses) {
        /** Copies the list. */
        public Usage {
            uses = List.copyOf(uses);
        }
    }

    /**
     * Requests of one organisation that an entry has admitted.
     *
     * @param admitted number of requests admitted since the entry started
     * @param level tokens in the entry's bucket now; an entry that has just started initializes its
     *     own bucket with it
     */
    record AdmissionCount(OrganisationId organisation, long admitted, double level) {}
}
