package org.coltsfootproxy.control;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.base.RecordCodec;
import org.coltsfootproxy.message.Message;
import org.coltsfootproxy.node.Effect;

/**
 * Measures the dissemination of the configuration by five control hosts, in virtual time but with
 * real encodings: the latency from the acceptance of a ticket until its version is in force at a
 * subscriber, and the bytes per second of a subscriber and of a control host.
 *
 * <p>This is a program, not a test. Links have a one-way delay of 1.5 ms, and a sync takes 0.2 ms.
 * Each message counts with 8 bytes of framing and 40 bytes of TCP and IP headers.
 */
public final class ConfigMeasurement {
    private static final int CONTROL_HOSTS = 5;
    private static final long LINK_DELAY_NANOS = 1_500_000;
    private static final long SECOND_NANOS = TimeUnit.SECONDS.toNanos(1);
    private static final int FRAMING_BYTES = 8 + 40;
    private static final int CHANGES = 20;
    private static final long IDLE_SECONDS = 30;

    private final RecordCodec<Message> mCodec = RecordCodec.of(Message.class);
    private long mSubscriberBytes;
    private long mControlBytes;
    private long mMessages;

    private ConfigMeasurement() {}

    /** Prints measurements for 8, 400 and 2,000 subscribers. */
    public static void main(String[] args) {
        System.out.println(
                "subscribers  p50 ms  max ms  idle B/s each  B per change each"
                        + "  idle B/s of a control host  messages/s of a control host");
        for (int subscribers : new int[] {8, 400, 2000}) {
            new ConfigMeasurement().measure(subscribers);
        }
    }

    private void measure(int subscribers) {
        var fleet = new ControlFleet(CONTROL_HOSTS, subscribers, 1);
        fleet.simulation().setLink((from, send, now) -> count(from, send));
        HostId leader = fleet.awaitLeader();
        fleet.simulation().run(5 * SECOND_NANOS);
        reset();
        fleet.simulation().run(IDLE_SECONDS * SECOND_NANOS);
        double subscriberIdle = (double) mSubscriberBytes / IDLE_SECONDS / subscribers;
        double controlIdle = (double) mControlBytes / IDLE_SECONDS / CONTROL_HOSTS;
        double messages = (double) mMessages / IDLE_SECONDS / CONTROL_HOSTS;
        reset();
        long start = fleet.simulation().now();
        long[] latencies = measureChanges(fleet, leader);
        double seconds = (fleet.simulation().now() - start) / 1e9;
        double perChange =
                ((double) mSubscriberBytes / subscribers - subscriberIdle * seconds) / CHANGES;
        System.out.printf(
                "%11d %7.1f %7.1f %14.0f %18.0f %27.0f %29.0f%n",
                subscribers,
                latencies[latencies.length / 2] / 1e6,
                latencies[latencies.length - 1] / 1e6,
                subscriberIdle,
                perChange,
                controlIdle,
                messages);
    }

    private long[] measureChanges(ControlFleet fleet, HostId leader) {
        List<Long> latencies = new ArrayList<>();
        Random random = new Random(1);
        IntStream.rangeClosed(1, CHANGES)
                .forEach(
                        n -> {
                            fleet.simulation().run((long) (random.nextDouble() * SECOND_NANOS));
                            ControlFleet.Response response = fleet.apply(leader, n, "o" + n, 5);
                            long accepted = awaitAccept(fleet, response);
                            fleet.simulation()
                                    .run(SECOND_NANOS - (fleet.simulation().now() - accepted));
                            fleet.subscribers()
                                    .forEach(s -> latencies.add(inForceNanos(s, n) - accepted));
                        });
        long[] sorted = latencies.stream().mapToLong(t -> t).toArray();
        Arrays.sort(sorted);
        return sorted;
    }

    private static long awaitAccept(ControlFleet fleet, ControlFleet.Response response) {
        while (!response.mIsComplete) {
            fleet.simulation().run(100_000);
        }
        return fleet.simulation().now();
    }

    private static long inForceNanos(ControlFleet.Subscriber subscriber, long version) {
        if (subscriber.config().view().version() != version) {
            throw new IllegalStateException("version " + version + " is not in force after 1 s");
        }
        return subscriber.changedNanos();
    }

    private void reset() {
        mSubscriberBytes = 0;
        mControlBytes = 0;
        mMessages = 0;
    }

    private List<Long> count(HostId from, Effect.Send send) {
        int bytes = mCodec.encode(send.message()).length + FRAMING_BYTES;
        boolean isFromControl = from.value().startsWith("control");
        boolean isToControl = send.to().value().startsWith("control");
        if (!isFromControl || !isToControl) {
            mSubscriberBytes += bytes;
        }
        int controlEnds = (isFromControl ? 1 : 0) + (isToControl ? 1 : 0);
        mControlBytes += (long) bytes * controlEnds;
        mMessages += controlEnds;
        return List.of(LINK_DELAY_NANOS);
    }
}
