package org.coltsfootproxy.job;

import java.time.DateTimeException;
import java.time.OffsetDateTime;
import java.util.List;
import org.coltsfootproxy.base.ErrorKind;
import org.coltsfootproxy.base.JobId;
import org.coltsfootproxy.base.OrganisationId;
import org.coltsfootproxy.base.ProxyException;
import org.coltsfootproxy.config.ConfigView;
import org.coltsfootproxy.config.Route;
import org.coltsfootproxy.message.JobItem;
import org.coltsfootproxy.message.JobMessage;
import org.coltsfootproxy.message.JobSpec;
import org.coltsfootproxy.message.SettleDecision;

/** Converts HTTP calls on batch jobs into requests to the control hosts. */
final class JobRequests {
    private static final String METHOD = "POST";
    private static final long MAX_DEADLINE_SECONDS = 366L * 24 * 3600;
    private static final long MILLIS_PER_SECOND = 1_000;

    private final int mGroups;

    JobRequests(int groups) {
        mGroups = groups;
    }

    /** The caller's organisation, the configuration and the time at which a call is evaluated. */
    record Context(OrganisationId organisation, ConfigView config, long epochMillis) {}

    /**
     * Returns the request for a call.
     *
     * @param number number that the answer repeats
     * @throws ProxyException if the call is not valid
     */
    JobMessage.Ask ask(JobCall call, Context context, long number) throws ProxyException {
        String operation = call.method() + " " + call.depth() + " " + call.segment(1);
        return switch (operation) {
            case "POST 0 " -> submit(call, context, number);
            case "PUT 1 " -> begin(call, context, number);
            case "POST 2 items" -> append(call, context, number);
            case "POST 2 commit" ->
                    new JobMessage.Commit(
                            group(call, context), number, context.organisation(), call.job());
            case "GET 1 " ->
                    new JobMessage.AskStatus(
                            group(call, context), number, context.organisation(), call.job());
            case "GET 2 results" -> results(call, context, number);
            case "DELETE 1 " ->
                    new JobMessage.Cancel(
                            group(call, context), number, context.organisation(), call.job());
            default -> throw noSuchCall(call);
        };
    }

    private static ProxyException noSuchCall(JobCall call) {
        boolean isPath =
                call.depth() <= 1
                        || (call.depth() == 2
                                && List.of("items", "commit", "results").contains(call.segment(1)));
        return isPath
                ? ProxyException.of(
                        ErrorKind.METHOD_NOT_ALLOWED, call.method() + " is not allowed here")
                : ProxyException.of(ErrorKind.NOT_FOUND, "batch jobs have no such path");
    }

    private int group(JobCall call, Context context) throws ProxyException {
        return group(call.job(), context);
    }

    private int group(JobId job, Context context) {
        return JobKey.of(context.organisation(), job).group(mGroups);
    }

    private JobMessage.Ask submit(JobCall call, Context context, long number)
            throws ProxyException {
        JobId id = JobCall.jobId(call.required("id"));
        List<JobItem> items = JobJsonLines.parse(call.body());
        if (items.isEmpty()) {
            throw ProxyException.of(ErrorKind.INVALID_JOB, "the body has no items");
        }
        JobSpec spec = spec(call, context, id, items.size());
        return new JobMessage.Submit(
                group(id, context), number, context.organisation(), spec, items);
    }

    private JobMessage.Ask begin(JobCall call, Context context, long number) throws ProxyException {
        String count = call.required("items");
        int items = (int) call.number("items", count, 1, Integer.MAX_VALUE);
        JobSpec spec = spec(call, context, call.job(), items);
        return new JobMessage.Begin(group(call, context), number, context.organisation(), spec);
    }

    private JobMessage.Ask append(JobCall call, Context context, long number)
            throws ProxyException {
        String text = call.required("offset");
        int offset = (int) call.number("offset", text, 0, Integer.MAX_VALUE);
        List<JobItem> items = JobJsonLines.parse(call.body());
        return new JobMessage.Append(
                group(call, context), number, context.organisation(), call.job(), offset, items);
    }

    private JobMessage.Ask results(JobCall call, Context context, long number)
            throws ProxyException {
        String text = call.parameter("from").orElse("0");
        int from = (int) call.number("from", text, 0, Integer.MAX_VALUE);
        return new JobMessage.AskResults(
                group(call, context), number, context.organisation(), call.job(), from);
    }

    private JobSpec spec(JobCall call, Context context, JobId id, int items) throws ProxyException {
        String path = call.required("service-path");
        String deadline = call.required("deadline");
        Route route =
                context.config()
                        .route(path)
                        .orElseThrow(
                                () ->
                                        ProxyException.of(
                                                ErrorKind.NO_ROUTE,
                                                "no route matches the path " + path));
        boolean mayUse =
                route.organisations().isEmpty()
                        || route.organisations().contains(context.organisation());
        if (!mayUse) {
            throw ProxyException.of(
                    ErrorKind.FORBIDDEN, "the organisation may not use the path " + path);
        }
        return JobSpec.of(
                id,
                route.service(),
                METHOD,
                path,
                route.isRepeatable(METHOD),
                route.timeoutMillis(),
                deadline(call, deadline, context.epochMillis()),
                deadline,
                items);
    }

    /**
     * Parses a deadline, which is a number of seconds from now or a time in ISO-8601 with an
     * offset, to milliseconds since 1970.
     */
    private static long deadline(JobCall call, String text, long epochMillis)
            throws ProxyException {
        if (text.chars().allMatch(Character::isDigit)) {
            long seconds = call.number("deadline", text, 1, MAX_DEADLINE_SECONDS);
            return epochMillis + seconds * MILLIS_PER_SECOND;
        }
        try {
            return OffsetDateTime.parse(text).toInstant().toEpochMilli();
        } catch (DateTimeException e) {
            throw ProxyException.of(
                    ErrorKind.INVALID_JOB,
                    "'deadline' must be seconds or a time like 2026-05-01T06:00:00Z, not " + text,
                    e);
        }
    }

    /** Returns the request for an operator's call to settle an item that may have run. */
    JobMessage.Ask settle(JobCall call, Context context, long number) throws ProxyException {
        int item = (int) call.number("item", call.segment(2), 0, Integer.MAX_VALUE);
        String fence = call.required("fence");
        SettleDecision decision = decision(call.required("decision"));
        return new JobMessage.Settle(
                group(call, context),
                number,
                context.organisation(),
                call.job(),
                item,
                call.number("fence", fence, 1, Long.MAX_VALUE),
                decision,
                call.body());
    }

    private static SettleDecision decision(String text) throws ProxyException {
        return switch (text) {
            case "run-again" -> SettleDecision.RUN_AGAIN;
            case "mark-failed" -> SettleDecision.MARK_FAILED;
            case "mark-done" -> SettleDecision.MARK_DONE;
            default ->
                    throw ProxyException.of(
                            ErrorKind.INVALID_JOB,
                            "'decision' must be run-again, mark-failed or mark-done, not " + text);
        };
    }
}
