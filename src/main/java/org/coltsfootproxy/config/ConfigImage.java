package org.coltsfootproxy.config;

import java.util.List;
import org.coltsfootproxy.base.RecordCodec;
import org.coltsfootproxy.base.WireCode;

/** The whole state of the configuration as snapshots hold it. */
sealed interface ConfigImage {
    RecordCodec<ConfigImage> CODEC = RecordCodec.of(ConfigImage.class);

    /** The state; the arrays hold the parts of accepted tickets, in the order of numbers. */
    @WireCode(1)
    record Whole(
            long version,
            long floor,
            long deltaFloor,
            List<StampImage> stamps,
            long[] numbers,
            long[] digestsHigh,
            long[] digestsLow,
            long[] versions,
            List<RefusalImage> refusals,
            ConfigDocument document)
            implements ConfigImage {}

    /** One object or removal. */
    record StampImage(byte[] change, long ticket, long version) {}

    /** One refusal. */
    record RefusalImage(long number, long high, long low, String detail) {}
}
