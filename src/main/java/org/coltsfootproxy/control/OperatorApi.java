package org.coltsfootproxy.control;

import java.util.Optional;
import org.coltsfootproxy.base.ErrorKind;
import org.coltsfootproxy.base.ProxyException;
import org.coltsfootproxy.config.ConfigCommand;
import org.coltsfootproxy.config.KeyDigest;
import org.coltsfootproxy.config.QuorumRead;
import org.coltsfootproxy.config.Ticket;
import org.coltsfootproxy.config.TicketParser;
import org.coltsfootproxy.job.JobGateway;
import org.coltsfootproxy.node.Effects;
import org.coltsfootproxy.node.Input;
import org.coltsfootproxy.node.JsonAnswer;
import org.coltsfootproxy.node.Problem;

/**
 * The operators' HTTP interface of a control host.
 *
 * <p>All paths except the health checks require the operators' key. Reads of the configuration are
 * confirmed by a quorum, so that a ticket accepted by one host is visible on all. The query {@code
 * local=true} skips the confirmation, for use on a host that a network partition cuts off from the
 * quorum.
 */
final class OperatorApi {
    private static final String BEARER = "Bearer ";
    private static final String TICKETS = "/v1/tickets";
    private static final int OK = 200;

    private final String mKeyDigest;
    private final RaftGroup mGroup;
    private final ConfigStateMachine mMachine;
    private final ConfigJson mConfigJson;
    private final ProposalForwarder mForwarder;
    private final MemberChangeHandler mMemberChanges;
    private final StatusCollector mStatus;
    private final JobGateway mJobs;
    private boolean mIsStopping;

    OperatorApi(
            String keyDigest,
            RaftGroup group,
            ConfigStateMachine machine,
            ProposalForwarder forwarder,
            MemberChangeHandler memberChanges,
            StatusCollector status,
            JobGateway jobs) {
        mKeyDigest = keyDigest;
        mGroup = group;
        mMachine = machine;
        mConfigJson = new ConfigJson(machine.config());
        mForwarder = forwarder;
        mMemberChanges = memberChanges;
        mStatus = status;
        mJobs = jobs;
    }

    /** Refuses further changes, as this host is stopping. */
    void stop() {
        mIsStopping = true;
    }

    /** Answers a call, in this step or a later one. */
    void handle(Input.HttpCall call, long nowNanos, Effects out) {
        try {
            answer(call, nowNanos, out);
        } catch (ProxyException e) {
            Problem.from(e).answer(call.call(), out);
        }
    }

    private void answer(Input.HttpCall call, long nowNanos, Effects out) throws ProxyException {
        String path = call.path().split("\\?", 2)[0];
        if (path.equals("/healthz")) {
            JsonAnswer.send(call.call(), OK, new OperatorResponses.Health("ok", ""), out);
        } else if (path.equals("/readyz")) {
            answerReadiness(call.call(), nowNanos, out);
        } else {
            authenticate(call);
            if (call.method().equals("GET")) {
                handleGet(call, path, nowNanos, out);
            } else {
                handleChange(call, path, nowNanos, out);
            }
        }
    }

    private void answerReadiness(long call, long nowNanos, Effects out) throws ProxyException {
        if (mIsStopping) {
            throw ProxyException.of(ErrorKind.STOPPING, "this host is stopping");
        }
        if (mGroup.status(nowNanos).diskFull()) {
            throw ProxyException.of(ErrorKind.STORAGE_FULL, "the data folder's disk is full");
        }
        if (mGroup.leader().isEmpty()) {
            throw ProxyException.of(ErrorKind.NO_LEADER, "no control host is known to lead");
        }
        JsonAnswer.send(call, OK, new OperatorResponses.Health("ready", ""), out);
    }

    private void authenticate(Input.HttpCall call) throws ProxyException {
        Optional<String> key =
                call.headers().stream()
                        .filter(h -> h.name().equalsIgnoreCase("authorization"))
                        .map(h -> h.value())
                        .filter(v -> v.regionMatches(true, 0, BEARER, 0, BEARER.length()))
                        .map(value -> value.substring(BEARER.length()).trim())
                        .findFirst();
        if (key.filter(k -> KeyDigest.matches(k, mKeyDigest)).isEmpty()) {
            throw ProxyException.of(
                    ErrorKind.UNAUTHENTICATED, "the operators' key is missing or wrong");
        }
    }

    private void handleGet(Input.HttpCall call, String path, long nowNanos, Effects out)
            throws ProxyException {
        if (path.equals("/v1/status")) {
            mStatus.collect(call.call(), nowNanos, out);
        } else if (JobGateway.servesOperators(call.path())) {
            mJobs.operatorCall(call, mMachine.config().view(), nowNanos, out);
        } else if (path.equals(TICKETS)
                || path.startsWith(TICKETS + "/")
                || path.equals("/v1/config")) {
            answerConfig(call, path, out);
        } else if (path.equals("/v1/members")) {
            throw ProxyException.of(
                    ErrorKind.METHOD_NOT_ALLOWED, "members are listed in /v1/status");
        } else {
            throw ProxyException.of(ErrorKind.NOT_FOUND, "no such page: " + path);
        }
    }

    private void answerConfig(Input.HttpCall call, String path, Effects out) {
        if (call.path().endsWith("?local=true")) {
            sendConfigPage(call.call(), path, out);
            return;
        }
        mGroup.read(
                new QuorumRead.Callback() {
                    @Override
                    public void confirmed() {
                        sendConfigPage(call.call(), path, out);
                    }

                    @Override
                    public void failed() {
                        String detail =
                                "no quorum confirmed this page; ?local=true reads it unconfirmed";
                        Problem.of(ErrorKind.NO_LEADER, detail).answer(call.call(), out);
                    }
                });
    }

    private void sendConfigPage(long call, String path, Effects out) {
        try {
            Object page =
                    path.equals("/v1/config")
                            ? mConfigJson.config()
                            : path.equals(TICKETS)
                                    ? mConfigJson.tickets()
                                    : mConfigJson.ticket(path.substring(TICKETS.length() + 1));
            JsonAnswer.send(call, OK, page, out);
        } catch (ProxyException e) {
            Problem.from(e).answer(call, out);
        }
    }

    private void handleChange(Input.HttpCall call, String path, long nowNanos, Effects out)
            throws ProxyException {
        boolean isConfigPath = path.equals(TICKETS) || path.equals("/v1/members");
        boolean isJobPath = JobGateway.servesOperators(call.path());
        if (!isConfigPath && !isJobPath) {
            throw ProxyException.of(ErrorKind.NOT_FOUND, "no such page: " + path);
        }
        if (mIsStopping) {
            throw ProxyException.of(ErrorKind.STOPPING, "this host is stopping; use another one");
        }
        if (isJobPath) {
            mJobs.operatorCall(call, mMachine.config().view(), nowNanos, out);
        } else if (!call.method().equals("POST")) {
            throw ProxyException.of(
                    ErrorKind.METHOD_NOT_ALLOWED, path + " can be changed by POST only");
        } else if (path.equals(TICKETS)) {
            applyTicket(call, nowNanos, out);
        } else {
            mMemberChanges.handle(call.call(), call.body(), nowNanos, out);
        }
    }

    private void applyTicket(Input.HttpCall call, long nowNanos, Effects out)
            throws ProxyException {
        Ticket ticket = TicketParser.parse(call.body());
        byte[] command = new ConfigCommand.ApplyTicket(ticket).encode();
        mForwarder.submitCommand(
                0,
                ConfigStateMachine.configCommand(command),
                new TicketResponder(call.call(), ticket.number(), out),
                nowNanos,
                out);
    }
}
