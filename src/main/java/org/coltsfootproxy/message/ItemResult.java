package org.coltsfootproxy.message;

/**
 * What became of one item.
 *
 * @param index place in the job, from 0
 * @param id the caller's name for the item, or empty
 * @param status HTTP status of the target's answer, 0 if there was none
 * @param body body of the target's answer, empty if there was none
 * @param error last error, empty if there was none
 * @param attempts calls that failed before
 * @param fence fencing number of the run in doubt if the item may have run, else 0
 */
public record ItemResult(
        int index,
        String id,
        ItemState state,
        int status,
        byte[] body,
        String error,
        int attempts,
        long fence) {}
