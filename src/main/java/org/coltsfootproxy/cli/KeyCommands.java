package org.coltsfootproxy.cli;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.security.SecureRandom;
import java.util.Base64;
import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.coltsfootproxy.base.ProxyException;
import org.coltsfootproxy.config.KeyDigest;

/** The command that generates keys. */
final class KeyCommands {
    private static final int KEY_BYTES = 32;

    private KeyCommands() {}

    static List<Command> all() {
        return List.of(
                new SimpleCommand(
                        "key new",
                        "",
                        "make a key: shows it once, with the digest that a ticket carries",
                        new Options(),
                        KeyCommands::create));
    }

    private static void create(CommandLine line, Output out) throws ProxyException {
        byte[] random = new byte[KEY_BYTES];
        new SecureRandom().nextBytes(random);
        String key = Base64.getUrlEncoder().withoutPadding().encodeToString(random);
        ObjectNode answer = Output.object();
        answer.put("key", key);
        answer.put("digest", KeyDigest.of(key));
        out.value(answer);
    }
}
