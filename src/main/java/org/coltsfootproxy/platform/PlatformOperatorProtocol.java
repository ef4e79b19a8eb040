package org.coltsfootproxy.platform;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.coltsfootproxy.base.ErrorKind;
import org.coltsfootproxy.base.ProxyException;
import org.coltsfootproxy.control.OperatorCall;
import org.coltsfootproxy.control.OperatorProtocol;
import org.coltsfootproxy.node.Input;

/** Decodes the HTTP calls of the platform's operators to control hosts. */
public final class PlatformOperatorProtocol implements OperatorProtocol {
    private static final String CONFIG_PATH = "/coltsfootproxy/config";
    private static final String DRAIN_PATH_PREFIX = "/coltsfootproxy/drain/";
    private static final String RETIRE_PATH_PREFIX = "/coltsfootproxy/retire/";

    @Override
    public Optional<OperatorCall> read(Input.HttpCall call) throws ProxyException {
        String path = call.path().split("\\?", 2)[0];
        if (path.startsWith(RETIRE_PATH_PREFIX)) {
            return Optional.of(retirement(call, path.substring(RETIRE_PATH_PREFIX.length())));
        }
        if (path.startsWith(DRAIN_PATH_PREFIX)) {
            return Optional.of(evacuation(call, path.substring(DRAIN_PATH_PREFIX.length())));
        }
        return path.equals(CONFIG_PATH) ? Optional.of(config(call)) : Optional.empty();
    }

    private static OperatorCall evacuation(Input.HttpCall call, String name) throws ProxyException {
        return switch (call.method()) {
            case "POST" -> new OperatorCall.EvacuateDataCentre(name);
            case "DELETE" -> new OperatorCall.EndEvacuation(name);
            default -> throw notAllowed(call);
        };
    }

    private static OperatorCall retirement(Input.HttpCall call, String name) throws ProxyException {
        return switch (call.method()) {
            case "GET" -> new OperatorCall.ReadRetirement(name);
            case "POST" -> new OperatorCall.RetireHost(name);
            default -> throw notAllowed(call);
        };
    }

    private static ProxyException notAllowed(Input.HttpCall call) {
        return ProxyException.of(
                ErrorKind.METHOD_NOT_ALLOWED, call.method() + " is not allowed here");
    }

    private static OperatorCall config(Input.HttpCall call) throws ProxyException {
        return switch (call.method()) {
            case "GET" -> new OperatorCall.ReadConfig();
            case "PUT" ->
                    new OperatorCall.ReplaceConfig(PlatformConfig.read(call.body()), call.body());
            default -> throw notAllowed(call);
        };
    }

    @Override
    public byte[] retirement(boolean isComplete) {
        String state = isComplete ? "complete" : "running";
        return ("{\"state\":\"" + state + "\"}").getBytes(StandardCharsets.UTF_8);
    }
}
