package org.coltsfootproxy.message;

import java.util.List;
import org.coltsfootproxy.base.DataCentre;
import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.base.Incarnation;
import org.coltsfootproxy.base.Member;
import org.coltsfootproxy.base.OrganisationId;
import org.coltsfootproxy.base.TargetId;
import org.coltsfootproxy.base.WireCode;

/** Messages of hosts that find each other and their targets while the fleet changes. */
public sealed interface FleetMessage extends Message {
    @Override
    default Lane lane() {
        return Lane.CONTROL;
    }

    /**
     * Entry or store to control: this host runs. Sent again and again; a host that stops sending
     * has left.
     *
     * @param name name by which operators know the host
     * @param known what the sender knows of the fleet
     * @param store what a host that keeps jobs says of its store; null from others
     */
    @WireCode(700)
    record Enrol(FleetRole role, String name, DataCentre dataCentre, Known known, StoreState store)
            implements FleetMessage {}

    /**
     * What a host knows of the fleet.
     *
     * @param roster digest of the roster, 0 for none
     * @param listing number of the target list, 0 for none
     */
    record Known(long roster, long listing) {}

    /**
     * What a host says of its store of batch jobs.
     *
     * @param incarnation drawn when the data folder was made
     * @param blank whether the store holds nothing yet
     * @param term term in which the host leads the log of the jobs, 0 if it doesn't
     * @param members hosts of that log as the leader has committed them, the leader first; empty
     *     from others
     */
    record StoreState(Incarnation incarnation, boolean blank, long term, List<HostId> members) {
        /** Copies the list. */
        public StoreState {
            members = List.copyOf(members);
        }
    }

    /**
     * Control to entry or store: the hosts of the fleet; sent if the other one has another roster.
     *
     * @param stores hosts that keep jobs or may, without those that are being emptied
     * @param jobTerm term of the leader that told the members of the log of the jobs, 0 for none
     * @param jobMembers members of the log of the jobs, its leader first; empty if not known
     * @param retiring hosts that are being emptied
     */
    @WireCode(701)
    record Roster(
            long digest,
            List<HostId> controls,
            List<HostId> entries,
            List<HostId> stores,
            long jobTerm,
            List<HostId> jobMembers,
            List<HostId> retiring)
            implements FleetMessage {
        /** Copies the lists. */
        public Roster {
            controls = List.copyOf(controls);
            entries = List.copyOf(entries);
            stores = List.copyOf(stores);
            jobMembers = List.copyOf(jobMembers);
            retiring = List.copyOf(retiring);
        }
    }

    /** Control to store: the first members of the log of the jobs, of which the receiver is one. */
    @WireCode(705)
    record FoundJobs(List<Member> members) implements FleetMessage {
        /** Copies the list. */
        public FoundJobs {
            members = List.copyOf(members);
        }
    }

    /**
     * Control to control and to entries: the targets that the platform lists.
     *
     * @param number grows with each change
     */
    @WireCode(702)
    record Listing(long number, List<ListedTarget> targets) implements FleetMessage {
        /** Copies the list. */
        public Listing {
            targets = List.copyOf(targets);
        }
    }

    /** Control to control: the platform's list was read and is still the one of this number. */
    @WireCode(703)
    record ListingRead(long number) implements FleetMessage {}

    /**
     * Entry or store to entries and stores: the calls that the sender has under way at targets.
     *
     * @param uses targets with a call of the sender; all others have none
     */
    @WireCode(706)
    record InFlight(List<TargetUse> uses) implements FleetMessage {
        /** Copies the list. */
        public InFlight {
            uses = List.copyOf(uses);
        }
    }

    /**
     * Calls of one host at one target.
     *
     * @param batch batch items, those that keep their place included
     * @param kept batch items that would be late if they made room
     */
    record TargetUse(TargetId target, int online, int batch, int kept) {
        /** Returns the batch items that would make room for an online request. */
        public int yielding() {
            return batch - kept;
        }
    }

    /**
     * Entry to entry: these requests were refused for want of room, and their callers told to come
     * back.
     *
     * @param requests hashes of the requests' content
     */
    @WireCode(708)
    record Refused(List<Long> requests) implements FleetMessage {
        /** Copies the list. */
        public Refused {
            requests = List.copyOf(requests);
        }
    }

    /** Entry to store: an online request needs the place of a batch item at this target. */
    @WireCode(707)
    record Yield(TargetId target) implements FleetMessage {}

    /**
     * Entry to entry: how many requests the sender has admitted since it started.
     *
     * @param uses organisations whose number has changed since the sender last told it
     */
    @WireCode(704)
    record Usage(List<Use> uses) implements FleetMessage {
        /** Copies the list. */
        public Usage {
            uses = List.copyOf(uses);
        }
    }

    /**
     * Requests of one organisation that an entry has admitted since it started.
     *
     * @param level tokens that the entry's bucket holds now, which an entry that has just started
     *     takes over
     */
    record Use(OrganisationId organisation, long admitted, double level) {}
}
