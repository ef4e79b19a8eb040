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
 * Measures dissemination with five control hosts in virtual time and real encodings: time from
 * accept to in force, and bytes a second of a subscriber and of a control host.
 *
 * <p>Run as a program; it is no test. Links take 1.5 ms one way, a sync 0.2 ms. Frames are counted
 * with 8 bytes of framing, and 40 bytes for TCP and IP each.
 */
public final class ConfigMeasurement {
    private static final int CONTROLS = 5;
    private static final long LINK = 1_500_000;
    private static final long SECOND = TimeUnit.SECONDS.toNanos(1);
    private static final int FRAMING_BYTES = 8 + 40;
    private static final int CHANGES = 20;
    private static final long IDLE_SECONDS = 30;

    private final RecordCodec<Message> mCodec = RecordCodec.of(Message.class);
    private long mSubscriberBytes;
    private long mControlBytes;
    private long mMessages;

    private ConfigMeasurement() {}

    /** Measures with 8, 400 and 2,000 subscribers. */
    public static void main(String[] args) {
        System.out.println(
                "subscribers  p50 ms  max ms  idle B/s each  B per change each"
                        + "  idle B/s of a control host  messages/s of a control host");
        for (int subscribers : new int[] {8, 400, 2000}) {
            new ConfigMeasurement().measure(subscribers);
        }
    }

    private void measure(int subscribers) {
        var fleet = new ControlFleet(CONTROLS, subscribers, 1);
        fleet.fleet().link((from, send, now) -> count(from, send));
        HostId leader = fleet.awaitLeader();
        fleet.fleet().run(5 * SECOND);
        reset();
        fleet.fleet().run(IDLE_SECONDS * SECOND);
        double idle = (double) mSubscriberBytes / IDLE_SECONDS / subscribers;
        double control = (double) mControlBytes / IDLE_SECONDS / CONTROLS;
        double messages = (double) mMessages / IDLE_SECONDS / CONTROLS;
        reset();
        long start = fleet.fleet().now();
        long[] times = changes(fleet, leader);
        double seconds = (fleet.fleet().now() - start) / 1e9;
        double changing = ((double) mSubscriberBytes / subscribers - idle * seconds) / CHANGES;
        System.out.printf(
                "%11d %7.1f %7.1f %14.0f %18.0f %27.0f %29.0f%n",
                subscribers,
                times[times.length / 2] / 1e6,
                times[times.length - 1] / 1e6,
                idle,
                changing,
                control,
                messages);
    }

    private long[] changes(ControlFleet fleet, HostId leader) {
        List<Long> times = new ArrayList<>();
        Random random = new Random(1);
        IntStream.rangeClosed(1, CHANGES)
                .forEach(
                        n -> {
                            fleet.fleet().run((long) (random.nextDouble() * SECOND));
                            ControlFleet.Answer answer = fleet.apply(leader, n, "o" + n, 5);
                            long accepted = awaitAccept(fleet, answer);
                            fleet.fleet().run(SECOND - (fleet.fleet().now() - accepted));
                            fleet.subscribers().forEach(s -> times.add(inForce(s, n) - accepted));
                        });
        long[] sorted = times.stream().mapToLong(t -> t).toArray();
        Arrays.sort(sorted);
        return sorted;
    }

    private static long awaitAccept(ControlFleet fleet, ControlFleet.Answer answer) {
        while (!answer.mIsWhole) {
            fleet.fleet().run(100_000);
        }
        return fleet.fleet().now();
    }

    private static long inForce(ControlFleet.Subscriber subscriber, long version) {
        if (subscriber.decisions().view().version() != version) {
            throw new IllegalStateException("version " + version + " is not in force in 1 s");
        }
        return subscriber.changedAt();
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
        int ends = (isFromControl ? 1 : 0) + (isToControl ? 1 : 0);
        mControlBytes += (long) bytes * ends;
        mMessages += ends;
        return List.of(LINK);
    }
}
