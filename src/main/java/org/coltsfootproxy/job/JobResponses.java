package org.coltsfootproxy.job;

import com.fasterxml.jackson.annotation.JsonInclude;
import java.time.Instant;
import java.util.List;
import org.coltsfootproxy.message.Header;
import org.coltsfootproxy.message.JobMessage;
import org.coltsfootproxy.message.JobStatus;
import org.coltsfootproxy.node.Effect;
import org.coltsfootproxy.node.Effects;

/** HTTP responses about batch jobs. */
final class JobResponses {
    private static final int OK = 200;

    private JobResponses() {}

    /** Status of a job in JSON. Times are in ISO-8601; absent ones are omitted. */
    @JsonInclude(JsonInclude.Include.NON_NULL)
    record JobView(
            String id,
            String organisation,
            String state,
            String servicePath,
            boolean repeatable,
            String deadline,
            int items,
            int received,
            int waiting,
            int started,
            int done,
            int failed,
            int mayHaveRun,
            int cancelled,
            String accepted,
            String finished,
            String estimate,
            boolean late) {
        static JobView of(JobStatus status) {
            return new JobView(
                    status.spec().id().value(),
                    status.organisation().value(),
                    status.state().label(),
                    status.spec().path(),
                    status.spec().repeatable(),
                    time(status.spec().deadlineEpochMillis()),
                    status.spec().items(),
                    status.received(),
                    status.waiting(),
                    status.started(),
                    status.done(),
                    status.failed(),
                    status.mayHaveRun(),
                    status.cancelled(),
                    time(status.acceptedEpochMillis()),
                    time(status.finishedEpochMillis()),
                    time(status.estimateEpochMillis()),
                    status.isLate());
        }

        private static String time(long epochMillis) {
            return epochMillis == 0 ? null : Instant.ofEpochMilli(epochMillis).toString();
        }
    }

    /** The jobs of an organisation in JSON. */
    record JobList(List<JobView> jobs) {
        static JobList of(List<JobStatus> jobs) {
            return new JobList(jobs.stream().map(JobView::of).toList());
        }
    }

    static void sendResults(long call, JobMessage.Results results, Effects out) {
        byte[] body = JobJsonLines.format(results.results());
        boolean isLastPage = results.ended() && results.next() >= results.status().received();
        List<Header> headers =
                List.of(
                        Header.of("Content-Type", "application/x-ndjson"),
                        Header.of("Content-Length", Integer.toString(body.length)),
                        Header.of("Next-Item", Integer.toString(results.next())),
                        Header.of("Job-State", results.status().state().label()),
                        Header.of("Last-Page", Boolean.toString(isLastPage)));
        out.add(new Effect.HttpHead(call, OK, headers));
        out.add(new Effect.HttpChunk(call, body));
        out.add(new Effect.HttpEnd(call));
    }
}
