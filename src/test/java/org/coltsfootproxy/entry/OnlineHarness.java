package org.coltsfootproxy.entry;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import org.coltsfootproxy.admission.AdmissionQueue;
import org.coltsfootproxy.admission.AdmissionSettings;
import org.coltsfootproxy.agent.AgentNode;
import org.coltsfootproxy.agent.AgentSettings;
import org.coltsfootproxy.base.DataCentre;
import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.base.Incarnation;
import org.coltsfootproxy.base.RequestId;
import org.coltsfootproxy.base.ServiceId;
import org.coltsfootproxy.config.ConfigSubscriber;
import org.coltsfootproxy.config.ConfigTiming;
import org.coltsfootproxy.config.ControlHost;
import org.coltsfootproxy.config.KeyDigest;
import org.coltsfootproxy.consensus.RecoveredState;
import org.coltsfootproxy.control.ControlNode;
import org.coltsfootproxy.control.ControlSettings;
import org.coltsfootproxy.job.EpochClock;
import org.coltsfootproxy.job.JobGateway;
import org.coltsfootproxy.limit.GrantLimiter;
import org.coltsfootproxy.limit.LimitSettings;
import org.coltsfootproxy.message.CallMessage;
import org.coltsfootproxy.message.Header;
import org.coltsfootproxy.message.Message;
import org.coltsfootproxy.node.Effect;
import org.coltsfootproxy.node.Input;
import org.coltsfootproxy.node.VirtualFleet;
import org.coltsfootproxy.routing.AgentChooser;
import org.coltsfootproxy.routing.ChooserSettings;

/** Test harness with an entry, two agents with targets and a control host in virtual time. */
final class OnlineHarness {
    static final HostId ENTRY = HostId.of("entry-1");
    static final HostId CONTROL = HostId.of("control-1");
    static final List<HostId> AGENTS = List.of(HostId.of("agent-1"), HostId.of("agent-2"));
    static final String KEY = "key-of-solway";
    static final int CHUNKS = 3;

    /** Time after which the entry ends in a planned stop. */
    static final long STOP_NANOS = 22_000_000_000L;

    private static final String OPERATOR_KEY = "operators-key";
    private static final DataCentre SOLWAY = DataCentre.of("solway");
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final long TARGET_STEP_NANOS = 5 * NANOS_PER_MILLI;
    private static final long SETTLE_NANOS = 2_000 * NANOS_PER_MILLI;
    private static final String TICKET =
            """
            ticket: 1
            organisations:
              - {id: solway, ratePerSecond: 1000, burst: 1000}
            keys:
              - {id: solway-1, organisation: solway, digest: %s}
            services:
              - id: rota
                streaming: true
                concurrency: 4
                targets:
                  - {id: t1, dataCentre: solway, agent: agent-1, address: '127.0.0.1:7001'}
                  - {id: t2, dataCentre: solway, agent: agent-2, address: '127.0.0.1:7002'}
            routes:
              - {id: rota, pathPrefix: /rota, service: rota, repeatableMethods: [GET],
                 timeoutMillis: 20000}
              - {id: tides, pathPrefix: /tides, service: rota, open: true,
                 repeatableMethods: [GET], timeoutMillis: 20000}
            """
                    .formatted(KeyDigest.of(KEY));

    /** The answer that a caller received. */
    static final class Answer {
        private int mStatus;
        private int mHeads;
        private int mEnds;
        private int mCuts;
        private final StringBuilder mBody = new StringBuilder();

        int status() {
            return mStatus;
        }

        boolean isComplete() {
            return mEnds == 1 && mCuts == 0;
        }

        int endCount() {
            return mEnds + mCuts;
        }

        int headCount() {
            return mHeads;
        }

        String body() {
            return mBody.toString();
        }

        boolean saysNotRun() {
            return body().contains("\"ran\":\"no\"");
        }
    }

    private final VirtualFleet mFleet;
    private final Map<Long, Answer> mAnswers = new HashMap<>();
    private final Map<String, Integer> mRunsByCall = new HashMap<>();
    private final Map<HostId, Integer> mRunsByAgent = new HashMap<>();
    private final List<Header> mTargetHeaders = new ArrayList<>();
    private final Map<HostId, Integer> mIncarnations = new HashMap<>();
    private final Map<HostId, List<Long>> mCancelledCalls = new HashMap<>();
    private long mLastCall;

    OnlineHarness(long seed) {
        mFleet = new VirtualFleet(seed, this::execute);
        startControl();
        AGENTS.forEach(this::startAgent);
        startEntry();
        mFleet.run(SETTLE_NANOS);
        applyTicket(TICKET);
        mFleet.run(SETTLE_NANOS);
    }

    VirtualFleet fleet() {
        return mFleet;
    }

    private static List<ControlHost> controlHosts() {
        return List.of(ControlHost.of(CONTROL, SOLWAY, "127.0.0.1:7000"));
    }

    private Incarnation nextIncarnation(HostId host) {
        int number = mIncarnations.merge(host, 1, Integer::sum);
        return Incarnation.of(number);
    }

    private void startControl() {
        ControlSettings settings =
                ControlSettings.of(
                        CONTROL,
                        SOLWAY,
                        Incarnation.of(1),
                        controlHosts(),
                        ConfigTiming.DEFAULT,
                        KeyDigest.of(OPERATOR_KEY));
        mFleet.start(
                CONTROL,
                nextIncarnation(CONTROL),
                ControlNode.create(
                        settings,
                        List.of(RecoveredState.blank(), RecoveredState.blank()),
                        EpochClock.of(0, 0),
                        new Random(1)));
    }

    private ConfigSubscriber subscriber() {
        Random random = new Random(mFleet.random().nextLong());
        return ConfigSubscriber.create(SOLWAY, controlHosts(), ConfigTiming.DEFAULT, random);
    }

    void startAgent(HostId host) {
        Incarnation incarnation = nextIncarnation(host);
        AgentSettings settings = new AgentSettings(host, incarnation, ServiceId.of("rota"), 1);
        AdmissionQueue queue = AdmissionQueue.fair(AdmissionSettings.of(4));
        mFleet.start(
                host,
                incarnation,
                AgentNode.create(settings, subscriber(), queue, List.of(CONTROL)));
    }

    void startEntry() {
        Incarnation incarnation = nextIncarnation(ENTRY);
        LimitOwnership ownership =
                LimitOwnership.create(
                        ENTRY,
                        incarnation,
                        List.of(ControlHost.of(ENTRY, SOLWAY, "127.0.0.1:7009")),
                        List.of(CONTROL),
                        new Random(mFleet.random().nextLong()));
        EntryPolicies policies =
                new EntryPolicies(
                        () ->
                                AgentChooser.leastLoaded(
                                        ENTRY,
                                        SOLWAY,
                                        ChooserSettings.defaults(),
                                        new Random(mFleet.random().nextLong())),
                        listener ->
                                GrantLimiter.create(
                                        ENTRY,
                                        incarnation.value(),
                                        LimitSettings.defaults(),
                                        ownership,
                                        listener),
                        ownership);
        EntryNode node =
                EntryNode.create(
                        EntrySettings.of(ENTRY, SOLWAY).withStopLimit(STOP_NANOS),
                        subscriber(),
                        policies,
                        JobGateway.create(
                                List.of(CONTROL), 1, 1, EpochClock.of(0, 1_700_000_000_000L)),
                        new Random(mFleet.random().nextLong()));
        mFleet.start(ENTRY, incarnation, node);
    }

    void applyTicket(String yaml) {
        byte[] body = yaml.getBytes(StandardCharsets.UTF_8);
        List<Header> headers = List.of(Header.of("Authorization", "Bearer " + OPERATOR_KEY));
        long call = ++mLastCall;
        mAnswers.put(call, new Answer());
        mFleet.deliver(CONTROL, new Input.HttpCall(call, "POST", "/v1/tickets", headers, body));
    }

    /** Sends a request and returns the call number that identifies it to the other methods. */
    long call(String method, String path, String key) {
        long call = ++mLastCall;
        mAnswers.put(call, new Answer());
        List<Header> headers = new ArrayList<>();
        headers.add(Header.of("X-Test-Call", Long.toString(call)));
        if (!key.isEmpty()) {
            headers.add(Header.of("Authorization", "Bearer " + key));
        }
        mFleet.deliver(ENTRY, new Input.HttpCall(call, method, path, headers, new byte[0]));
        return call;
    }

    Answer answer(long call) {
        return mAnswers.get(call);
    }

    int runs(long call) {
        return mRunsByCall.getOrDefault(Long.toString(call), 0);
    }

    /** Returns the number of requests that an agent's target has run. */
    int runsAt(HostId agent) {
        return mRunsByAgent.getOrDefault(agent, 0);
    }

    List<Header> targetHeaders() {
        return mTargetHeaders;
    }

    /** Returns the body with which the target answers a call. */
    static String expectedBody(long call) {
        StringBuilder body = new StringBuilder();
        for (int i = 0; i < CHUNKS; i++) {
            body.append(call).append('/').append(i).append(';');
        }
        return body.toString();
    }

    /** Returns whether a message is about a request rather than about the agent as a whole. */
    static boolean isAboutRequest(Message message) {
        return message instanceof CallMessage call
                && !call.request().equals(CallMessage.NO_REQUEST);
    }

    static Optional<RequestId> request(Message message) {
        return message instanceof CallMessage call ? Optional.of(call.request()) : Optional.empty();
    }

    private void execute(HostId host, Effect effect, long now) {
        if (effect instanceof Effect.TargetCall call) {
            callTarget(host, call);
        } else if (effect instanceof Effect.TargetCancel cancel) {
            mCancelledCalls.computeIfAbsent(host, h -> new ArrayList<>()).add(cancel.call());
        } else if (effect instanceof Effect.HttpHead head) {
            mAnswers.get(head.call()).mStatus = head.status();
            mAnswers.get(head.call()).mHeads++;
        } else if (effect instanceof Effect.HttpChunk chunk) {
            String text = new String(chunk.bytes(), StandardCharsets.UTF_8);
            mAnswers.get(chunk.call()).mBody.append(text);
        } else if (effect instanceof Effect.HttpEnd end) {
            mAnswers.get(end.call()).mEnds++;
        } else if (effect instanceof Effect.HttpAbort abort) {
            mAnswers.get(abort.call()).mCuts++;
        }
    }

    private void callTarget(HostId agent, Effect.TargetCall call) {
        mTargetHeaders.addAll(call.headers());
        String id =
                call.headers().stream()
                        .filter(h -> h.name().equals("X-Test-Call"))
                        .findFirst()
                        .orElseThrow()
                        .value();
        mRunsByCall.merge(id, 1, Integer::sum);
        mRunsByAgent.merge(agent, 1, Integer::sum);
        deliverToAgent(agent, 1, new Input.TargetHead(call.call(), 200, List.of()), call.call());
        for (int i = 0; i < CHUNKS; i++) {
            byte[] bytes = (id + "/" + i + ";").getBytes(StandardCharsets.UTF_8);
            deliverToAgent(agent, i + 2, new Input.TargetChunk(call.call(), bytes), call.call());
        }
        deliverToAgent(agent, CHUNKS + 2, new Input.TargetEnd(call.call()), call.call());
    }

    private void deliverToAgent(HostId agent, int step, Input input, long call) {
        int number = mIncarnations.get(agent);
        mFleet.after(
                step * TARGET_STEP_NANOS,
                () -> {
                    boolean isCancelled =
                            mCancelledCalls.getOrDefault(agent, List.of()).contains(call);
                    if (mIncarnations.get(agent) == number && !isCancelled) {
                        mFleet.deliver(agent, input);
                    }
                });
    }
}
