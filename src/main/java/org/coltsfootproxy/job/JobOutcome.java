package org.coltsfootproxy.job;

import java.util.List;
import org.coltsfootproxy.base.ErrorKind;
import org.coltsfootproxy.base.WireCode;
import org.coltsfootproxy.message.JobStatus;
import org.coltsfootproxy.message.ReportVerdict;

/** Results of the job ledger's commands. */
sealed interface JobOutcome {
    /** The number of the leader's new term. */
    @WireCode(1)
    record Term(long term) implements JobOutcome {}

    /** The command was applied, now or when it was first sent. */
    @WireCode(2)
    record Accepted(JobStatus status) implements JobOutcome {}

    /** The command was refused and changed nothing. */
    @WireCode(3)
    record Refused(ErrorKind kind, String detail) implements JobOutcome {}

    /** The verdict on each report, in the order of the reports. */
    @WireCode(4)
    record Verdicts(List<ReportVerdict> verdicts) implements JobOutcome {}

    /** Whether each durable start was granted, in the order of the leases. */
    @WireCode(5)
    record Starts(List<Boolean> granted) implements JobOutcome {}

    /** The number of jobs or items that changed. */
    @WireCode(6)
    record Count(int changed) implements JobOutcome {}
}
