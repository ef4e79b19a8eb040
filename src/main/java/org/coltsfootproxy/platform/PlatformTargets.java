package org.coltsfootproxy.platform;

import com.google.common.base.Splitter;
import com.google.common.collect.ImmutableList;
import com.google.common.primitives.Ints;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import org.coltsfootproxy.direct.TargetAnswer;
import org.coltsfootproxy.direct.TargetLoad;
import org.coltsfootproxy.direct.TargetProtocol;
import org.coltsfootproxy.direct.TargetRequest;
import org.coltsfootproxy.message.Header;
import org.coltsfootproxy.node.Input;

/** How the platform's targets are spoken to. */
public final class PlatformTargets implements TargetProtocol {
    /** Headers that the system sets whatever callers send, in lower case. */
    private static final Set<String> OWN =
            Set.of("authorization", "deadline-ms", "target-instance", "tenant");

    private static final int MISDIRECTED = 421;

    /** First digit of the status of a success. */
    private static final int SUCCESS_CLASS = 2;

    @Override
    public List<Header> headers(List<Header> callers, TargetRequest request) {
        ImmutableList.Builder<Header> headers = ImmutableList.builder();
        callers.stream().filter(header -> !isReplaced(header, request)).forEach(headers::add);
        headers.add(Header.of(Wire.DEADLINE_MS, Long.toString(request.millisLeft())));
        headers.add(Header.of(Wire.TARGET_INSTANCE, request.target().value()));
        request.organisation().ifPresent(o -> headers.add(Header.of(Wire.TENANT, o.value())));
        request.resumeAfter().ifPresent(id -> headers.add(Header.of(Wire.LAST_EVENT_ID, id)));
        return headers.build();
    }

    private static boolean isReplaced(Header header, TargetRequest request) {
        boolean isPosition = header.name().equalsIgnoreCase(Wire.LAST_EVENT_ID);
        return OWN.contains(header.name().toLowerCase(Locale.ROOT))
                || isPosition && request.resumeAfter().isPresent();
    }

    @Override
    public TargetAnswer read(Input.TargetHead head) {
        List<Header> headers =
                head.headers().stream()
                        .filter(header -> !header.name().equalsIgnoreCase(Wire.SERVER_LOAD))
                        .toList();
        return new TargetAnswer(verdict(head), head.status(), headers, load(head));
    }

    private static TargetAnswer.Verdict verdict(Input.TargetHead head) {
        if (head.status() == MISDIRECTED) {
            return TargetAnswer.Verdict.OTHER_TARGET;
        }
        if (Wire.has(head.headers(), Wire.NOT_RUN)) {
            return TargetAnswer.Verdict.NOT_RUN;
        }
        boolean isSuccess = head.status() / 100 == SUCCESS_CLASS;
        return isSuccess && !Wire.has(head.headers(), Wire.SERVER_STAMP)
                ? TargetAnswer.Verdict.UNSIGNED
                : TargetAnswer.Verdict.RAN;
    }

    private static Optional<TargetLoad> load(Input.TargetHead head) {
        List<Integer> numbers =
                Wire.value(head.headers(), Wire.SERVER_LOAD).stream()
                        .flatMap(text -> Splitter.on(',').trimResults().splitToStream(text))
                        .map(Ints::tryParse)
                        .filter(number -> number != null && number >= 0)
                        .toList();
        return numbers.size() == 3 && numbers.get(2) > 0
                ? Optional.of(new TargetLoad(numbers.get(0), numbers.get(1), numbers.get(2)))
                : Optional.empty();
    }

    @Override
    public String correlationHeader() {
        return Wire.REQUEST_ID;
    }
}
