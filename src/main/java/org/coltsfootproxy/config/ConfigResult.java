package org.coltsfootproxy.config;

import org.coltsfootproxy.base.ProxyException;
import org.coltsfootproxy.base.RecordCodec;

/** What the configuration answers to a committed command. */
public sealed interface ConfigResult permits Verdict {
    /** Encodes results. */
    RecordCodec<ConfigResult> CODEC = RecordCodec.of(ConfigResult.class);

    /** Returns the encoding of this result. */
    default byte[] encode() {
        return CODEC.encode(this);
    }

    /**
     * Returns the verdict that {@code bytes} encode.
     *
     * @throws ProxyException if they encode none
     */
    static Verdict verdict(byte[] bytes) throws ProxyException {
        return (Verdict) CODEC.decode(bytes);
    }
}
