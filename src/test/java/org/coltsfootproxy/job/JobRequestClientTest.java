package org.coltsfootproxy.job;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.coltsfootproxy.base.ErrorKind;
import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.base.JobId;
import org.coltsfootproxy.base.OrganisationId;
import org.coltsfootproxy.message.JobMessage;
import org.coltsfootproxy.node.Effect;
import org.coltsfootproxy.node.Effects;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Checks which host a request is sent to when the leader is lost or changes. */
public final class JobRequestClientTest {
    private static final long RESEND_NANOS = TimeUnit.MILLISECONDS.toNanos(500);
    private static final HostId LEADER = HostId.of("store-1");
    private static final HostId SECOND = HostId.of("store-2");
    private static final HostId THIRD = HostId.of("store-3");

    private int mWithdrawn;
    private final List<JobMessage.Answer> mAnswers = new ArrayList<>();
    private final List<Boolean> mUnanswered = new ArrayList<>();

    private final JobRequestClient.Listener mListener =
            new JobRequestClient.Listener() {
                @Override
                public void answered(JobMessage.Answer answer, Effects out) {
                    mAnswers.add(answer);
                }

                @Override
                public void unanswered(boolean mayBeDone, Effects out) {
                    mUnanswered.add(mayBeDone);
                }

                @Override
                public void withdrawn(Effects out) {
                    mWithdrawn++;
                }
            };

    private JobRequestClient clientWithRequest(List<Effect> effects) {
        JobRequestClient client =
                JobRequestClient.create(List.of(LEADER, SECOND, THIRD), 7, RESEND_NANOS);
        JobMessage.Ask ask =
                new JobMessage.AskEnded(
                        1, client.nextNumber(), OrganisationId.of("o"), JobId.of("j"), 0, 0);
        client.ask(1, ask, 0, TimeUnit.SECONDS.toNanos(3), mListener, 0, effects::add);
        return client;
    }

    private static Stream<HostId> sentTo(List<Effect> effects) {
        return effects.stream()
                .filter(Effect.Send.class::isInstance)
                .map(effect -> ((Effect.Send) effect).to());
    }

    @Test
    public void aRequestToALostHostIsResentToTheNextHostAtOnce() {
        List<Effect> effects = new ArrayList<>();
        JobRequestClient client = clientWithRequest(effects);
        client.peerLost(LEADER, 1);
        client.tick(1, effects::add);
        assertEquals(sentTo(effects).toList(), List.of(LEADER, SECOND));
    }

    @Test
    public void aRequestIsResentToANewLeaderAtOnce() {
        List<Effect> effects = new ArrayList<>();
        JobRequestClient client = clientWithRequest(effects);
        client.setControlHosts(List.of(THIRD, LEADER, SECOND), 1);
        client.tick(1, effects::add);
        assertEquals(sentTo(effects).toList(), List.of(LEADER, THIRD));
    }

    @Test
    public void aRequestIsResentToTheNextHostAfterTheResendTime() {
        List<Effect> effects = new ArrayList<>();
        JobRequestClient client = clientWithRequest(effects);
        assertEquals(client.nextTickNanos(), RESEND_NANOS);
        client.tick(RESEND_NANOS, effects::add);
        assertEquals(sentTo(effects).toList(), List.of(LEADER, SECOND));
    }

    @Test
    public void aRequestIsNotResentWhileItsLeaderStays() {
        List<Effect> effects = new ArrayList<>();
        JobRequestClient client = clientWithRequest(effects);
        client.setControlHosts(List.of(LEADER, THIRD), 1);
        client.peerLost(SECOND, 1);
        client.tick(1, effects::add);
        assertEquals(sentTo(effects).toList(), List.of(LEADER));
    }

    @Test
    public void aWithdrawnRequestIsDroppedAndItsListenerNotified() {
        List<Effect> effects = new ArrayList<>();
        JobRequestClient client = clientWithRequest(effects);
        mWithdrawn = 0;
        client.withdraw(1, effects::add);
        assertEquals(mWithdrawn, 1);
        assertTrue(client.isDrained());
    }

    private static JobMessage.Refused refused(ErrorKind kind, HostId leader) {
        return new JobMessage.Refused(1, 8, kind, kind.ran(), kind.title(), 500, leader);
    }

    private JobRequestClient clientWithResentRequest(List<Effect> effects) {
        mAnswers.clear();
        mUnanswered.clear();
        JobRequestClient client = clientWithRequest(effects);
        client.tick(RESEND_NANOS, effects::add);
        client.handle(SECOND, refused(ErrorKind.NO_LEADER, LEADER), RESEND_NANOS, effects::add);
        client.tick(2 * RESEND_NANOS, effects::add);
        assertEquals(sentTo(effects).toList(), List.of(LEADER, SECOND, LEADER));
        return client;
    }

    /** Guards against jobs that run although their submission was refused for lack of capacity. */
    @Test(dataProvider = "lacksOfCapacity")
    public void aResendThatIsRefusedDoesNotRefuseAnEarlierSend(ErrorKind kind) {
        List<Effect> effects = new ArrayList<>();
        JobRequestClient client = clientWithResentRequest(effects);
        client.handle(LEADER, refused(kind, null), 2 * RESEND_NANOS, effects::add);
        assertEquals(mAnswers, List.of(), "the first send may still be carried out");
        client.tick(TimeUnit.SECONDS.toNanos(3), effects::add);
        assertEquals(mUnanswered, List.of(true));
    }

    @Test(dataProvider = "lacksOfCapacity")
    public void aRequestIsRefusedOnceAllSendsAre(ErrorKind kind) {
        List<Effect> effects = new ArrayList<>();
        JobRequestClient client = clientWithResentRequest(effects);
        client.handle(LEADER, refused(kind, null), 2 * RESEND_NANOS, effects::add);
        client.handle(LEADER, refused(kind, null), 2 * RESEND_NANOS, effects::add);
        assertEquals(mAnswers, List.of(refused(kind, null)));
        assertTrue(client.isDrained());
    }

    @DataProvider
    Object[][] lacksOfCapacity() {
        return new Object[][] {{ErrorKind.OVERLOADED}, {ErrorKind.STORAGE_FULL}};
    }
}
