package org.coltsfootproxy.base;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.ObjectReader;
import com.fasterxml.jackson.dataformat.yaml.YAMLFactory;
import java.io.IOException;
import java.io.InputStream;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Collection;
import java.util.Deque;
import java.util.EnumMap;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * An immutable state chart (finite state machine) that is read from a resource file.
 *
 * <p>The file is YAML. {@code initial} names the initial state and {@code terminal} lists the
 * states without outgoing transitions. {@code states} has an entry for each other state: {@code on}
 * maps events to next states, and {@code ignore} lists the events that leave the state unchanged.
 * Every non-terminal state must name every event, so that no transition is forgotten.
 *
 * @param <S> the states
 * @param <E> the events
 */
public final class StateChart<S extends Enum<S>, E extends Enum<E>> {
    private static final ObjectReader READER =
            new ObjectMapper(new YAMLFactory())
                    .enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
                    .readerFor(ChartFile.class);

    private final String mName;
    private final S mInitial;
    private final Set<S> mTerminal;
    private final Map<S, Map<E, S>> mNext;

    record ChartFile(String initial, List<String> terminal, Map<String, StateEntry> states) {}

    record StateEntry(Map<String, String> on, List<String> ignore) {}

    private StateChart(String name, S initial, Set<S> terminal, Map<S, Map<E, S>> next) {
        mName = name;
        mInitial = initial;
        mTerminal = terminal;
        mNext = next;
    }

    /**
     * Returns the chart in the resource {@code /charts/NAME.yaml}.
     *
     * @throws IllegalArgumentException if the file is missing or unreadable, names an unknown state
     *     or event, omits an event of a state, or has an unreachable state
     */
    public static <S extends Enum<S>, E extends Enum<E>> StateChart<S, E> load(
            String name, Class<S> states, Class<E> events) {
        try (InputStream in = StateChart.class.getResourceAsStream("/charts/" + name + ".yaml")) {
            checkArgument(in != null, "state chart '%s' does not exist", name);
            ChartFile file = READER.readValue(in);
            return parse(name, file, states, events);
        } catch (IOException e) {
            throw new IllegalArgumentException("state chart '" + name + "' can't be read", e);
        }
    }

    private static <S extends Enum<S>, E extends Enum<E>> StateChart<S, E> parse(
            String name, ChartFile file, Class<S> states, Class<E> events) {
        Set<S> terminal = EnumSet.noneOf(states);
        orEmpty(file.terminal()).forEach(s -> terminal.add(constant(name, states, s)));
        Map<S, Map<E, S>> next = new EnumMap<>(states);
        file.states()
                .forEach(
                        (state, entry) ->
                                next.put(
                                        constant(name, states, state),
                                        transitions(name, state, entry, states, events)));
        S initial = constant(name, states, file.initial());
        StateChart<S, E> chart = new StateChart<>(name, initial, terminal, next);
        chart.checkComplete(states, events);
        return chart;
    }

    private static <T> Collection<T> orEmpty(Collection<T> values) {
        return values == null ? List.of() : values;
    }

    private static <T extends Enum<T>> T constant(String chart, Class<T> type, String name) {
        return Arrays.stream(type.getEnumConstants())
                .filter(constant -> constant.name().equals(name))
                .findFirst()
                .orElseThrow(
                        () ->
                                new IllegalArgumentException(
                                        String.format(
                                                "state chart '%s': unknown %s '%s'",
                                                chart, type.getSimpleName(), name)));
    }

    private static <S extends Enum<S>, E extends Enum<E>> Map<E, S> transitions(
            String name, String state, StateEntry entry, Class<S> states, Class<E> events) {
        Map<E, S> next = new EnumMap<>(events);
        S self = constant(name, states, state);
        orEmpty(entry.ignore()).forEach(event -> next.put(constant(name, events, event), self));
        if (entry.on() != null) {
            entry.on()
                    .forEach(
                            (event, target) -> {
                                E key = constant(name, events, event);
                                S previous = next.put(key, constant(name, states, target));
                                checkArgument(
                                        previous == null,
                                        "state chart '%s': state %s names event %s twice",
                                        name,
                                        state,
                                        event);
                            });
        }
        return next;
    }

    private void checkComplete(Class<S> states, Class<E> events) {
        for (S state : states.getEnumConstants()) {
            boolean isTerminal = mTerminal.contains(state);
            checkArgument(
                    isTerminal != mNext.containsKey(state),
                    "state chart '%s': state %s must be either terminal or have transitions",
                    mName,
                    state);
            Set<E> missing = EnumSet.allOf(events);
            missing.removeAll(mNext.getOrDefault(state, Map.of()).keySet());
            checkArgument(
                    isTerminal || missing.isEmpty(),
                    "state chart '%s': state %s neither handles nor ignores %s",
                    mName,
                    state,
                    missing);
        }
        Set<S> unreachable = EnumSet.allOf(states);
        unreachable.removeAll(reachable());
        checkArgument(
                unreachable.isEmpty(),
                "state chart '%s': states %s can't be reached",
                mName,
                unreachable);
    }

    private Set<S> reachable() {
        Set<S> seen = EnumSet.of(mInitial);
        Deque<S> open = new ArrayDeque<>(seen);
        while (!open.isEmpty()) {
            mNext.getOrDefault(open.remove(), Map.of()).values().stream()
                    .filter(seen::add)
                    .collect(Collectors.toList())
                    .forEach(open::add);
        }
        return seen;
    }

    /** Returns the initial state. */
    public S initial() {
        return mInitial;
    }

    /** Returns whether {@code state} is terminal: no event changes it. */
    public boolean isTerminal(S state) {
        return mTerminal.contains(state);
    }

    /**
     * Returns the state after {@code event}; {@code state} if it is terminal or ignores the event.
     */
    public S next(S state, E event) {
        checkNotNull(event, "event");
        return mTerminal.contains(state) ? state : mNext.get(state).get(event);
    }

    /** Returns whether {@code event} leads from {@code state} to another state. */
    public boolean changes(S state, E event) {
        return next(state, event) != state;
    }
}
