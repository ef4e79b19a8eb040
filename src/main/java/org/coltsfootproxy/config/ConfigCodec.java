package org.coltsfootproxy.config;

import java.util.ArrayList;
import java.util.List;
import org.coltsfootproxy.base.ProxyException;
import org.coltsfootproxy.base.RecordCodec;
import org.coltsfootproxy.message.ConfigMessage;

/** Encodes configuration changes and splits them into messages of bounded size. */
public final class ConfigCodec {
    /**
     * Maximum size of the changes in one message, in bytes. A single change above it gets a message
     * of its own.
     */
    static final int MAX_PART_BYTES = 32 * 1024;

    private static final RecordCodec<ConfigChange> CODEC = RecordCodec.of(ConfigChange.class);

    private ConfigCodec() {}

    static byte[] encode(ConfigChange change) {
        return CODEC.encode(change);
    }

    static ConfigChange decode(byte[] bytes) throws ProxyException {
        return CODEC.decode(bytes);
    }

    /** Returns the messages that carry the changes from one version to another. */
    static List<ConfigMessage.Update> parts(long from, long to, List<ConfigChange> changes) {
        List<List<byte[]>> groups = splitBySize(changes);
        List<ConfigMessage.Update> parts = new ArrayList<>(groups.size());
        for (List<byte[]> group : groups) {
            int part = parts.size();
            parts.add(new ConfigMessage.Update(from, to, part, groups.size(), group));
        }
        return parts;
    }

    private static List<List<byte[]>> splitBySize(List<ConfigChange> changes) {
        List<List<byte[]>> groups = new ArrayList<>();
        List<byte[]> group = new ArrayList<>();
        int size = 0;
        for (ConfigChange change : changes) {
            byte[] bytes = encode(change);
            if (size + bytes.length > MAX_PART_BYTES && !group.isEmpty()) {
                groups.add(group);
                group = new ArrayList<>();
                size = 0;
            }
            group.add(bytes);
            size += bytes.length;
        }
        groups.add(group);
        return groups;
    }
}
