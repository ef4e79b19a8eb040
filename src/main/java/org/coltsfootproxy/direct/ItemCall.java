package org.coltsfootproxy.direct;

import java.util.List;
import org.coltsfootproxy.base.ProxyException;
import org.coltsfootproxy.base.RecordCodec;
import org.coltsfootproxy.base.WireCode;
import org.coltsfootproxy.message.Header;

/** The call that a batch item stands for, as the job's ledger keeps it for the item's body. */
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

    /** Returns the bytes of a call. */
    static byte[] encode(Post call) {
        return CODEC.encode(call);
    }

    /**
     * Returns the call that bytes stand for.
     *
     * @throws ProxyException if they are damaged
     */
    static Post decode(byte[] bytes) throws ProxyException {
        return (Post) CODEC.decode(bytes);
    }
}
