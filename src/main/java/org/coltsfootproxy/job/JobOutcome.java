package org.coltsfootproxy.job;

import java.util.List;
import org.coltsfootproxy.base.ErrorKind;
import org.coltsfootproxy.base.WireCode;
import org.coltsfootproxy.message.JobStatus;
import org.coltsfootproxy.message.ReportVerdict;

/** Results of the job ledger's commands. */
sealed interface JobOutcome {
    /** A leader's term begins. */
    @WireCode(1)
    record Term(long term) implements JobOutcome {}

    /** The order is carried out, now or when it was first sent. */
    @WireCode(2)
    record Accepted(JobStatus status) implements JobOutcome {}

    /** Nothing changed. */
    @WireCode(3)
    record Refused(ErrorKind kind, String detail) implements JobOutcome {}

    /** What became of each report, in order. */
    @WireCode(4)
    record Verdicts(List<ReportVerdict> verdicts) implements JobOutcome {}

    /** Whether each lease may run, in order. */
    @WireCode(5)
    record Starts(List<Boolean> granted) implements JobOutcome {}

    /** Number of jobs or items that changed. */
    @WireCode(6)
    record Count(int changed) implements JobOutcome {}
}
