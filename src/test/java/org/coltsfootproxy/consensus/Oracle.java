package org.coltsfootproxy.consensus;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** What must hold of a replicated log, over all members and all their lives. */
final class Oracle {
    private record Applied(long chain, String command) {}

    private final TreeMap<Long, Applied> mApplied = new TreeMap<>();
    private final Map<Long, String> mAcknowledged = new TreeMap<>();
    private final List<String> mRefused = new ArrayList<>();
    private long mLastAcknowledged;

    /** All members apply the same command with the same history at an index, each index once. */
    void applied(long former, long index, long chain, byte[] command) {
        assertTrue(index > former, "index " + index + " applied after " + former);
        String text = new String(command, java.nio.charset.StandardCharsets.UTF_8);
        Applied now = new Applied(chain, text);
        Applied first = mApplied.putIfAbsent(index, now);
        assertTrue(first == null || first.equals(now), "index " + index + ": " + first + now);
    }

    /** A snapshot holds what was applied up to its index. */
    void restored(long index, long chain, boolean whole) {
        assertTrue(whole, "a snapshot is cut");
        assertEquals(chain, index == 0 ? 0 : mApplied.get(index).chain(), "snapshot " + index);
    }

    /** An acknowledged command is the one applied at its index. */
    void acknowledged(long index, String command) {
        assertEquals(mApplied.get(index).command(), command, "acknowledged at " + index);
        mAcknowledged.put(index, command);
        mLastAcknowledged = Math.max(mLastAcknowledged, index);
    }

    /** A command that was refused as certainly not taken is never applied. */
    void refused(String command) {
        mRefused.add(command);
    }

    long lastAcknowledged() {
        return mLastAcknowledged;
    }

    int acknowledgedCount() {
        return mAcknowledged.size();
    }

    /** Checks at the end that nothing acknowledged is lost and nothing ran twice. */
    void finish(long appliedEverywhere) {
        assertTrue(appliedEverywhere >= mLastAcknowledged, "lost after " + appliedEverywhere);
        List<String> commands = mApplied.values().stream().map(Applied::command).toList();
        assertEquals(commands.stream().distinct().count(), commands.size(), "applied twice");
        mRefused.forEach(refused -> assertTrue(!commands.contains(refused), "ran: " + refused));
    }
}
