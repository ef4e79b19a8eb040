package org.coltsfootproxy.config;

import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import java.nio.ByteBuffer;

/** The first 128 bits of the SHA-256 of a ticket's canonical content. */
record ContentDigest(long high, long low) {
    /** Returns the digest of the content of a ticket, which excludes its number. */
    static ContentDigest of(Ticket ticket) {
        Hasher hasher = Hashing.sha256().newHasher();
        ticket.changes()
                .map(ConfigCodec::encode)
                .forEach(bytes -> hasher.putInt(bytes.length).putBytes(bytes));
        ByteBuffer hash = ByteBuffer.wrap(hasher.hash().asBytes());
        return new ContentDigest(hash.getLong(), hash.getLong());
    }
}
