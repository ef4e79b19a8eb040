package org.coltsfootproxy.direct;

import org.coltsfootproxy.base.EventCode;
import org.coltsfootproxy.base.SoftwareVersion;
import org.coltsfootproxy.message.ItemReport;
import org.coltsfootproxy.node.Effects;
import org.coltsfootproxy.node.LogField;

/** The log lines of decisions on the batch items that a store runs. */
final class ItemLog {
    private ItemLog() {}

    /** Logs that an item is sent to a target, which is the item's current one. */
    static void sent(ItemRun run, Target target, long listing, Effects out) {
        out.log(
                EventCode.ITEM_SENT,
                LogField.of("job", run.lease().job()),
                LogField.of("item", run.lease().item()),
                LogField.of("lease", run.lease().fence()),
                LogField.of("promptParts", run.content().parts()),
                LogField.of("service", run.service()),
                LogField.of("target", target.listed().id()),
                LogField.of("version", target.listed().version()),
                LogField.of("online", target.online()),
                LogField.of("batch", target.batch()),
                LogField.of("listing", listing),
                LogField.of("after", run.lastEvent().orElse("")));
    }

    /** Logs that an attempt at a target has ended without complete output. */
    static void attemptEnded(ItemRun run, String why, Effects out) {
        out.log(
                EventCode.ITEM_TRY_ENDED,
                LogField.of("job", run.lease().job()),
                LogField.of("item", run.lease().item()),
                LogField.of("lease", run.lease().fence()),
                LogField.of("why", why),
                LogField.of("hadHead", run.hasSuccess()),
                LogField.of("hadEvents", run.hasProgressed()),
                LogField.of("promptParts", run.content().parts()),
                LogField.of("after", run.lastEvent().orElse("")));
    }

    /** Logs that an item's output is discarded, because no target can resume it. */
    static void begunAnew(ItemRun run, long listing, Effects out) {
        out.log(
                EventCode.ITEM_BEGUN_ANEW,
                LogField.of("job", run.lease().job()),
                LogField.of("item", run.lease().item()),
                LogField.of("lease", run.lease().fence()),
                LogField.of("version", run.version().map(SoftwareVersion::value).orElse("")),
                LogField.of("service", run.service()),
                LogField.of("listing", listing),
                LogField.of("bytes", run.output().length),
                LogField.of("after", run.lastEvent().orElse("")));
    }

    /** Logs the outcome that is reported to the job leader. */
    static void reported(ItemReport report, Effects out) {
        out.log(
                EventCode.ITEM_REPORTED,
                LogField.of("job", report.lease().job()),
                LogField.of("item", report.lease().item()),
                LogField.of("lease", report.lease().fence()),
                LogField.of("outcome", report.outcome()),
                LogField.of("why", report.error()),
                LogField.of("bytes", report.body().length));
    }
}
