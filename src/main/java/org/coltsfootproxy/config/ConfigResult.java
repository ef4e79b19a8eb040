package org.coltsfootproxy.config;

import org.coltsfootproxy.base.ProxyException;
import org.coltsfootproxy.base.RecordCodec;

/** The result of a committed command of the configuration's replicated log. */
public sealed interface ConfigResult permits Verdict {
    RecordCodec<ConfigResult> CODEC = RecordCodec.of(ConfigResult.class);

    /** Returns the encoding of this result. */
    default byte[] encode() {
        return CODEC.encode(this);
    }

    /**
     * Decodes a verdict.
     *
     * @throws ProxyException if {@code bytes} is not an encoded verdict
     */
    static Verdict verdict(byte[] bytes) throws ProxyException {
        return (Verdict) CODEC.decode(bytes);
    }
}
