package org.coltsfootproxy.runtime;

import java.security.SecureRandom;
import java.util.Random;
import org.coltsfootproxy.base.ErrorKind;
import org.coltsfootproxy.base.Member;
import org.coltsfootproxy.base.ProxyException;
import org.coltsfootproxy.consensus.SurvivorRecovery;
import org.coltsfootproxy.storage.DataFolder;
import org.coltsfootproxy.storage.FileDisk;
import org.coltsfootproxy.storage.LogStore;

/**
 * Recovers the data folder of a control host after a quorum of disks was lost.
 *
 * <p>Must be used only while no control host runs. The folder's lock detects a process that uses
 * this folder, but not control hosts elsewhere.
 */
public final class SoleVoterRecovery {
    private SoleVoterRecovery() {}

    /**
     * Makes the host the only voter of every consensus group that its folder holds.
     *
     * @return the number of those groups
     * @throws ProxyException if the host has no control role, or its folder is empty, in use or
     *     damaged
     */
    public static int makeOnlyVoter(Settings settings) throws ProxyException {
        Settings.ControlRole role =
                settings.controlRole()
                        .orElseThrow(
                                () ->
                                        ProxyException.of(
                                                ErrorKind.SETTINGS_INVALID,
                                                settings.host() + " has no control role"));
        Random random = new Random(new SecureRandom().nextLong());
        int groups = 0;
        try (DataFolder folder = DataFolder.open(FileDisk.open(role.dataFolder()), random)) {
            Member survivor = Member.of(settings.host(), folder.incarnation());
            for (int group = 0; group <= settings.jobGroups(); group++) {
                groups += makeOnlyVoter(folder, group, survivor) ? 1 : 0;
            }
        }
        if (groups == 0) {
            String detail = role.dataFolder() + " holds no consensus group to recover";
            throw ProxyException.of(ErrorKind.NOT_FOUND, detail);
        }
        return groups;
    }

    private static boolean makeOnlyVoter(DataFolder folder, int group, Member survivor)
            throws ProxyException {
        try (LogStore store = folder.openGroup(group)) {
            if (store.recovered().isBlank()) {
                return false;
            }
            store.apply(SurvivorRecovery.soleVoter(store.recovered(), survivor));
            store.sync();
            return true;
        }
    }
}
