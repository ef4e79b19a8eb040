package org.coltsfootproxy.soak;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.coltsfootproxy.soak.SendLog.Send;
import org.coltsfootproxy.soak.SoakRoutes.Kind;

/**
 * Checks how often requests and items reached targets, and with how much time, by what the targets
 * have seen.
 */
final class BudgetCheck {
    /** Requests at too many targets, and late ends, that are allowed in a run. */
    private static final int MAX_REQUESTS_OVER_LIMIT = 3;

    private static final int MAX_LATE_ENDS = 20;
    private static final double MAX_LATE_FRACTION = 0.2;

    /** Time by which an end may be later than the first end and the caller's. */
    private static final long MAX_LATE_MILLIS = 500;

    private static final int UNPROCESSABLE = 422;
    private static final int INTERNAL_ERROR = 500;
    private static final int MAX_UNPROCESSABLE = 3;
    private static final int MAX_ERRORS_PER_ATTEMPT = 3;

    private final SendLog mLog;
    private final Map<String, List<Send>> mSends;

    BudgetCheck(SendLog log) {
        mLog = log;
        mSends =
                log.sends().entrySet().stream()
                        .collect(Collectors.toMap(Map.Entry::getKey, BudgetCheck::inOrder));
    }

    private static List<Send> inOrder(Map.Entry<String, List<Send>> sends) {
        return List.copyOf(sends.getValue()).stream()
                .sorted(Comparator.comparingLong(send -> send.mAtMillis))
                .toList();
    }

    private static long targets(List<Send> sends, Predicate<Send> counted) {
        return sends.stream().filter(counted).map(send -> send.mTarget).distinct().count();
    }

    private List<List<Send>> online(Predicate<List<Send>> isCase) {
        return mSends.values().stream()
                .filter(sends -> sends.get(0).mRoute.kind() != Kind.BATCH)
                .filter(isCase)
                .toList();
    }

    /**
     * Returns the requests that ran at more targets than their route allows, without targets that
     * ended before the last send.
     */
    List<List<Send>> runsOverLimit() {
        return online(
                sends -> {
                    long last = sends.get(sends.size() - 1).mAtMillis;
                    return targets(sends, send -> send.mHasRun && send.mTargetEndMillis > last)
                            > sends.get(0).mRoute.maxAttempts();
                });
    }

    /** Returns the requests that were sent to more targets than their route allows. */
    List<List<Send>> sendsOverLimit() {
        return online(sends -> targets(sends, send -> true) > sends.get(0).mRoute.maxAttempts());
    }

    /**
     * Returns the requests without streams that entries in touch handed on with more time than was
     * left.
     */
    List<List<Send>> lateEnds() {
        return lateEnds(mLog::isInTouch);
    }

    private List<List<Send>> lateEnds(Predicate<Send> counted) {
        return online(
                sends ->
                        sends.get(0).mRoute.kind() == Kind.IDEMPOTENT
                                && sends.stream()
                                        .filter(counted)
                                        .anyMatch(send -> isLate(send, sends.get(0))));
    }

    private boolean isLate(Send send, Send first) {
        long callerEnd = mLog.callerEnd(send.mRequest);
        boolean isLongerThanCallers =
                send.mDeadlineMillis > callerEnd - first.mAtMillis + MAX_LATE_MILLIS;
        boolean isLater = send.mAtMillis > first.mAtMillis + MAX_LATE_MILLIS;
        long latestEnd = Math.max(callerEnd, first.endsAtMillis()) + MAX_LATE_MILLIS;
        return isLongerThanCallers || isLater && send.endsAtMillis() > latestEnd;
    }

    /** Returns the items that reached a target after their failures were used up. */
    List<List<Send>> itemsOverLimit() {
        return mSends.values().stream()
                .filter(sends -> sends.get(0).mRoute.kind() == Kind.BATCH)
                .filter(BudgetCheck::isItemOverLimit)
                .toList();
    }

    private static boolean isItemOverLimit(List<Send> sends) {
        List<Send> before = sends.subList(0, sends.size() - 1);
        long errors = before.stream().filter(send -> send.mStatus == INTERNAL_ERROR).count();
        long refusals = before.stream().filter(send -> send.mStatus == UNPROCESSABLE).count();
        return errors >= MAX_ERRORS_PER_ATTEMPT * sends.get(0).mRoute.maxAttempts()
                || refusals >= MAX_UNPROCESSABLE;
    }

    /** Returns the items that reached a target once more after an answer that ends them. */
    List<List<Send>> itemsRunAgain() {
        return mSends.values().stream()
                .filter(sends -> sends.get(0).mRoute.kind() == Kind.BATCH)
                .filter(
                        sends ->
                                sends.subList(0, sends.size() - 1).stream()
                                                .anyMatch(send -> send.mStatus == UNPROCESSABLE)
                                        || sends.stream()
                                                        .filter(
                                                                send ->
                                                                        send.mStatus
                                                                                == INTERNAL_ERROR)
                                                        .count()
                                                > sends.get(0).mRoute.maxAttempts())
                .toList();
    }

    /** Returns whether the rule is broken. */
    boolean isBroken() {
        int late = lateEnds().size();
        long repeated = online(sends -> sends.size() > 1).size();
        return runsOverLimit().size() > MAX_REQUESTS_OVER_LIMIT
                || late > MAX_LATE_ENDS && late > MAX_LATE_FRACTION * (late + repeated)
                || !itemsOverLimit().isEmpty();
    }

    /** Tells the numbers of cases, and some cases of each kind with all their sends. */
    void tell(Consumer<String> say, int cases) {
        say.accept(mSends.size() + " requests and items reached targets");
        tell("requests that ran at too many targets", runsOverLimit(), say, cases);
        tell("requests sent to too many targets", sendsOverLimit(), say, cases);
        tell("requests handed on with too much time, in touch", lateEnds(), say, cases);
        tell("requests handed on with too much time, any entry", lateEnds(s -> true), say, 0);
        tell("items at targets after their failures were used up", itemsOverLimit(), say, cases);
        tell("items run again after an answer that ends them", itemsRunAgain(), say, cases);
    }

    private void tell(String what, List<List<Send>> found, Consumer<String> say, int cases) {
        say.accept(what + ": " + found.size());
        found.stream()
                .limit(cases)
                .forEach(
                        sends -> {
                            Send first = sends.get(0);
                            long end = mLog.callerEnd(first.mRequest);
                            say.accept(
                                    "  "
                                            + first.mRequest
                                            + " of "
                                            + first.mRoute.name()
                                            + ", limit "
                                            + first.mRoute.maxAttempts()
                                            + (end > Integer.MAX_VALUE
                                                    ? ""
                                                    : ", until " + end + " ms"));
                            sends.forEach(send -> say.accept("    " + send));
                        });
    }
}
