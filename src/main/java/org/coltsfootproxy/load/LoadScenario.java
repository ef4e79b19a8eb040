package org.coltsfootproxy.load;

import static com.google.common.base.Preconditions.checkArgument;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.MapperFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.dataformat.yaml.YAMLMapper;
import com.google.common.net.InetAddresses;
import java.io.IOException;
import java.net.InetAddress;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import org.coltsfootproxy.base.ErrorKind;
import org.coltsfootproxy.base.ProxyException;

/**
 * What a run of the load tool does.
 *
 * @param name name shown in reports
 * @param seed seed of arrivals and choices
 * @param seconds time in which requests are sent
 * @param settleSeconds longest time afterwards to wait for answers and jobs
 * @param maxRequests most online requests that are sent
 * @param entries base addresses of the entries, such as {@code http://127.0.0.1:8080}
 * @param targets base addresses of the stand-in targets, whose records are compared; may be empty
 * @param organisations who sends
 * @param online streams of online requests
 * @param jobs batch jobs
 * @param faults faults of the stand-in targets
 */
public record LoadScenario(
        String name,
        long seed,
        int seconds,
        int settleSeconds,
        int maxRequests,
        List<String> entries,
        List<String> targets,
        List<Sender> organisations,
        List<OnlineStream> online,
        List<BatchJob> jobs,
        List<TargetFault> faults) {
    /** Longest run, in seconds. */
    public static final int MAX_SECONDS = 600;

    /** Most online requests of a run. */
    public static final int MAX_REQUESTS = 500_000;

    /** Most items of a job. */
    public static final int MAX_ITEMS = 5_000;

    private static final ObjectMapper MAPPER =
            YAMLMapper.builder()
                    .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
                    .enable(MapperFeature.ACCEPT_CASE_INSENSITIVE_ENUMS)
                    .build();

    /**
     * An organisation that sends.
     *
     * @param key the key that its requests carry
     * @param ratePerSecond rate that its ticket states
     * @param burst burst that its ticket states
     */
    public record Sender(String id, String key, double ratePerSecond, double burst) {}

    /** What an answer looks like. */
    public enum Answer {
        /** Server-sent events with a token each. */
        STREAM,
        /** One JSON document of a model engine. */
        WHOLE,
        /** One JSON document of a plain service. */
        RECORD
    }

    /**
     * Online requests of one kind.
     *
     * @param organisation who sends them; empty for no key
     * @param path path without query
     * @param repeatable whether a second run would do no harm
     * @param perSecond mean arrivals a second
     * @param maxTokens tokens that are asked for
     * @param prompts how many prompts differ in their beginning
     * @param bursts times with more arrivals; may be empty
     */
    public record OnlineStream(
            String name,
            String organisation,
            String path,
            Answer answer,
            boolean repeatable,
            double perSecond,
            int maxTokens,
            int prompts,
            List<Burst> bursts) {
        /** Copies the bursts. */
        public OnlineStream {
            bursts = bursts == null ? List.of() : List.copyOf(bursts);
        }
    }

    /** A time with more arrivals. */
    public record Burst(double fromSeconds, double forSeconds, double factor) {}

    /**
     * A batch job.
     *
     * @param servicePath path that each item is posted to
     * @param repeatable whether the route of that path lets an item run again
     * @param impossible how many of its items can never be done
     * @param atSeconds when it is submitted
     * @param deadlineSeconds deadline, from the submission
     * @param cancelAtSeconds when it is cancelled, or 0 for never
     */
    public record BatchJob(
            String id,
            String organisation,
            String servicePath,
            boolean repeatable,
            int items,
            int impossible,
            int maxTokens,
            double atSeconds,
            int deadlineSeconds,
            double cancelAtSeconds) {}

    /**
     * A fault that a stand-in target shows for a while.
     *
     * @param target place of the target in {@link #targets}, from 0
     * @param kind name of the fault in lower case
     */
    public record TargetFault(
            int target,
            String kind,
            int every,
            int delayMillis,
            double fromSeconds,
            double forSeconds) {}

    /** Copies the lists and checks the bounds. */
    public LoadScenario {
        entries = copy(entries);
        targets = copy(targets);
        organisations = copy(organisations);
        online = copy(online);
        jobs = copy(jobs);
        faults = copy(faults);
        checkArgument(!entries.isEmpty(), "entries: at least one is needed");
        checkArgument(seconds >= 1 && seconds <= MAX_SECONDS, "seconds: %s", seconds);
        checkArgument(
                settleSeconds >= 1 && settleSeconds <= MAX_SECONDS,
                "settleSeconds: %s",
                settleSeconds);
        checkArgument(
                maxRequests >= 0 && maxRequests <= MAX_REQUESTS, "maxRequests: %s", maxRequests);
        entries.forEach(LoadScenario::checkLoopback);
        targets.forEach(LoadScenario::checkLoopback);
        checkParts(organisations, online, jobs);
        checkFaults(faults, targets.size());
    }

    private static void checkParts(
            List<Sender> senders, List<OnlineStream> streams, List<BatchJob> batch) {
        streams.forEach(s -> checkStream(s, senders));
        batch.forEach(j -> checkJob(j, senders));
    }

    private static void checkFaults(List<TargetFault> list, int targets) {
        list.forEach(
                f ->
                        checkArgument(
                                f.target >= 0 && f.target < targets && f.every >= 1,
                                "faults: target %s, every %s",
                                f.target,
                                f.every));
    }

    private static <T> List<T> copy(List<T> list) {
        return list == null ? List.of() : List.copyOf(list);
    }

    private static void checkLoopback(String address) {
        URI uri = URI.create(address);
        checkArgument(
                "http".equals(uri.getScheme()) && uri.getHost() != null && uri.getPort() > 0,
                "'%s' is not like http://127.0.0.1:8080",
                address);
        String host = uri.getHost().replaceAll("[\\[\\]]", "");
        boolean loopback =
                InetAddresses.isInetAddress(host) && isLoopback(InetAddresses.forString(host));
        checkArgument(loopback, "'%s' is not a loopback address; load goes nowhere else", address);
    }

    private static boolean isLoopback(InetAddress address) {
        return address.isLoopbackAddress();
    }

    private static void checkStream(OnlineStream stream, List<Sender> senders) {
        checkArgument(
                stream.organisation.isEmpty() || knows(senders, stream.organisation),
                "online %s: organisation '%s' is not listed",
                stream.name,
                stream.organisation);
        checkArgument(stream.perSecond > 0, "online %s: perSecond", stream.name);
        checkArgument(stream.prompts >= 1, "online %s: prompts", stream.name);
        checkArgument(stream.maxTokens >= 1, "online %s: maxTokens", stream.name);
    }

    private static void checkJob(BatchJob job, List<Sender> senders) {
        checkArgument(
                knows(senders, job.organisation),
                "job %s: organisation '%s' is not listed",
                job.id,
                job.organisation);
        checkArgument(job.items >= 1 && job.items <= MAX_ITEMS, "job %s: items", job.id);
        checkArgument(
                job.impossible >= 0 && job.impossible <= job.items, "job %s: impossible", job.id);
    }

    private static boolean knows(List<Sender> senders, String id) {
        return senders.stream().anyMatch(s -> s.id.equals(id));
    }

    /**
     * Returns the scenario in a file.
     *
     * @throws ProxyException of kind {@link ErrorKind#SETTINGS_INVALID} with what is wrong and
     *     where
     */
    public static LoadScenario read(Path file) throws ProxyException {
        try {
            return parse(Files.readString(file));
        } catch (IOException e) {
            throw ProxyException.of(ErrorKind.SETTINGS_INVALID, "can't read " + file, e);
        }
    }

    /**
     * Returns the scenario in a YAML text.
     *
     * @throws ProxyException of kind {@link ErrorKind#SETTINGS_INVALID} with what is wrong and
     *     where
     */
    public static LoadScenario parse(String yaml) throws ProxyException {
        try {
            return MAPPER.readValue(yaml, LoadScenario.class);
        } catch (JsonProcessingException e) {
            String where =
                    e.getLocation() == null ? "" : "line " + e.getLocation().getLineNr() + ": ";
            throw ProxyException.of(ErrorKind.SETTINGS_INVALID, where + e.getOriginalMessage(), e);
        }
    }

    /** Returns the sender of an id. */
    public Optional<Sender> sender(String id) {
        return organisations.stream().filter(s -> s.id.equals(id)).findFirst();
    }

    /** Returns this scenario without its jobs. */
    public LoadScenario withoutBatch() {
        return with(name + " without batch", List.of(), faults);
    }

    /** Returns this scenario without its faults. */
    public LoadScenario withoutFaults() {
        return with(name + " without faults", jobs, List.of());
    }

    private LoadScenario with(String otherName, List<BatchJob> otherJobs, List<TargetFault> other) {
        return new LoadScenario(
                otherName,
                seed,
                seconds,
                settleSeconds,
                maxRequests,
                entries,
                targets,
                organisations,
                online,
                otherJobs,
                other);
    }
}
