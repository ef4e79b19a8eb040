package org.coltsfootproxy.job;

import org.coltsfootproxy.base.ErrorKind;
import org.coltsfootproxy.base.Ran;
import org.coltsfootproxy.message.ItemReport;
import org.coltsfootproxy.message.LeasedItem;

/** Creates the report of an item from the target's answer or failure. */
public final class ItemReports {
    /** Maximum size of the body of a result, in bytes. */
    public static final int MAX_RESULT_BYTES = 256 << 10;

    private static final int FIRST_SUCCESS = 200;
    private static final int FIRST_REDIRECT = 300;
    private static final int FIRST_CLIENT_ERROR = 400;
    private static final int FIRST_SERVER_ERROR = 500;
    private static final int REQUEST_TIMEOUT = 408;
    private static final int TOO_EARLY = 425;
    private static final int TOO_MANY_REQUESTS = 429;

    private ItemReports() {}

    /**
     * Returns the report of a complete answer.
     *
     * <p>A success is the item's result. A client error is final, except 408, 425 and 429; after
     * 425 and 429 the item is retried. Any other status is retried if the item may be repeated, and
     * leaves it in doubt otherwise. An answer above {@link #MAX_RESULT_BYTES} is refused, unless it
     * is a success of an item that may not be repeated, which is then in doubt.
     */
    public static ItemReport ofAnswer(LeasedItem item, int status, byte[] body, long runMillis) {
        if (body.length > MAX_RESULT_BYTES) {
            String error = "the answer has more than " + MAX_RESULT_BYTES + " bytes";
            return new ItemReport(
                    item.lease(), tooLargeOutcome(item, status), 0, new byte[0], error, runMillis);
        }
        String error = isSuccess(status) ? "" : "the target answered " + status;
        return new ItemReport(item.lease(), outcome(item, status), status, body, error, runMillis);
    }

    private static ItemReport.Outcome tooLargeOutcome(LeasedItem item, int status) {
        boolean mayHaveRun = !item.repeatable() && isSuccess(status);
        return mayHaveRun ? ItemReport.Outcome.MAY_HAVE_RUN : ItemReport.Outcome.REFUSED;
    }

    private static ItemReport.Outcome outcome(LeasedItem item, int status) {
        if (isSuccess(status)) {
            return ItemReport.Outcome.DONE;
        } else if (status == TOO_MANY_REQUESTS || status == TOO_EARLY) {
            return ItemReport.Outcome.ATTEMPT_FAILED;
        } else if (status >= FIRST_CLIENT_ERROR
                && status < FIRST_SERVER_ERROR
                && status != REQUEST_TIMEOUT) {
            return ItemReport.Outcome.REFUSED;
        }
        return retryOutcome(item);
    }

    private static boolean isSuccess(int status) {
        return status >= FIRST_SUCCESS && status < FIRST_REDIRECT;
    }

    private static ItemReport.Outcome retryOutcome(LeasedItem item) {
        return item.repeatable()
                ? ItemReport.Outcome.ATTEMPT_FAILED
                : ItemReport.Outcome.MAY_HAVE_RUN;
    }

    /** Returns the report of a call that ended without a complete answer. */
    public static ItemReport ofFailure(
            LeasedItem item, ErrorKind kind, Ran ran, String detail, long runMillis) {
        ItemReport.Outcome outcome =
                ran == Ran.NO ? ItemReport.Outcome.ATTEMPT_FAILED : retryOutcome(item);
        String error = kind.label() + ": " + detail;
        return ItemReport.failed(item.lease(), outcome, error, runMillis);
    }

    /**
     * Returns the report of an item that was stopped in favour of online requests.
     *
     * @param ran whether the item has run; an item that may not be repeated is given back only if
     *     it has not
     */
    public static ItemReport ofStopped(LeasedItem item, Ran ran) {
        return item.repeatable() || ran == Ran.NO
                ? ItemReport.givenBack(item.lease())
                : ItemReport.failed(
                        item.lease(),
                        ItemReport.Outcome.MAY_HAVE_RUN,
                        "stopped for online requests",
                        0);
    }
}
