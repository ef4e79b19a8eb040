package org.coltsfootproxy.control;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.primitives.Longs;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;
import org.coltsfootproxy.base.ErrorKind;
import org.coltsfootproxy.base.ProxyException;
import org.coltsfootproxy.config.ConfigObject;
import org.coltsfootproxy.config.ConfigState;
import org.coltsfootproxy.config.ObjectKind;
import org.coltsfootproxy.config.Verdict;

/** Writes the configuration and its tickets as operators see them. */
final class ConfigJson {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    /** Most tickets in one list: the latest ones. */
    private static final int MAX_LISTED = 1_000;

    private final ConfigState mState;

    ConfigJson(ConfigState state) {
        mState = state;
    }

    OperatorResponses.Tickets tickets() {
        List<Verdict> accepted = mState.accepted().toList();
        int skipped = Math.max(0, accepted.size() - MAX_LISTED);
        return new OperatorResponses.Tickets(
                mState.version(),
                mState.floor(),
                accepted.stream().skip(skipped).map(OperatorResponses.Ticket::of).toList());
    }

    OperatorResponses.TicketDetail ticket(String text) throws ProxyException {
        Long number = Longs.tryParse(text);
        Supplier<ProxyException> missing =
                () -> ProxyException.of(ErrorKind.NOT_FOUND, "no accepted ticket '" + text + "'");
        Verdict verdict =
                Optional.ofNullable(number).flatMap(mState::accepted).orElseThrow(missing);
        List<String> inForce = mState.setBy(number).map(Object::toString).toList();
        return new OperatorResponses.TicketDetail(number, "accepted", verdict.version(), inForce);
    }

    ObjectNode config() {
        ObjectNode json = MAPPER.createObjectNode();
        json.put("version", mState.version());
        for (ObjectKind kind : ObjectKind.values()) {
            json.putArray(kind.plural());
        }
        mState.objects().forEach(object -> add(json, object));
        return json;
    }

    private void add(ObjectNode json, ConfigObject object) {
        ObjectNode node = MAPPER.valueToTree(object);
        node.put("ticket", mState.ticketOf(object.objectName()));
        json.withArray("/" + object.objectName().kind().plural()).add(node);
    }
}
