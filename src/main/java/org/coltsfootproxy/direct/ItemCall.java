package org.coltsfootproxy.direct;

import java.util.List;
import org.coltsfootproxy.base.ProxyException;
import org.coltsfootproxy.base.RecordCodec;
import org.coltsfootproxy.base.WireCode;
import org.coltsfootproxy.message.Header;

/** The call that runs a batch item; the job ledger stores its encoding as the item's body. */
sealed interface ItemCall {
    RecordCodec<ItemCall> CODEC = RecordCodec.of(ItemCall.class);

    /** A call with its own path and headers. */
    @WireCode(1)
    record Post(String path, List<Header> headers, byte[] body) implements ItemCall {
        /** Copies the list. */
        public Post {
            headers = List.copyOf(headers);
        }
    }

    /** Returns the encoding of a call. */
    static byte[] encode(Post call) {
        return CODEC.encode(call);
    }

    /**
     * Returns the call that was encoded as {@code bytes}.
     *
     * @throws ProxyException if the bytes are damaged
     */
    static Post decode(byte[] bytes) throws ProxyException {
        return (Post) CODEC.decode(bytes);
    }
}
