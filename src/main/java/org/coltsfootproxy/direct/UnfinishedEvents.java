package org.coltsfootproxy.direct;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.Collection;
import java.util.Optional;
import java.util.stream.Stream;

/**
 * Bounds the events that have begun and not ended, of all streams of a host together. Each stream
 * has a limit of its own, {@link EventReader#MAX_EVENT_BYTES}, of which hundreds fill a heap.
 */
final class UnfinishedEvents {
    /** Fraction of the heap that unfinished events may occupy. */
    private static final double HEAP_FRACTION = 1 / 12.0;

    /** Size up to which an event is not bounded; many times the size of any sound event. */
    private static final int SMALL_BYTES = 16 << 10;

    private final long mMaxBytes;

    private UnfinishedEvents(long maxBytes) {
        checkArgument(maxBytes > 0, "maxBytes %s is not positive", maxBytes);
        mMaxBytes = maxBytes;
    }

    /** Returns a bound of {@code maxBytes}. */
    static UnfinishedEvents atMost(long maxBytes) {
        return new UnfinishedEvents(maxBytes);
    }

    /** Returns a bound that follows from the heap. */
    static UnfinishedEvents ofHeap() {
        return atMost((long) (HEAP_FRACTION * Runtime.getRuntime().maxMemory()));
    }

    /** Returns why the stream of a request can't be read any further; empty if it can. */
    Optional<String> fault(EventReader stream, Collection<DirectRequest> requests) {
        return fault(stream, requests.stream().map(DirectRequest::events));
    }

    /**
     * Returns why a stream can't be read any further: its own fault, or a large unfinished event
     * while those of all streams exceed the bound; empty if it can.
     */
    Optional<String> fault(EventReader stream, Stream<EventReader> allStreams) {
        Optional<String> fault = stream.fault();
        if (fault.isPresent() || stream.unfinishedBytes() <= SMALL_BYTES) {
            return fault;
        }
        long total = allStreams.mapToLong(EventReader::unfinishedBytes).sum();
        return total > mMaxBytes
                ? Optional.of("unfinished events of all streams have " + total + " bytes")
                : Optional.empty();
    }
}
