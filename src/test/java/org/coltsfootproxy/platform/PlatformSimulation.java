package org.coltsfootproxy.platform;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.coltsfootproxy.admission.ContentionMode;
import org.coltsfootproxy.base.DataCentre;
import org.coltsfootproxy.base.ErrorKind;
import org.coltsfootproxy.base.EventCode;
import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.base.Incarnation;
import org.coltsfootproxy.base.Ran;
import org.coltsfootproxy.base.Region;
import org.coltsfootproxy.config.ConfigSubscriber;
import org.coltsfootproxy.config.ConfigTiming;
import org.coltsfootproxy.config.Regions;
import org.coltsfootproxy.consensus.StoredWrites;
import org.coltsfootproxy.control.ControlNode;
import org.coltsfootproxy.control.ControlSettings;
import org.coltsfootproxy.control.SeedFleetSettings;
import org.coltsfootproxy.control.StoreNode;
import org.coltsfootproxy.control.StoreSettings;
import org.coltsfootproxy.direct.DirectEntryNode;
import org.coltsfootproxy.entry.EntrySettings;
import org.coltsfootproxy.job.EpochClock;
import org.coltsfootproxy.job.JobSettings;
import org.coltsfootproxy.membership.FleetMembership;
import org.coltsfootproxy.membership.PeerAddresses;
import org.coltsfootproxy.message.FleetMessage;
import org.coltsfootproxy.message.FleetRole;
import org.coltsfootproxy.message.Header;
import org.coltsfootproxy.node.Effect;
import org.coltsfootproxy.node.Input;
import org.coltsfootproxy.node.Node;
import org.coltsfootproxy.node.VirtualFleet;

/**
 * Runs the whole system against a simulated platform in virtual time.
 *
 * <p>Control hosts, stores and entries are the real nodes and discover each other through seeds;
 * targets, operators and callers are simulated.
 */
final class PlatformSimulation {
    static final long MILLI_NANOS = 1_000_000;
    static final long SECOND_NANOS = 1_000 * MILLI_NANOS;
    static final String LM_SERVICE = "lm";
    static final String APP_SERVICE = "app";
    static final String ALPHA_KEY = "key-of-alpha";
    static final String BETA_KEY = "key-of-beta";

    private static final String LIST_ADDRESS = "10.9.0.1:80";

    /** Of z5, the region is not known. */
    private static final Regions REGIONS =
            Regions.of(
                    Map.of(
                            DataCentre.of("z1"), Region.of("eu"),
                            DataCentre.of("z2"), Region.of("us"),
                            DataCentre.of("z3"), Region.of("eu"),
                            DataCentre.of("z4"), Region.of("asia")));

    private static final PeerAddresses PEER_ADDRESSES = new PeerAddresses(7000);

    final Map<String, SimulatedTarget> mTargets = new LinkedHashMap<>();
    final List<String> mDamagedEntries = new ArrayList<>();
    final List<EventCode> mLoggedEvents = new ArrayList<>();

    /** Whether reads of the list of targets fail. */
    boolean mIsListUnreadable;

    /** Seconds after the order to stop at which a process is closed, as on the platform. */
    static final int STOP_SECONDS = 7;

    /** Whether hosts send only by a confirmed configuration. */
    private final boolean mNeedsConfirmation;

    /** Members of the job log, as a control host logged them last. */
    String mJobMembers = "[]";

    /** When calls that nodes get from now on were received; empty if they don't wait. */
    OptionalLong mReceivedNanos = OptionalLong.empty();

    private final int mVoters;
    private final VirtualFleet mFleet;
    private final Random mRandom;
    private final List<HostId> mSeedHosts;
    private final List<HostId> mControlHosts = new ArrayList<>();
    private final List<HostId> mStoreHosts = new ArrayList<>();
    private final List<HostId> mEntryHosts = new ArrayList<>();
    private final Map<Long, Answer> mAnswers = new HashMap<>();
    private final Map<HostId, Integer> mLostWrites = new HashMap<>();
    private final Map<HostId, Integer> mStartCounts = new HashMap<>();
    private final Map<HostId, DirectEntryNode> mEntryNodes = new HashMap<>();
    private long mLastCallId;

    /** What a caller or an operator has received so far. */
    static final class Answer {
        final long mSentNanos;
        int mStatus;
        long mFirstChunkNanos;
        long mEndNanos;
        boolean mIsComplete;
        boolean mIsCut;
        private List<Header> mHeaders = List.of();
        private final StringBuilder mBody = new StringBuilder();

        Answer(long sentNanos) {
            mSentNanos = sentNanos;
        }

        String body() {
            return mBody.toString();
        }

        Optional<String> header(String name) {
            return PlatformHeaders.value(mHeaders, name);
        }

        @Override
        public String toString() {
            return mStatus + (mIsComplete ? " complete " : mIsCut ? " cut " : " open ") + mBody;
        }
    }

    private PlatformSimulation(
            long seed, int stores, int entries, int losses, boolean needsConfirmation) {
        mVoters = 2 * losses + 1;
        mNeedsConfirmation = needsConfirmation;
        mFleet = new VirtualFleet(seed, this::execute);
        mRandom = new Random(seed);
        mSeedHosts = IntStream.rangeClosed(1, mVoters).mapToObj(n -> host(0, n)).toList();
        mSeedHosts.forEach(this::startControl);
        IntStream.rangeClosed(1, stores).forEach(n -> startStore(host(1, n)));
        IntStream.rangeClosed(1, entries).forEach(n -> startEntry(host(2, n)));
    }

    /**
     * Starts a simulation that is ready to serve.
     *
     * <p>It has three control hosts, four stores, two targets that stream and one that does not.
     */
    static PlatformSimulation startServing(long seed, int entries) {
        return startServing(seed, 4, entries, 1);
    }

    /** Starts a simulation whose operators may evacuate data centres. */
    static PlatformSimulation startEvacuable(long seed, int entries) {
        return startServing(new PlatformSimulation(seed, 4, entries, 1, true));
    }

    /**
     * Starts a simulation that is ready to serve.
     *
     * @param losses number of hosts of a role that may be lost at once; it has 2 losses + 1 control
     *     hosts
     */
    static PlatformSimulation startServing(long seed, int stores, int entries, int losses) {
        return startServing(new PlatformSimulation(seed, stores, entries, losses, false));
    }

    /** Returns a simulation with three control hosts, without targets and configuration. */
    static PlatformSimulation create(long seed, int stores, int entries) {
        return new PlatformSimulation(seed, stores, entries, 1, false);
    }

    private static PlatformSimulation startServing(PlatformSimulation simulation) {
        simulation.target("lm-1", LM_SERVICE, "z1");
        simulation.target("lm-2", LM_SERVICE, "z2");
        simulation.target("app-1", APP_SERVICE, "z1").mIsPlain = true;
        simulation.run(8 * SECOND_NANOS);
        Answer answer =
                simulation.callAsOperator(
                        "PUT", "/coltsfootproxy/config", SimulatedConfig.config(1, 1_000));
        simulation.run(2 * SECOND_NANOS);
        if (answer.mStatus != 200) {
            throw new AssertionError("the first configuration was not accepted: " + answer);
        }
        return simulation;
    }

    static HostId host(int role, int number) {
        return HostId.of("10.0." + role + "." + number);
    }

    long now() {
        return mFleet.now();
    }

    /** Orders a host to stop after its work in flight. */
    void stopGracefully(HostId host) {
        mFleet.deliver(host, new Input.PlannedStop());
    }

    HostId entry(int number) {
        return mEntryHosts.get(number);
    }

    HostId control(int number) {
        return mControlHosts.get(number);
    }

    HostId store(int number) {
        return mStoreHosts.get(number);
    }

    VirtualFleet fleet() {
        return mFleet;
    }

    boolean isReady(HostId entry) {
        return mEntryNodes.get(entry).isReady();
    }

    void run(long nanos) {
        mFleet.run(nanos);
    }

    SimulatedTarget target(String id, String service, String dataCentre) {
        String address = "10.8.0." + (mTargets.size() + 1) + ":80";
        SimulatedTarget target = new SimulatedTarget(mFleet, id, service, dataCentre, address);
        mTargets.put(address, target);
        return target;
    }

    SimulatedTarget target(String id) {
        return mTargets.values().stream()
                .filter(target -> target.mId.equals(id))
                .findFirst()
                .orElseThrow();
    }

    /**
     * Replaces a target by another one at the same address.
     *
     * <p>Hosts still know the old target's id until they read the list of targets again.
     */
    SimulatedTarget replaceTarget(SimulatedTarget target, String id) {
        SimulatedTarget next =
                new SimulatedTarget(
                        mFleet, id, target.mService, target.mDataCentre, target.mAddress);
        mTargets.put(target.mAddress, next);
        return next;
    }

    List<SimulatedTarget.Run> runsOf(String request) {
        return mTargets.values().stream()
                .flatMap(target -> target.mRuns.stream())
                .filter(run -> run.mRequest.equals(request))
                .toList();
    }

    private DataCentre dataCentre(HostId host) {
        int last = Integer.parseInt(host.value().substring(host.value().lastIndexOf('.') + 1));
        return DataCentre.of("z" + (1 + (last - 1) % 3));
    }

    void startControl(HostId host) {
        if (!mControlHosts.contains(host)) {
            mControlHosts.add(host);
        }
        var settings =
                new ControlSettings(
                        host,
                        dataCentre(host),
                        incarnation(host),
                        PEER_ADDRESSES.controlHosts(mSeedHosts),
                        ConfigTiming.DEFAULT,
                        "0".repeat(64),
                        1,
                        true,
                        JobSettings.forStores());
        var fleetSettings =
                new SeedFleetSettings(
                        mSeedHosts,
                        mFleet.now() < SECOND_NANOS,
                        mVoters,
                        PEER_ADDRESSES,
                        LIST_ADDRESS,
                        new PlatformOperatorProtocol(),
                        new PlatformTargetProtocol(),
                        new PlatformTargetListProtocol());
        ControlNode node =
                ControlNode.create(
                        settings,
                        List.of(
                                StoredWrites.recovered(0, stored(host)),
                                StoredWrites.recovered(StoreNode.JOBS_GROUP, stored(host))),
                        EpochClock.of(0, 1_000_000),
                        new Random(mRandom.nextLong()),
                        Optional.of(fleetSettings));
        start(host, node);
    }

    void startStore(HostId host) {
        if (!mStoreHosts.contains(host)) {
            mStoreHosts.add(host);
        }
        var settings =
                new StoreSettings(
                        host,
                        dataCentre(host),
                        incarnation(host),
                        mVoters,
                        PEER_ADDRESSES,
                        new PlatformTargetProtocol(),
                        JobSettings.forStores(),
                        REGIONS,
                        mNeedsConfirmation);
        StoreNode node =
                StoreNode.create(
                        settings,
                        StoredWrites.recovered(StoreNode.JOBS_GROUP, stored(host)),
                        subscriber(host),
                        membership(host, FleetRole.STORE),
                        EpochClock.of(0, 1_000_000 + mRandom.nextInt(5_000_000)),
                        new Random(mRandom.nextLong()));
        start(host, node);
    }

    void startEntry(HostId host) {
        if (!mEntryHosts.contains(host)) {
            mEntryHosts.add(host);
        }
        DirectEntryNode node =
                DirectEntryNode.create(
                        EntrySettings.of(host, dataCentre(host))
                                .withDirect(
                                        new EntrySettings.Direct(
                                                REGIONS, mNeedsConfirmation, ContentionMode.AUTO))
                                .withStopLimit(STOP_SECONDS * SECOND_NANOS),
                        new DirectEntryNode.Protocols(
                                new PlatformCallerProtocol(), new PlatformTargetProtocol()),
                        PEER_ADDRESSES,
                        subscriber(host),
                        membership(host, FleetRole.ENTRY),
                        new Random(mRandom.nextLong()));
        mEntryNodes.put(host, node);
        start(host, node);
    }

    /** Kills the processes of all hosts and starts them again; disks are kept. */
    void restartAllHosts() {
        List<HostId> controls = List.copyOf(mControlHosts);
        List<HostId> stores = List.copyOf(mStoreHosts);
        List<HostId> entries = List.copyOf(mEntryHosts);
        Stream.of(controls, stores, entries).flatMap(List::stream).forEach(mFleet::crash);
        controls.forEach(this::startControl);
        stores.forEach(this::startStore);
        entries.forEach(this::startEntry);
    }

    /** Delivers a report on parts of prompts to all hosts that call targets. */
    void reportPrompts(FleetMessage.CrashReport prompts) {
        HostId first = mEntryHosts.get(0);
        Stream.of(mEntryHosts, mStoreHosts)
                .flatMap(List::stream)
                .filter(host -> !host.equals(first))
                .forEach(host -> deliverReport(first, host, prompts));
        deliverReport(mEntryHosts.get(1), first, prompts);
    }

    private void deliverReport(HostId from, HostId to, FleetMessage.CrashReport prompts) {
        var report =
                new FleetMessage.HostReport(
                        from,
                        mRandom.nextLong(),
                        1,
                        null,
                        null,
                        null,
                        List.of(),
                        prompts,
                        List.of());
        mFleet.deliver(
                to, new Input.FromPeer(from, new FleetMessage.Reports(List.of(report), List.of())));
    }

    private void start(HostId host, Node node) {
        // The calls of the host's earlier process have ended with its connections.
        mTargets.values().forEach(target -> target.callerEnded(host));
        int incarnationNumber = mStartCounts.merge(host, 1, Integer::sum);
        mFleet.start(host, Incarnation.of(incarnationNumber), node);
    }

    private ConfigSubscriber subscriber(HostId host) {
        return ConfigSubscriber.create(
                dataCentre(host),
                PEER_ADDRESSES.controlHosts(mSeedHosts),
                ConfigTiming.DEFAULT,
                new Random(mRandom.nextLong()));
    }

    private FleetMembership membership(HostId host, FleetRole role) {
        return FleetMembership.create(
                new FleetMembership.Self(host, "name-of-" + host, role, dataCentre(host)),
                mSeedHosts);
    }

    private Incarnation incarnation(HostId host) {
        return Incarnation.of(1 + mLostWrites.getOrDefault(host, 0));
    }

    private List<Effect.Persist> stored(HostId host) {
        List<Effect.Persist> all = mFleet.syncedWrites(host);
        return all.subList(mLostWrites.getOrDefault(host, 0), all.size());
    }

    /** Erases the disk of a crashed host. */
    void loseDisk(HostId host) {
        mLostWrites.put(host, mFleet.syncedWrites(host).size());
    }

    private void execute(HostId host, Effect effect, long nowNanos) {
        if (effect instanceof Effect.AddressedTargetCall call) {
            callTarget(host, call);
        } else if (effect instanceof Effect.TargetCancel cancel) {
            mTargets.values().forEach(target -> target.cancel(host, cancel.call()));
        } else if (effect instanceof Effect.HttpHead head) {
            Answer answer = mAnswers.get(head.call());
            answer.mStatus = head.status();
            answer.mHeaders = head.headers();
        } else if (effect instanceof Effect.HttpChunk chunk) {
            Answer answer = mAnswers.get(chunk.call());
            answer.mFirstChunkNanos =
                    answer.mFirstChunkNanos == 0 ? nowNanos : answer.mFirstChunkNanos;
            answer.mBody.append(new String(chunk.bytes(), StandardCharsets.UTF_8));
        } else if (effect instanceof Effect.HttpEnd end) {
            mAnswers.get(end.call()).mIsComplete = true;
            mAnswers.get(end.call()).mEndNanos = nowNanos;
        } else if (effect instanceof Effect.HttpAbort abort) {
            mAnswers.get(abort.call()).mIsCut = true;
            mAnswers.get(abort.call()).mEndNanos = nowNanos;
        } else if (effect instanceof Effect.Log log) {
            mLoggedEvents.add(log.code());
        } else if (effect instanceof Effect.LogFields log) {
            mLoggedEvents.add(log.code());
            if (log.code() == EventCode.ROSTER_CHANGED && mControlHosts.contains(host)) {
                log.fields().stream()
                        .filter(field -> field.name().equals("jobMembers"))
                        .filter(field -> !field.value().equals("[]"))
                        .forEach(field -> mJobMembers = field.value());
            }
        }
    }

    private void callTarget(HostId host, Effect.AddressedTargetCall call) {
        if (call.address().equals(LIST_ADDRESS)) {
            long number = call.call().call();
            if (mIsListUnreadable) {
                mFleet.after(
                        MILLI_NANOS,
                        () ->
                                mFleet.deliver(
                                        host,
                                        new Input.TargetFailed(
                                                number,
                                                ErrorKind.TARGET_FAILED,
                                                Ran.NO,
                                                "the list is down")));
                return;
            }
            byte[] page = targetList().getBytes(StandardCharsets.UTF_8);
            mFleet.after(MILLI_NANOS, () -> deliverPage(host, number, page));
        } else {
            mTargets.get(call.address()).call(host, call.call());
        }
    }

    private void deliverPage(HostId host, long call, byte[] page) {
        mFleet.deliver(host, new Input.TargetHead(call, 200, List.of()));
        mFleet.deliver(host, new Input.TargetChunk(call, page));
        mFleet.deliver(host, new Input.TargetEnd(call));
    }

    private String targetList() {
        List<String> entries = new ArrayList<>(mDamagedEntries);
        mTargets.values().stream().map(SimulatedTarget::listEntry).forEach(entries::add);
        return "{\"instances\":[" + String.join(",", entries) + "],\"next_token\":null}";
    }

    Answer callAsOperator(String method, String path, String body) {
        return callAsOperator(mControlHosts.get(0), method, path, body);
    }

    Answer callAsOperator(HostId control, String method, String path, String body) {
        return call(control, method, path, List.of(Header.of("Host", "control")), body);
    }

    /** Sends a request with the first organisation's key. */
    Answer request(HostId entry, String name, String path) {
        return request(entry, name, path, ALPHA_KEY);
    }

    Answer request(HostId entry, String name, String path, String key) {
        return call(entry, "POST", path, requestHeaders(name, key), "body of " + name);
    }

    /**
     * Takes up a stream.
     *
     * @param firstRequest name of the request that brought its first event; empty to name none
     */
    Answer resume(HostId entry, String name, String path, String firstRequest, int lastEvent) {
        List<Header> headers = new ArrayList<>(requestHeaders(name, ALPHA_KEY));
        headers.add(Header.of("Last-Event-Id", Integer.toString(lastEvent)));
        if (!firstRequest.isEmpty()) {
            headers.add(Header.of("Resumes", firstRequest));
        }
        return call(entry, "POST", path, headers, "body of " + name);
    }

    /** Sends a request with the first organisation's key and the given body. */
    Answer requestWithBody(HostId entry, String name, String path, String body) {
        return call(entry, "POST", path, requestHeaders(name, ALPHA_KEY), body);
    }

    /** Sends a request with the first organisation's key whose prompt has the given parts. */
    Answer requestWithPrompt(HostId entry, String name, String path, String promptParts) {
        List<Header> headers = new ArrayList<>(requestHeaders(name, ALPHA_KEY));
        headers.add(Header.of("Prompt-Prefix", promptParts));
        return call(entry, "POST", path, headers, "body of " + name);
    }

    private static List<Header> requestHeaders(String name, String key) {
        return List.of(
                Header.of("Host", "svc.example"),
                Header.of("Request-Id", name),
                Header.of("Deadline-Ms", "5000"),
                Header.of("Authorization", "Bearer " + key));
    }

    /** Submits a job; its item ids start with the job's id. */
    Answer submit(HostId entry, String job, int items) {
        return submitWithPrompt(entry, job, items, "");
    }

    /** Submits a job whose items' prompts have the given parts. */
    Answer submitWithPrompt(HostId entry, String job, int items, String promptParts) {
        String list =
                IntStream.range(0, items)
                        .mapToObj(n -> item(job + "-i" + n, promptParts))
                        .collect(Collectors.joining(","));
        List<Header> headers =
                List.of(
                        Header.of("Host", "svc.example"),
                        Header.of("Request-Id", job),
                        Header.of("Authorization", "Bearer " + ALPHA_KEY));
        return call(entry, "POST", "/jobs/" + job, headers, "{\"items\":[" + list + "]}");
    }

    private static String item(String id, String promptParts) {
        String body =
                Base64.getEncoder()
                        .encodeToString(("body of " + id).getBytes(StandardCharsets.UTF_8));
        return String.format(
                "{\"id\":\"%s\",\"path\":\"/jobs/x/%s\",\"headers\":"
                        + "{\"Model\":\"m\",\"Prompt-Prefix\":\"%s\"},"
                        + "\"body\":\"%s\",\"tokens\":10}",
                id, id, promptParts, body);
    }

    /** Sends a call to one of a job's paths. */
    Answer callJob(HostId entry, String method, String path, long waitMillis) {
        List<Header> headers =
                List.of(
                        Header.of("Host", "svc.example"),
                        Header.of("Wait-Ms", Long.toString(waitMillis)),
                        Header.of("Authorization", "Bearer " + ALPHA_KEY));
        return call(entry, method, path, headers, "");
    }

    Answer call(HostId host, String method, String path, List<Header> headers, String body) {
        long call = ++mLastCallId;
        Answer answer = new Answer(mFleet.now());
        mAnswers.put(call, answer);
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        mFleet.deliver(
                host, new Input.HttpCall(call, method, path, headers, bytes, mReceivedNanos));
        return answer;
    }

    /** Disconnects the caller of the latest call. */
    void disconnectCaller(HostId entry) {
        mFleet.deliver(entry, new Input.HttpDisconnected(mLastCallId));
    }
}
