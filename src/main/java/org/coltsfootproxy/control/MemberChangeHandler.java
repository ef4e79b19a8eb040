package org.coltsfootproxy.control;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.stream.IntStream;
import org.coltsfootproxy.base.ErrorKind;
import org.coltsfootproxy.base.EventCode;
import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.base.ProxyException;
import org.coltsfootproxy.config.PlacedNode;
import org.coltsfootproxy.node.Effects;
import org.coltsfootproxy.node.JsonAnswer;
import org.coltsfootproxy.node.Problem;

/** Carries out operators' changes of the members, in all groups. */
final class MemberChangeHandler {
    private static final int OK = 200;

    private final ProposalForwarder mOrders;
    private final int mGroups;

    /** What an operator asked for. */
    private enum Action {
        /** The host joins; a host that came back with an empty disk replaces its former life. */
        ADD,
        /** The same as add, for a host that is known. */
        REPLACE,
        /** The host leaves. */
        REMOVE
    }

    private record Request(Action action, HostId host) {}

    MemberChangeHandler(ProposalForwarder orders, int groups) {
        mOrders = orders;
        mGroups = groups;
    }

    /**
     * Carries out a change.
     *
     * @param body YAML or JSON with {@code action} (add, replace or remove) and {@code host}
     */
    void handle(long call, byte[] body, long nowNanos, Effects out) throws ProxyException {
        Request request = parse(body);
        var gathering = new Gathering(call, request, out);
        IntStream.range(0, mGroups)
                .forEach(
                        group ->
                                mOrders.member(
                                        group,
                                        request.action() != Action.REMOVE,
                                        request.host(),
                                        gathering.of(group),
                                        nowNanos,
                                        out));
    }

    private static Request parse(byte[] body) throws ProxyException {
        PlacedNode root = PlacedNode.parse(body, "change of members", ErrorKind.MALFORMED_REQUEST);
        Action action = action(root.get("action"));
        HostId host = root.get("host").id(HostId::of);
        root.end();
        return new Request(action, host);
    }

    private static Action action(PlacedNode node) throws ProxyException {
        String text = node.text();
        for (Action action : Action.values()) {
            if (action.name().toLowerCase(Locale.ROOT).equals(text)) {
                return action;
            }
        }
        throw node.fault("'" + text + "' is none of add, replace, remove");
    }

    /** Gathers the outcomes of all groups and answers. */
    private final class Gathering {
        private final long mCall;
        private final Request mRequest;
        private final Effects mOut;
        private final List<OperatorResponses.MemberOutcome> mOutcomes = new ArrayList<>();
        private ErrorKind mWorst;

        Gathering(long call, Request request, Effects out) {
            mCall = call;
            mRequest = request;
            mOut = out;
        }

        ProposalForwarder.Outcome of(int group) {
            return new ProposalForwarder.Outcome() {
                @Override
                public void done(byte[] result) {
                    add(new OperatorResponses.MemberOutcome(group, "accepted", ""));
                }

                @Override
                public void failed(ErrorKind kind) {
                    mWorst = kind;
                    add(new OperatorResponses.MemberOutcome(group, kind.label(), kind.title()));
                }
            };
        }

        private void add(OperatorResponses.MemberOutcome outcome) {
            mOutcomes.add(outcome);
            if (mOutcomes.size() == mGroups) {
                answer();
            }
        }

        private void answer() {
            mOutcomes.sort(Comparator.comparingInt(OperatorResponses.MemberOutcome::group));
            String action = mRequest.action().name().toLowerCase(Locale.ROOT);
            String what = action + " " + mRequest.host();
            if (mWorst != null) {
                Problem.of(mWorst, what + ": " + mOutcomes).answer(mCall, mOut);
                return;
            }
            mOut.log(EventCode.MEMBERS_CHANGED, what);
            JsonAnswer.send(
                    mCall,
                    OK,
                    new OperatorResponses.MemberOutcomes(
                            mRequest.host().value(), action, mOutcomes),
                    mOut);
        }
    }
}
