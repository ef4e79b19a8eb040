package org.coltsfootproxy.quarantine;

import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.coltsfootproxy.base.PromptPartId;
import org.coltsfootproxy.base.SuspectId;

/**
 * What of a call's content may crash the target that runs it.
 *
 * @param parts parts of the prompt that other calls may share, in their order
 * @param request the content as a whole; empty for a batch item, which never crashes a target by
 *     itself
 */
public record CallContent(List<SuspectId> parts, Optional<SuspectId> request) {
    /** Copies the list. */
    public CallContent {
        parts = List.copyOf(parts);
    }

    /**
     * Returns the content of a request.
     *
     * @param contentHash hash of its caller, path and body
     */
    public static CallContent ofRequest(List<PromptPartId> promptParts, long contentHash) {
        return of(promptParts, Optional.of(SuspectId.ofRequest(contentHash)));
    }

    /** Returns the content of a batch item. */
    public static CallContent ofItem(List<PromptPartId> promptParts) {
        return of(promptParts, Optional.empty());
    }

    private static CallContent of(List<PromptPartId> promptParts, Optional<SuspectId> request) {
        return new CallContent(promptParts.stream().map(SuspectId::ofPart).toList(), request);
    }

    /** Returns all that may crash the target. */
    Stream<SuspectId> suspects() {
        return Stream.concat(request.stream(), parts.stream());
    }
}
