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

/** Builds the JSON responses that show the configuration and its tickets to operators. */
final class ConfigJson {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    /** Maximum number of tickets in a list; only the latest ones are listed. */
    private static final int MAX_LISTED_TICKETS = 1_000;

    private final ConfigState mState;

    ConfigJson(ConfigState state) {
        mState = state;
    }

    OperatorResponses.Tickets tickets() {
        List<Verdict> accepted = mState.accepted().toList();
        int skipped = Math.max(0, accepted.size() - MAX_LISTED_TICKETS);
        return new OperatorResponses.Tickets(
                mState.version(),
                mState.floor(),
                accepted.stream().skip(skipped).map(OperatorResponses.Ticket::of).toList());
    }

    OperatorResponses.TicketDetail ticket(String numberText) throws ProxyException {
        Long number = Longs.tryParse(numberText);
        Supplier<ProxyException> missing =
                () ->
                        ProxyException.of(
                                ErrorKind.NOT_FOUND, "no accepted ticket '" + numberText + "'");
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
