package org.coltsfootproxy.work;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/**
 * What is known of a call's cost before it runs.
 *
 * @param route name of the route, or of the service for a batch item
 * @param organisation name of the organisation
 * @param subject the prompt part that most closely tells calls of one purpose from others; empty if
 *     none is named
 * @param declared the sizes that the caller declares
 * @param bodyBytes length of the body, in bytes
 */
public record WorkFeatures(
        String route, String organisation, String subject, DeclaredSizes declared, int bodyBytes) {
    /** Checks the components. */
    public WorkFeatures {
        checkNotNull(route, "route is missing");
        checkNotNull(organisation, "organisation is missing");
        checkNotNull(subject, "subject is missing");
        checkNotNull(declared, "declared sizes are missing");
        checkArgument(bodyBytes >= 0, "bodyBytes %s is below 0", bodyBytes);
    }

    /** Returns these features for another route, or another service of a batch item. */
    public WorkFeatures withRoute(String other) {
        return new WorkFeatures(other, organisation, subject, declared, bodyBytes);
    }

    /**
     * Sizes that a caller declares, in tokens; 0 where it declares none.
     *
     * @param prompt tokens of the prompt
     * @param mostOutput most tokens that the output may have
     * @param hint the caller's estimate of the output's tokens
     */
    public record DeclaredSizes(int prompt, int mostOutput, int hint) {
        /** A caller that declares nothing. */
        public static final DeclaredSizes NONE = new DeclaredSizes(0, 0, 0);

        /** Checks the ranges. */
        public DeclaredSizes {
            checkArgument(prompt >= 0, "prompt %s is below 0", prompt);
            checkArgument(mostOutput >= 0, "mostOutput %s is below 0", mostOutput);
            checkArgument(hint >= 0, "hint %s is below 0", hint);
        }

        /** Returns whether the caller declares an upper bound of the tokens that a target holds. */
        public boolean hasBound() {
            return prompt > 0 && mostOutput > 0;
        }
    }
}
