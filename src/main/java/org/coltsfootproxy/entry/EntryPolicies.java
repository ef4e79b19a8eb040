package org.coltsfootproxy.entry;

import java.util.function.Supplier;
import org.coltsfootproxy.limit.Limiter;
import org.coltsfootproxy.routing.AgentChooser;

/**
 * The policies of an entry that the settings select.
 *
 * @param choosers creates the agent chooser of a service
 * @param limiters creates the rate limiter
 * @param ownership ownership of token buckets, as the limiter uses it
 */
public record EntryPolicies(
        Supplier<AgentChooser> choosers, LimiterFactory limiters, LimitOwnership ownership) {
    /** Creates an entry's rate limiter. */
    @FunctionalInterface
    public interface LimiterFactory {
        /** Returns a limiter that notifies {@code listener} of deferred decisions. */
        Limiter create(Limiter.Listener listener);
    }
}
