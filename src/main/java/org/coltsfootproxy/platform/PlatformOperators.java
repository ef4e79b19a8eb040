package org.coltsfootproxy.platform;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.coltsfootproxy.base.ErrorKind;
import org.coltsfootproxy.base.ProxyException;
import org.coltsfootproxy.control.OperatorCall;
import org.coltsfootproxy.control.OperatorProtocol;
import org.coltsfootproxy.node.Input;

/** How the platform's operators speak to control hosts. */
public final class PlatformOperators implements OperatorProtocol {
    private static final String CONFIG = "/coltsfootproxy/config";
    private static final String RETIRE = "/coltsfootproxy/retire/";

    @Override
    public Optional<OperatorCall> read(Input.HttpCall call) throws ProxyException {
        String path = call.path().split("\\?", 2)[0];
        if (path.startsWith(RETIRE)) {
            return Optional.of(retirement(call, path.substring(RETIRE.length())));
        }
        return path.equals(CONFIG) ? Optional.of(config(call)) : Optional.empty();
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
