package org.coltsfootproxy.job;

import org.coltsfootproxy.base.ErrorKind;
import org.coltsfootproxy.base.Ran;
import org.coltsfootproxy.message.ItemReport;
import org.coltsfootproxy.message.LeasedItem;

/** Decides what an answer or failure of the target means for an item. */
public final class ItemReports {
    /** Longest body of a result in bytes. */
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
     * Returns the report of a whole answer.
     *
     * <p>Success is the item's result. A client error other than "try later" is the target's last
     * word. A server error may be tried again if the item may be repeated, and else is in doubt.
     */
    public static ItemReport ofAnswer(LeasedItem item, int status, byte[] body, long runMillis) {
        if (body.length > MAX_RESULT_BYTES) {
            String error = "the answer has more than " + MAX_RESULT_BYTES + " bytes";
            return new ItemReport(
                    item.lease(), tooLarge(item, status), 0, new byte[0], error, runMillis);
        }
        String error = isSuccess(status) ? "" : "the target answered " + status;
        return new ItemReport(item.lease(), outcome(item, status), status, body, error, runMillis);
    }

    private static ItemReport.Outcome tooLarge(LeasedItem item, int status) {
        boolean hasRun = !item.repeatable() && isSuccess(status);
        return hasRun ? ItemReport.Outcome.MAY_HAVE_RUN : ItemReport.Outcome.REFUSED;
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
        return again(item);
    }

    private static boolean isSuccess(int status) {
        return status >= FIRST_SUCCESS && status < FIRST_REDIRECT;
    }

    private static ItemReport.Outcome again(LeasedItem item) {
        return item.repeatable()
                ? ItemReport.Outcome.ATTEMPT_FAILED
                : ItemReport.Outcome.MAY_HAVE_RUN;
    }

    /** Returns the report of a call that ended without a whole answer. */
    public static ItemReport ofFailure(
            LeasedItem item, ErrorKind kind, Ran ran, String detail, long runMillis) {
        ItemReport.Outcome outcome =
                ran == Ran.NO ? ItemReport.Outcome.ATTEMPT_FAILED : again(item);
        String error = kind.label() + ": " + detail;
        return ItemReport.failed(item.lease(), outcome, error, runMillis);
    }

    /**
     * Returns the report of an item that was stopped for online requests.
     *
     * @param ran what is known about its run; an item that may not be repeated is given back only
     *     if it has not run
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
