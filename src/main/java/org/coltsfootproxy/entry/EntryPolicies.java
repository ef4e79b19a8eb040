package org.coltsfootproxy.entry;

import java.util.function.Supplier;
import org.coltsfootproxy.limit.Limiter;
import org.coltsfootproxy.routing.AgentChooser;

/**
 * The policies of an entry that settings select.
 *
 * @param choosers makes the chooser of a service
 * @param limiters makes the limiter of organisations' rates
 * @param ownership who owns token buckets, as far as the limiter needs to know
 */
public record EntryPolicies(
        Supplier<AgentChooser> choosers, LimiterFactory limiters, LimitOwnership ownership) {
    /** Makes the limiter of an entry. */
    @FunctionalInterface
    public interface LimiterFactory {
        /** Returns a limiter that tells {@code listener}. */
        Limiter create(Limiter.Listener listener);
    }
}
