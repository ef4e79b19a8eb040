package org.coltsfootproxy.runtime;

import java.util.Random;
import java.util.function.Consumer;
import org.coltsfootproxy.base.Incarnation;
import org.coltsfootproxy.base.ProxyException;
import org.coltsfootproxy.config.ConfigTiming;
import org.coltsfootproxy.control.ControlNode;
import org.coltsfootproxy.control.ControlSettings;
import org.coltsfootproxy.node.Input;
import org.coltsfootproxy.node.Node;

/** The parts of a control host. */
final class ControlRoleParts implements Role {
    private final Incarnation mIncarnation;
    private final Node mNode;

    private ControlRoleParts(Incarnation incarnation, Node node) {
        mIncarnation = incarnation;
        mNode = node;
    }

    static ControlRoleParts create(Settings settings, Consumer<Input> toNode, Random random)
            throws ProxyException {
        Settings.ControlRole role = settings.controlRole().orElseThrow();
        Incarnation incarnation = Role.newIncarnation(random);
        ControlSettings control =
                new ControlSettings(
                        settings.host(),
                        settings.dataCentre(),
                        incarnation,
                        Role.controlHosts(settings),
                        ConfigTiming.DEFAULT,
                        role.operatorKeyDigest());
        return new ControlRoleParts(incarnation, ControlNode.create(control, random));
    }

    @Override
    public Node node() {
        return mNode;
    }

    @Override
    public Incarnation incarnation() {
        return mIncarnation;
    }

    @Override
    public boolean takesOperators() {
        return true;
    }

    @Override
    public void start() throws ProxyException {
        // Nothing besides the node.
    }

    @Override
    public void close() {
        // Nothing besides the node.
    }
}
