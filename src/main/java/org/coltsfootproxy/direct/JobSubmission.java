package org.coltsfootproxy.direct;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import java.util.List;
import org.coltsfootproxy.base.JobId;
import org.coltsfootproxy.message.Header;

/** A batch job as a caller submits it. */
public record JobSubmission(JobId id, List<Item> items) {
    /**
     * One item.
     *
     * @param id id of the item, unique within the job
     * @param headers headers of the item's call to a target
     */
    public record Item(String id, String path, List<Header> headers, byte[] body) {
        /** Validates the components. */
        public Item {
            checkNotNull(id, "item id is missing");
            checkNotNull(path, "path is missing");
            headers = List.copyOf(headers);
            checkNotNull(body, "body is missing");
        }
    }

    /** Validates the components. */
    public JobSubmission {
        checkNotNull(id, "job id is missing");
        items = List.copyOf(items);
        checkArgument(!items.isEmpty(), "job %s has no items", id);
    }
}
