package org.coltsfootproxy.consensus;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Checks the safety properties of a replicated log across all members and their restarts. */
final class Oracle {
    private record Applied(long checksum, String command) {}

    private final TreeMap<Long, Applied> mApplied = new TreeMap<>();
    private final Map<Long, String> mAcknowledged = new TreeMap<>();
    private final List<String> mRefused = new ArrayList<>();
    private long mLastAcknowledged;

    /**
     * Checks that all members apply the same command after the same history at an index, and that a
     * member's indexes increase.
     */
    void applied(long previousIndex, long index, long checksum, byte[] command) {
        assertTrue(index > previousIndex, "index " + index + " applied after " + previousIndex);
        String text = new String(command, java.nio.charset.StandardCharsets.UTF_8);
        Applied current = new Applied(checksum, text);
        Applied first = mApplied.putIfAbsent(index, current);
        assertTrue(
                first == null || first.equals(current), "index " + index + ": " + first + current);
    }

    /** Checks that a snapshot holds what was applied up to its index. */
    void restored(long index, long checksum, boolean complete) {
        assertTrue(complete, "a restored snapshot is truncated");
        assertEquals(
                checksum, index == 0 ? 0 : mApplied.get(index).checksum(), "snapshot " + index);
    }

    /** Checks that an acknowledged command is the one applied at its index. */
    void acknowledged(long index, String command) {
        assertEquals(mApplied.get(index).command(), command, "acknowledged at " + index);
        mAcknowledged.put(index, command);
        mLastAcknowledged = Math.max(mLastAcknowledged, index);
    }

    /** Records a command that was refused, which must never be applied. */
    void refused(String command) {
        mRefused.add(command);
    }

    long lastAcknowledged() {
        return mLastAcknowledged;
    }

    int acknowledgedCount() {
        return mAcknowledged.size();
    }

    /**
     * Checks that no acknowledged command is lost, none applied twice and no refused one applied.
     */
    void verify(long appliedEverywhere) {
        assertTrue(
                appliedEverywhere >= mLastAcknowledged,
                "acknowledged commands are lost after index " + appliedEverywhere);
        List<String> commands = mApplied.values().stream().map(Applied::command).toList();
        assertEquals(
                commands.stream().distinct().count(),
                commands.size(),
                "a command was applied twice");
        mRefused.forEach(
                refused ->
                        assertTrue(
                                !commands.contains(refused),
                                "applied although refused: " + refused));
    }
}
