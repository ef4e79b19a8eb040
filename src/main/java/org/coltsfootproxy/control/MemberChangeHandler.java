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
import org.coltsfootproxy.config.YamlNode;
import org.coltsfootproxy.node.Effects;
import org.coltsfootproxy.node.JsonAnswer;
import org.coltsfootproxy.node.Problem;

/** Applies operators' membership changes to all groups. */
final class MemberChangeHandler {
    private static final int OK = 200;

    private final ProposalForwarder mForwarder;
    private final int mGroupCount;

    /** The kind of change; operators write the name in lower case. */
    private enum Action {
        /** Adds a host; one that returned with an empty disk replaces its earlier incarnation. */
        ADD,
        /** Has the same effect as {@link #ADD}; intended for a host that is a member already. */
        REPLACE,
        /** Removes a host. */
        REMOVE
    }

    private record Request(Action action, HostId host) {}

    MemberChangeHandler(ProposalForwarder forwarder, int groupCount) {
        mForwarder = forwarder;
        mGroupCount = groupCount;
    }

    /**
     * Applies a change to all groups and answers once all have finished.
     *
     * @param body YAML or JSON with {@code action} (add, replace or remove) and {@code host}
     */
    void handle(long call, byte[] body, long nowNanos, Effects out) throws ProxyException {
        Request request = parse(body);
        var collector = new OutcomeCollector(call, request, out);
        IntStream.range(0, mGroupCount)
                .forEach(
                        group ->
                                mForwarder.submitMemberChange(
                                        group,
                                        request.action() != Action.REMOVE,
                                        request.host(),
                                        collector.callbackFor(group),
                                        nowNanos,
                                        out));
    }

    private static Request parse(byte[] body) throws ProxyException {
        YamlNode root = YamlNode.parse(body, "change of members", ErrorKind.MALFORMED_REQUEST);
        Action action = action(root.get("action"));
        HostId host = root.get("host").id(HostId::of);
        root.rejectUnknownNames();
        return new Request(action, host);
    }

    private static Action action(YamlNode node) throws ProxyException {
        String text = node.text();
        for (Action action : Action.values()) {
            if (action.name().toLowerCase(Locale.ROOT).equals(text)) {
                return action;
            }
        }
        throw node.error("'" + text + "' is none of add, replace, remove");
    }

    /** Collects the outcomes of all groups, then answers the operator. */
    private final class OutcomeCollector {
        private final long mCall;
        private final Request mRequest;
        private final Effects mOut;
        private final List<OperatorResponses.MemberOutcome> mOutcomes = new ArrayList<>();
        private ErrorKind mLastFailure;

        OutcomeCollector(long call, Request request, Effects out) {
            mCall = call;
            mRequest = request;
            mOut = out;
        }

        ProposalForwarder.Callback callbackFor(int group) {
            return new ProposalForwarder.Callback() {
                @Override
                public void done(byte[] result) {
                    add(new OperatorResponses.MemberOutcome(group, "accepted", ""));
                }

                @Override
                public void failed(ErrorKind kind) {
                    mLastFailure = kind;
                    add(new OperatorResponses.MemberOutcome(group, kind.label(), kind.title()));
                }
            };
        }

        private void add(OperatorResponses.MemberOutcome outcome) {
            mOutcomes.add(outcome);
            if (mOutcomes.size() == mGroupCount) {
                answer();
            }
        }

        private void answer() {
            mOutcomes.sort(Comparator.comparingInt(OperatorResponses.MemberOutcome::group));
            String action = mRequest.action().name().toLowerCase(Locale.ROOT);
            String description = action + " " + mRequest.host();
            if (mLastFailure != null) {
                Problem.of(mLastFailure, description + ": " + mOutcomes).answer(mCall, mOut);
                return;
            }
            mOut.log(EventCode.MEMBERS_CHANGED, description);
            JsonAnswer.send(
                    mCall,
                    OK,
                    new OperatorResponses.MemberOutcomes(
                            mRequest.host().value(), action, mOutcomes),
                    mOut);
        }
    }
}
