package org.coltsfootproxy.control;

import static org.testng.Assert.assertEquals;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.base.Member;
import org.coltsfootproxy.base.RecordCodec;
import org.coltsfootproxy.base.ServiceId;
import org.coltsfootproxy.base.SoftwareVersion;
import org.coltsfootproxy.base.SuspectId;
import org.coltsfootproxy.base.WireCode;
import org.coltsfootproxy.message.ServiceVersions;
import org.testng.annotations.Test;

/** Tests of the replicated state of the fleet. */
public final class FleetStateTest {
    private static final ServiceId LM = ServiceId.of("lm");
    private static final SoftwareVersion V1 = SoftwareVersion.of("v1");
    private static final SoftwareVersion V2 = SoftwareVersion.of("v2");

    /** The encoding of snapshots before versions were recorded. */
    sealed interface EarlierSnapshot {
        RecordCodec<EarlierSnapshot> CODEC = RecordCodec.of(EarlierSnapshot.class);

        /** The complete state. */
        @WireCode(1)
        record Contents(
                List<Member> initialMembers, List<HostId> retiring, List<SuspectId> quarantined)
                implements EarlierSnapshot {}
    }

    private static ConfigStateMachine machineWithVersions() {
        ConfigStateMachine machine = new ConfigStateMachine();
        machine.apply(
                1,
                ConfigStateMachine.versionsCommand(
                        new FleetCommand.RecordVersions(
                                List.of(new ServiceVersions(LM, List.of(V1, V2))))));
        return machine;
    }

    /** Guards against a replica that forgets the versions with its log. */
    @Test
    public void recordedVersionsOutlastASnapshot() {
        ConfigStateMachine restored = new ConfigStateMachine();
        restored.restore(machineWithVersions().snapshot());
        assertEquals(restored.fleet().versions(), Map.of(LM, Set.of(V1, V2)));
    }

    /** Guards against a replica of a new version that can't read the snapshot of an earlier one. */
    @Test
    public void aSnapshotWithoutVersionsIsRestored() {
        FleetState state = new FleetState();
        HostId host = HostId.of("10.0.1.1");
        state.restore(
                EarlierSnapshot.CODEC.encode(
                        new EarlierSnapshot.Contents(List.of(), List.of(host), List.of())));
        assertEquals(state.versions(), Map.of());
        assertEquals(state.retiring(), Set.of(host));
    }

    /** Guards against a replica of an earlier version that can't read the snapshot of a new one. */
    @Test
    public void aReplicaOfAnEarlierVersionReadsASnapshotWithVersions() throws Exception {
        byte[] snapshot = machineWithVersions().fleet().snapshot();
        var contents = (EarlierSnapshot.Contents) EarlierSnapshot.CODEC.decode(snapshot);
        assertEquals(contents.retiring(), List.of());
    }
}
