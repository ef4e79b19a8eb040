package org.coltsfootproxy.message;

/**
 * Result of one item of a batch job.
 *
 * @param index index of the item in the job, from 0
 * @param id id that the caller gave the item, empty if it gave none
 * @param status HTTP status of the target's answer, 0 if there was none
 * @param body body of the target's answer, empty if there was none
 * @param error last error message, empty if there was none
 * @param attempts number of failed attempts
 * @param fence fencing number of the lease under which the item may have run if the state is {@link
 *     ItemState#MAY_HAVE_RUN}, else 0
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
