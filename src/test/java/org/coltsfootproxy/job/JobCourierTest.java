package org.coltsfootproxy.job;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.base.JobId;
import org.coltsfootproxy.base.OrganisationId;
import org.coltsfootproxy.message.JobMessage;
import org.coltsfootproxy.node.Effect;
import org.coltsfootproxy.node.Effects;
import org.testng.annotations.Test;

/** Whom a question is put to while the leader of the jobs is lost. */
public final class JobCourierTest {
    private static final long ASK_AGAIN_NANOS = TimeUnit.MILLISECONDS.toNanos(500);
    private static final HostId LEADER = HostId.of("store-1");
    private static final HostId SECOND = HostId.of("store-2");
    private static final HostId THIRD = HostId.of("store-3");

    private int mWithdrawn;

    private final JobCourier.Listener mListener =
            new JobCourier.Listener() {
                @Override
                public void answered(JobMessage.Answer answer, Effects out) {}

                @Override
                public void unanswered(boolean mayBeDone, Effects out) {}

                @Override
                public void withdrawn(Effects out) {
                    mWithdrawn++;
                }
            };

    private JobCourier courierWithQuestion(List<Effect> effects) {
        JobCourier courier = JobCourier.create(List.of(LEADER, SECOND, THIRD), 7, ASK_AGAIN_NANOS);
        JobMessage.Ask ask =
                new JobMessage.AskEnded(
                        1, courier.nextNumber(), OrganisationId.of("o"), JobId.of("j"), 0, 0);
        courier.ask(1, ask, 0, TimeUnit.SECONDS.toNanos(3), mListener, 0, effects::add);
        return courier;
    }

    private static Stream<HostId> asked(List<Effect> effects) {
        return effects.stream()
                .filter(Effect.Send.class::isInstance)
                .map(effect -> ((Effect.Send) effect).to());
    }

    @Test
    public void aQuestionToALostHostIsPutToTheNextAtOnce() {
        List<Effect> effects = new ArrayList<>();
        JobCourier courier = courierWithQuestion(effects);
        courier.peerLost(LEADER, 1);
        courier.tick(1, effects::add);
        assertEquals(asked(effects).toList(), List.of(LEADER, SECOND));
    }

    @Test
    public void aQuestionIsPutToANewLeaderAtOnce() {
        List<Effect> effects = new ArrayList<>();
        JobCourier courier = courierWithQuestion(effects);
        courier.controls(List.of(THIRD, LEADER, SECOND), 1);
        courier.tick(1, effects::add);
        assertEquals(asked(effects).toList(), List.of(LEADER, THIRD));
    }

    @Test
    public void aSilentHostIsLeftAfterTheGivenTime() {
        List<Effect> effects = new ArrayList<>();
        JobCourier courier = courierWithQuestion(effects);
        assertEquals(courier.nextTickNanos(), ASK_AGAIN_NANOS);
        courier.tick(ASK_AGAIN_NANOS, effects::add);
        assertEquals(asked(effects).toList(), List.of(LEADER, SECOND));
    }

    @Test
    public void theSameLeaderIsNotAskedTwice() {
        List<Effect> effects = new ArrayList<>();
        JobCourier courier = courierWithQuestion(effects);
        courier.controls(List.of(LEADER, THIRD), 1);
        courier.peerLost(SECOND, 1);
        courier.tick(1, effects::add);
        assertEquals(asked(effects).toList(), List.of(LEADER));
    }

    @Test
    public void aQuestionWhoseOwnerIsGoneIsForgottenAndItsListenerTold() {
        List<Effect> effects = new ArrayList<>();
        JobCourier courier = courierWithQuestion(effects);
        mWithdrawn = 0;
        courier.withdraw(1, effects::add);
        assertEquals(mWithdrawn, 1);
        assertTrue(courier.isDrained());
    }
}
