package org.coltsfootproxy.control;

import java.util.List;
import org.coltsfootproxy.base.ErrorKind;
import org.coltsfootproxy.base.EventCode;
import org.coltsfootproxy.consensus.Proposer;
import org.coltsfootproxy.direct.ListedVersions;
import org.coltsfootproxy.message.ServiceVersions;
import org.coltsfootproxy.node.Effects;
import org.coltsfootproxy.node.LogField;

/**
 * Keeps the software versions that services have had recently in the log of the control hosts, so
 * that they outlast the end of all hosts.
 */
final class VersionRecord {
    private final ListedVersions mVersions;
    private final FleetState mState;
    private final RaftGroup mConfig;
    private boolean mIsProposing;

    VersionRecord(ListedVersions versions, FleetState state, RaftGroup config) {
        mVersions = versions;
        mState = state;
        mConfig = config;
    }

    /** Passes the record to the versions; returns whether the target list may have to change. */
    boolean update(long nowNanos) {
        return mVersions.update(mConfig.isLeader(nowNanos), mState.versions(), nowNanos);
    }

    /** Proposes a change of the record, if one is due. */
    void tick(Effects out) {
        if (!mIsProposing) {
            mVersions.takeDueRecord().ifPresent(versions -> propose(versions, out));
        }
    }

    private void propose(List<ServiceVersions> versions, Effects out) {
        mIsProposing = true;
        mConfig.propose(
                ConfigStateMachine.versionsCommand(new FleetCommand.RecordVersions(versions)),
                new Proposer.Completion() {
                    @Override
                    public void committed(long index, byte[] result) {
                        mIsProposing = false;
                        out.log(
                                EventCode.VERSIONS_RECORDED,
                                LogField.of("index", index),
                                LogField.of("versions", text(versions)));
                    }

                    @Override
                    public void failed(ErrorKind kind) {
                        mIsProposing = false;
                    }
                });
    }

    private static String text(List<ServiceVersions> versions) {
        return versions.stream().map(v -> v.service() + "=" + v.versions()).toList().toString();
    }
}
