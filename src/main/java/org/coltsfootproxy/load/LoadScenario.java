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
 * The description of one run of the load tool, read from YAML.
 *
 * @param name name shown in reports
 * @param seed seed of the arrival times and of random choices
 * @param seconds duration of the sending phase
 * @param settleSeconds maximum time to wait for outstanding answers and jobs after that
 * @param maxRequests maximum number of online requests sent
 * @param entries base URLs of the entry hosts, such as {@code http://127.0.0.1:8080}
 * @param targets base URLs of the stand-in targets, whose run records are compared with the
 *     answers; may be empty
 * @param organisations organisations that send requests and jobs
 * @param online streams of online requests
 * @param jobs batch jobs
 * @param faults faults injected into the stand-in targets
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
    /** Maximum value of {@code seconds} and of {@code settleSeconds}. */
    public static final int MAX_SECONDS = 600;

    /** Maximum number of online requests in a run. */
    public static final int MAX_REQUESTS = 500_000;

    /** Maximum number of items in a job. */
    public static final int MAX_ITEMS = 5_000;

    private static final ObjectMapper MAPPER =
            YAMLMapper.builder()
                    .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
                    .enable(MapperFeature.ACCEPT_CASE_INSENSITIVE_ENUMS)
                    .build();

    /**
     * An organisation that sends requests and jobs.
     *
     * @param key the key that its requests carry
     * @param ratePerSecond the configured rate, in requests per second
     * @param burst the configured burst, in requests
     */
    public record Sender(String id, String key, double ratePerSecond, double burst) {}

    /** The format of an answer. */
    public enum Answer {
        /** Server-sent events with one token each. */
        STREAM,
        /** One JSON document with the complete text of a model engine. */
        WHOLE,
        /** One JSON document from a plain service. */
        RECORD
    }

    /**
     * A stream of similar online requests.
     *
     * @param organisation id of the sending organisation, or empty to send no key
     * @param path path without a query
     * @param repeatable whether the request is idempotent
     * @param perSecond mean arrival rate outside bursts, in requests per second
     * @param maxTokens number of tokens requested
     * @param prompts number of prompts with distinct prefixes
     * @param bursts periods with a higher arrival rate; may be null or empty
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
        /** Copies the bursts; null becomes empty. */
        public OnlineStream {
            bursts = bursts == null ? List.of() : List.copyOf(bursts);
        }
    }

    /** A period in which {@code factor} multiplies the arrival rate of a stream. */
    public record Burst(double fromSeconds, double forSeconds, double factor) {}

    /**
     * A batch job.
     *
     * @param servicePath path that each item is posted to
     * @param repeatable whether the route of that path allows an item to run more than once
     * @param impossible number of items that the target always rejects
     * @param atSeconds submission time from the start of the run
     * @param deadlineSeconds deadline, counted from the submission
     * @param cancelAtSeconds cancellation time from the start of the run, or 0 for never
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
     * A fault that is injected into a stand-in target for a period.
     *
     * @param target index of the target in {@link #targets}
     * @param kind name of a {@link org.coltsfootproxy.fake.Fault.Kind} in lower case
     * @param every the fault affects each request whose number is divisible by this; at least 1
     * @param delayMillis delay of a late answer
     */
    public record TargetFault(
            int target,
            String kind,
            int every,
            int delayMillis,
            double fromSeconds,
            double forSeconds) {}

    /** Copies the lists, with null as empty, and validates the values. */
    public LoadScenario {
        entries = copyOrEmpty(entries);
        targets = copyOrEmpty(targets);
        organisations = copyOrEmpty(organisations);
        online = copyOrEmpty(online);
        jobs = copyOrEmpty(jobs);
        faults = copyOrEmpty(faults);
        checkArgument(!entries.isEmpty(), "entries: at least one is required");
        checkArgument(seconds >= 1 && seconds <= MAX_SECONDS, "seconds out of range: %s", seconds);
        checkArgument(
                settleSeconds >= 1 && settleSeconds <= MAX_SECONDS,
                "settleSeconds out of range: %s",
                settleSeconds);
        checkArgument(
                maxRequests >= 0 && maxRequests <= MAX_REQUESTS,
                "maxRequests out of range: %s",
                maxRequests);
        entries.forEach(LoadScenario::checkLoopback);
        targets.forEach(LoadScenario::checkLoopback);
        checkSenders(organisations, online, jobs);
        checkFaults(faults, targets.size());
    }

    private static void checkSenders(
            List<Sender> senders, List<OnlineStream> streams, List<BatchJob> batchJobs) {
        streams.forEach(s -> checkStream(s, senders));
        batchJobs.forEach(j -> checkJob(j, senders));
    }

    private static void checkFaults(List<TargetFault> faultList, int targets) {
        faultList.forEach(
                f ->
                        checkArgument(
                                f.target >= 0 && f.target < targets && f.every >= 1,
                                "faults: invalid target %s or every %s",
                                f.target,
                                f.every));
    }

    private static <T> List<T> copyOrEmpty(List<T> list) {
        return list == null ? List.of() : List.copyOf(list);
    }

    private static void checkLoopback(String address) {
        URI uri = URI.create(address);
        checkArgument(
                "http".equals(uri.getScheme()) && uri.getHost() != null && uri.getPort() > 0,
                "'%s' must have the form http://127.0.0.1:8080",
                address);
        String host = uri.getHost().replaceAll("[\\[\\]]", "");
        boolean loopback =
                InetAddresses.isInetAddress(host) && isLoopback(InetAddresses.forString(host));
        checkArgument(
                loopback, "'%s' is not a loopback address; load is sent to loopback only", address);
    }

    private static boolean isLoopback(InetAddress address) {
        return address.isLoopbackAddress();
    }

    private static void checkStream(OnlineStream stream, List<Sender> senders) {
        checkArgument(
                stream.organisation.isEmpty() || isListed(senders, stream.organisation),
                "online %s: organisation '%s' is not listed",
                stream.name,
                stream.organisation);
        checkArgument(stream.perSecond > 0, "online %s: perSecond must be positive", stream.name);
        checkArgument(stream.prompts >= 1, "online %s: prompts must be at least 1", stream.name);
        checkArgument(
                stream.maxTokens >= 1, "online %s: maxTokens must be at least 1", stream.name);
    }

    private static void checkJob(BatchJob job, List<Sender> senders) {
        checkArgument(
                isListed(senders, job.organisation),
                "job %s: organisation '%s' is not listed",
                job.id,
                job.organisation);
        checkArgument(
                job.items >= 1 && job.items <= MAX_ITEMS, "job %s: items out of range", job.id);
        checkArgument(
                job.impossible >= 0 && job.impossible <= job.items,
                "job %s: impossible out of range",
                job.id);
    }

    private static boolean isListed(List<Sender> senders, String id) {
        return senders.stream().anyMatch(s -> s.id.equals(id));
    }

    /**
     * Reads a scenario from a YAML file.
     *
     * @throws ProxyException of kind {@link ErrorKind#SETTINGS_INVALID} if the file is unreadable
     *     or invalid; the message names the error and, for invalid YAML, its line
     */
    public static LoadScenario read(Path file) throws ProxyException {
        try {
            return parse(Files.readString(file));
        } catch (IOException e) {
            throw ProxyException.of(ErrorKind.SETTINGS_INVALID, "can't read " + file, e);
        }
    }

    /**
     * Parses a scenario from YAML.
     *
     * @throws ProxyException of kind {@link ErrorKind#SETTINGS_INVALID} if it is invalid; the
     *     message names the error and its line, if known
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

    /** Returns the organisation with the given id. */
    public Optional<Sender> sender(String id) {
        return organisations.stream().filter(s -> s.id.equals(id)).findFirst();
    }

    /** Returns a copy without batch jobs. */
    public LoadScenario withoutBatch() {
        return copyWith(name + " without batch", List.of(), faults);
    }

    /** Returns a copy without faults. */
    public LoadScenario withoutFaults() {
        return copyWith(name + " without faults", jobs, List.of());
    }

    private LoadScenario copyWith(
            String otherName, List<BatchJob> otherJobs, List<TargetFault> otherFaults) {
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
                otherFaults);
    }
}
