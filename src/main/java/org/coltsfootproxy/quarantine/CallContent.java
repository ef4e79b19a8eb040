package org.coltsfootproxy.quarantine;

import java.util.List;
import java.util.stream.Stream;
import org.coltsfootproxy.base.PromptPartId;
import org.coltsfootproxy.base.SuspectId;

/**
 * What of a call's content may crash the target that runs it.
 *
 * @param parts parts of the prompt that other calls may share, in their order
 */
public record CallContent(List<SuspectId> parts) {
    /** Copies the list. */
    public CallContent {
        parts = List.copyOf(parts);
    }

    /** Returns the content of a batch item. */
    public static CallContent ofItem(List<PromptPartId> promptParts) {
        return new CallContent(promptParts.stream().map(SuspectId::ofPart).toList());
    }

    /** Returns all that may crash the target. */
    Stream<SuspectId> suspects() {
        return parts.stream();
    }
}
