package org.coltsfootproxy.platform;

import com.google.common.base.Splitter;
import com.google.common.collect.ImmutableList;
import com.google.common.primitives.Doubles;
import com.google.common.primitives.Ints;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.Set;
import org.coltsfootproxy.base.Names;
import org.coltsfootproxy.base.PromptPartId;
import org.coltsfootproxy.direct.TargetAnswer;
import org.coltsfootproxy.direct.TargetLoad;
import org.coltsfootproxy.direct.TargetProtocol;
import org.coltsfootproxy.direct.TargetRequest;
import org.coltsfootproxy.message.Header;
import org.coltsfootproxy.node.Input;
import org.coltsfootproxy.work.WorkFeatures.DeclaredSizes;

/** Translates calls to the platform's targets and the heads of their responses. */
public final class PlatformTargetProtocol implements TargetProtocol {
    /** Headers that the system sets or drops whatever callers send, in lower case. */
    private static final Set<String> REPLACED_HEADERS =
            Set.of("authorization", "deadline-ms", "target-instance", "tenant");

    /** Number of prompt parts that are read; any further ones are ignored. */
    private static final int MAX_PROMPT_PARTS = 32;

    private static final Splitter PART_SPLITTER = Splitter.on(',').trimResults().omitEmptyStrings();

    /** Largest number of tokens that a call can declare; larger ones count as this. */
    private static final int MAX_TOKENS = 1 << 24;

    /** Figures of a load report that every target tells: running, waiting, slots. */
    private static final int LOAD_FIGURES = 3;

    private static final int MISDIRECTED_REQUEST_STATUS = 421;

    /** Longest cold time that is believed; many times that of any sound target. */
    private static final double MAX_COLD_MILLIS = 3_600_000;

    /** First digit of the status codes that mean success. */
    private static final int SUCCESS_CLASS = 2;

    @Override
    public List<Header> headers(List<Header> callerHeaders, TargetRequest request) {
        ImmutableList.Builder<Header> headers = ImmutableList.builder();
        callerHeaders.stream().filter(header -> !isReplaced(header, request)).forEach(headers::add);
        headers.add(
                Header.of(PlatformHeaders.DEADLINE_MS, Long.toString(request.remainingMillis())));
        headers.add(Header.of(PlatformHeaders.TARGET_INSTANCE, request.target().value()));
        request.organisation()
                .ifPresent(o -> headers.add(Header.of(PlatformHeaders.TENANT, o.value())));
        request.resumeAfter()
                .ifPresent(id -> headers.add(Header.of(PlatformHeaders.LAST_EVENT_ID, id)));
        return headers.build();
    }

    private static boolean isReplaced(Header header, TargetRequest request) {
        boolean isLastEventId = header.name().equalsIgnoreCase(PlatformHeaders.LAST_EVENT_ID);
        return REPLACED_HEADERS.contains(header.name().toLowerCase(Locale.ROOT))
                || isLastEventId && request.resumeAfter().isPresent();
    }

    @Override
    public String hostName(List<Header> callerHeaders) {
        return PlatformHeaders.hostName(callerHeaders);
    }

    @Override
    public List<PromptPartId> sharedPromptParts(List<Header> callerHeaders) {
        List<String> parts =
                callerHeaders.stream()
                        .filter(h -> h.name().equalsIgnoreCase(PlatformHeaders.PROMPT_PREFIX))
                        .flatMap(h -> PART_SPLITTER.splitToStream(h.value()))
                        .toList();
        return parts.stream()
                .limit(Math.max(0, Math.min(MAX_PROMPT_PARTS, parts.size() - 1)))
                .map(part -> part.replaceFirst(":.*", "").strip().toLowerCase(Locale.ROOT))
                .filter(Names::isValid)
                .distinct()
                .map(PromptPartId::of)
                .toList();
    }

    /** Figures that are not numbers, or below 0, count as not declared. */
    @Override
    public DeclaredSizes declaredSizes(List<Header> callerHeaders) {
        List<String> counts =
                PlatformHeaders.value(callerHeaders, PlatformHeaders.TOKEN_COUNT)
                        .map(Splitter.on(',').trimResults()::splitToList)
                        .orElse(List.of());
        return new DeclaredSizes(
                tokens(counts, 0),
                tokens(counts, 1),
                PlatformHeaders.value(callerHeaders, PlatformHeaders.LENGTH_HINT)
                        .map(hint -> tokens(List.of(hint), 0))
                        .orElse(0));
    }

    private static int tokens(List<String> figures, int index) {
        Double number = index < figures.size() ? Doubles.tryParse(figures.get(index)) : null;
        return number != null && number > 0 ? (int) Math.min(MAX_TOKENS, Math.ceil(number)) : 0;
    }

    @Override
    public TargetAnswer read(Input.TargetHead head) {
        List<Header> headers =
                head.headers().stream()
                        .filter(
                                header ->
                                        !header.name()
                                                .equalsIgnoreCase(PlatformHeaders.SERVER_LOAD))
                        .toList();
        return new TargetAnswer(
                verdict(head),
                head.status(),
                headers,
                load(head),
                isLeaving(head),
                requestsPerSecond(head),
                coldMillis(head));
    }

    /** An answer of another target says nothing about the target that was called. */
    private static boolean isLeaving(Input.TargetHead head) {
        return head.status() != MISDIRECTED_REQUEST_STATUS
                && PlatformHeaders.value(head.headers(), PlatformHeaders.SERVER_LEAVING)
                        .filter("1"::equals)
                        .isPresent();
    }

    private static OptionalDouble requestsPerSecond(Input.TargetHead head) {
        return PlatformHeaders.value(head.headers(), PlatformHeaders.SERVER_LIMIT).stream()
                .map(Doubles::tryParse)
                .filter(limit -> limit != null && limit >= 0 && Double.isFinite(limit))
                .mapToDouble(limit -> limit)
                .findFirst();
    }

    /** Returns for how long the target is cold; empty if the answer does not say so. */
    private static OptionalLong coldMillis(Input.TargetHead head) {
        return PlatformHeaders.value(head.headers(), PlatformHeaders.COLD_MS).stream()
                .map(Doubles::tryParse)
                .filter(millis -> millis != null && millis >= 0 && millis <= MAX_COLD_MILLIS)
                .mapToLong(millis -> (long) Math.ceil(millis))
                .findFirst();
    }

    private static TargetAnswer.Verdict verdict(Input.TargetHead head) {
        if (head.status() == MISDIRECTED_REQUEST_STATUS) {
            return TargetAnswer.Verdict.OTHER_TARGET;
        }
        if (PlatformHeaders.has(head.headers(), PlatformHeaders.NOT_RUN)) {
            return TargetAnswer.Verdict.NOT_RUN;
        }
        boolean isSuccess = head.status() / 100 == SUCCESS_CLASS;
        return isSuccess && !PlatformHeaders.has(head.headers(), PlatformHeaders.SERVER_STAMP)
                ? TargetAnswer.Verdict.UNSIGNED
                : TargetAnswer.Verdict.RAN;
    }

    /** Reads three numbers, or four with the target's speed; further figures are ignored. */
    private static Optional<TargetLoad> load(Input.TargetHead head) {
        List<String> figures =
                PlatformHeaders.value(head.headers(), PlatformHeaders.SERVER_LOAD)
                        .map(Splitter.on(',').trimResults()::splitToList)
                        .orElse(List.of());
        if (figures.size() < LOAD_FIGURES) {
            return Optional.empty();
        }
        Integer running = Ints.tryParse(figures.get(0));
        Integer waiting = Ints.tryParse(figures.get(1));
        Integer slots = Ints.tryParse(figures.get(2));
        boolean isValid = running != null && waiting != null && slots != null;
        if (!isValid || running < 0 || waiting < 0 || slots <= 0) {
            return Optional.empty();
        }
        OptionalDouble speed =
                figures.size() > LOAD_FIGURES
                        ? speed(figures.get(LOAD_FIGURES))
                        : OptionalDouble.empty();
        return Optional.of(new TargetLoad(running, waiting, slots, speed));
    }

    /** Converts a percentage of the usual time; an incredible one is treated as not told. */
    private static OptionalDouble speed(String percent) {
        Double number = Doubles.tryParse(percent);
        return number != null && TargetLoad.isCredible(number / 100)
                ? OptionalDouble.of(number / 100)
                : OptionalDouble.empty();
    }

    @Override
    public String correlationHeader() {
        return PlatformHeaders.REQUEST_ID;
    }

    @Override
    public String timeLeftHeader() {
        return PlatformHeaders.DEADLINE_MS;
    }
}
