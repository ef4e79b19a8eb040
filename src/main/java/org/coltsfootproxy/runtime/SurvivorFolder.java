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
 * The data folder of a control host that survived the loss of a quorum of disks.
 *
 * <p>To be used while no control host runs; the folder's lock refuses it beside one that does here.
 */
public final class SurvivorFolder {
    private SurvivorFolder() {}

    /**
     * Makes the host the only voter of every group that its folder holds.
     *
     * @return the number of those groups
     * @throws ProxyException if the host has no folder or it holds nothing, is in use or damaged
     */
    public static int makeOnlyVoter(Settings settings) throws ProxyException {
        Settings.ControlRole role =
                settings.controlRole()
                        .orElseThrow(
                                () ->
                                        ProxyException.of(
                                                ErrorKind.SETTINGS_INVALID,
                                                settings.host() + " is no control host"));
        Random random = new Random(new SecureRandom().nextLong());
        int groups = 0;
        try (DataFolder folder = DataFolder.open(FileDisk.open(role.dataFolder()), random)) {
            Member survivor = Member.of(settings.host(), folder.incarnation());
            for (int group = 0; group <= settings.jobGroups(); group++) {
                groups += makeOnlyVoter(folder, group, survivor) ? 1 : 0;
            }
        }
        if (groups == 0) {
            String detail = role.dataFolder() + " holds nothing to go on from";
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
