package org.coltsfootproxy.control;

import static java.util.stream.Collectors.toMap;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.base.Member;
import org.coltsfootproxy.base.ProxyException;
import org.coltsfootproxy.base.RecordCodec;
import org.coltsfootproxy.base.ServiceId;
import org.coltsfootproxy.base.SoftwareVersion;
import org.coltsfootproxy.base.SuspectId;
import org.coltsfootproxy.base.WireCode;
import org.coltsfootproxy.consensus.StateMachine;
import org.coltsfootproxy.message.ServiceVersions;

/**
 * Replicated state of the fleet: the initial members of the job log, which are set once, the
 * retiring hosts, which are never removed, the quarantined parts of prompts, and the software
 * versions that services have had recently.
 */
final class FleetState implements StateMachine {
    private static final byte[] EMPTY_RESULT = new byte[0];

    private List<Member> mInitialMembers = List.of();
    private final Set<HostId> mRetiring = new TreeSet<>();
    private Set<SuspectId> mQuarantined = Set.of();
    private Map<ServiceId, Set<SoftwareVersion>> mVersions = Map.of();

    /** The encoding of the state in snapshots. */
    sealed interface Snapshot {
        RecordCodec<Snapshot> CODEC = RecordCodec.of(Snapshot.class);

        /** The complete state. */
        @WireCode(1)
        record Contents(
                List<Member> initialMembers,
                List<HostId> retiring,
                List<SuspectId> quarantined,
                List<ServiceVersions> versions)
                implements Snapshot {
            /** Fills in what a snapshot of an earlier version lacks. */
            public Contents {
                quarantined = quarantined == null ? List.of() : List.copyOf(quarantined);
                versions = versions == null ? List.of() : List.copyOf(versions);
            }
        }
    }

    /** Returns the initial members of the job log; empty if it is not bootstrapped yet. */
    List<Member> initialMembers() {
        return mInitialMembers;
    }

    /** Returns the hosts that are being retired or have been. */
    Set<HostId> retiring() {
        return Set.copyOf(mRetiring);
    }

    /** Returns the parts of prompts that are quarantined. */
    Set<SuspectId> quarantined() {
        return mQuarantined;
    }

    /** Returns the versions that services have had recently; a new instance after each change. */
    Map<ServiceId, Set<SoftwareVersion>> versions() {
        return mVersions;
    }

    private static Map<ServiceId, Set<SoftwareVersion>> byService(List<ServiceVersions> versions) {
        return versions.stream()
                .collect(toMap(ServiceVersions::service, v -> Set.copyOf(v.versions())));
    }

    @Override
    public byte[] apply(long index, byte[] command) {
        try {
            apply(FleetCommand.CODEC.decode(command));
        } catch (ProxyException e) {
            throw new IllegalStateException("the fleet's own command is malformed", e);
        }
        return EMPTY_RESULT;
    }

    private void apply(FleetCommand command) {
        if (command instanceof FleetCommand.BootstrapJobLog bootstrap
                && mInitialMembers.isEmpty()) {
            mInitialMembers = List.copyOf(bootstrap.members());
        } else if (command instanceof FleetCommand.Retire retire) {
            mRetiring.add(retire.host());
        } else if (command instanceof FleetCommand.Quarantine quarantine) {
            mQuarantined = Set.copyOf(quarantine.parts());
        } else if (command instanceof FleetCommand.RecordVersions recorded) {
            mVersions = byService(recorded.versions());
        }
    }

    @Override
    public byte[] snapshot() {
        return Snapshot.CODEC.encode(
                new Snapshot.Contents(
                        mInitialMembers,
                        List.copyOf(mRetiring),
                        mQuarantined.stream().sorted().toList(),
                        mVersions.entrySet().stream()
                                .sorted(Map.Entry.comparingByKey())
                                .map(entry -> serviceVersions(entry.getKey(), entry.getValue()))
                                .toList()));
    }

    private static ServiceVersions serviceVersions(
            ServiceId service, Set<SoftwareVersion> versions) {
        return new ServiceVersions(
                service,
                versions.stream().sorted(Comparator.comparing(SoftwareVersion::value)).toList());
    }

    @Override
    public void restore(byte[] snapshot) {
        try {
            var contents = (Snapshot.Contents) Snapshot.CODEC.decode(snapshot);
            mInitialMembers = List.copyOf(contents.initialMembers());
            mRetiring.clear();
            mRetiring.addAll(contents.retiring());
            mQuarantined = Set.copyOf(contents.quarantined());
            mVersions = byService(contents.versions());
        } catch (ProxyException e) {
            throw new IllegalArgumentException("snapshot of the fleet is damaged", e);
        }
    }
}
